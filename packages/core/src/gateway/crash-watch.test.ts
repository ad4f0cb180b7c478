import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as suspects from '../shared/suspects.js';
import * as attemptEnd from './attempt-end.js';
import * as serverEntries from './server-entries.js';
import * as belief from './belief.js';
import * as crashWatch from './crash-watch.js';
import type * as gatewayState from './gateway-state.js';
import * as intake from './intake.js';
import * as gatewayBench from './mocks/gateway-bench.js';

const { test } = nodeTest;
const { buildClocks } = gatewayBench;
const POISON = 'poison';

/** Builds a call whose content is the same at each try. */
function buildCall(attemptId: string, content = POISON) {
  return gatewayBench.buildArrived(attemptId, { hashContent: () => content });
}

/** Sends a call, breaks it off, and lets its backend server crash; false where refused. */
function runIntoCrash(
  state: gatewayState.GatewayState,
  attemptId: string,
  now: number,
  content = POISON,
): boolean {
  belief.noteConfirmed(state.belief, buildClocks(now));
  const taken = intake.admitRequest(state, buildCall(attemptId, content), buildClocks(now));
  if (taken.kind === 'refused') {
    assert.equal(taken.refusal.code, schema.ResultCode.CONTENT_SUSPENDED);
    return false;
  }
  const [sent] = gatewayBench.assignWaiting(state, buildClocks(now));
  const serverId = sent.request.serverId as string;
  const progress = { hasBegun: false, canGoOn: true };
  const fault = attemptEnd.AttemptFault.BROKEN;
  attemptEnd.handleAttemptFault(state, sent.request, fault, progress, buildClocks(now));
  crashWatch.applyCrash(state, serverId, buildClocks(now + 100));
  return true;
}

test('content that crashes servers is turned away', () => {
  // A caller sends a request that crashes its backend server, and sends it again
  // each time. Every crash takes other requests down too. After the second one it
  // is refused as not run, also by a gateway that only heard of it.
  const first = gatewayBench.createBench(['a', 'bb']);
  assert.equal(runIntoCrash(first, '1', 0), true);
  assert.equal(runIntoCrash(first, '2', 3000), true);
  assert.equal(runIntoCrash(first, '3', 6000), false);
  const second = gatewayBench.createBench(['a', 'bb']);
  suspects.mergeSuspects(second.suspects, suspects.listSuspects(first.suspects), 6000);
  assert.equal(runIntoCrash(second, '4', 6000), false);
  assert.equal(runIntoCrash(second, '5', 6000, 'other'), true);
});

test('crashes that two gateways saw add up', () => {
  const first = gatewayBench.createBench(['a']);
  runIntoCrash(first, '1', 0);
  const second = gatewayBench.createBench(['a']);
  suspects.mergeSuspects(second.suspects, suspects.listSuspects(first.suspects), 500);
  assert.equal(runIntoCrash(second, '2', 3000), true);
  assert.equal(runIntoCrash(second, '3', 6000), false);
});

test('what many ask for is not refused for being near crashes', () => {
  // Many callers ask for the same. Some of these requests run at backend servers
  // that lose power, at once and again later; others are answered meanwhile.
  const state = gatewayBench.createBench(['a', 'bb']);
  runIntoCrash(state, '1', 0, 'usual');
  runIntoCrash(state, '2', 200, 'usual');
  assert.equal(
    crashWatch.isContentRefused(state, () => 'usual'),
    false,
  );
  crashWatch.noteWholeAnswer(state, () => 'usual', buildClocks(2000));
  runIntoCrash(state, '3', 5000, 'usual');
  assert.equal(
    crashWatch.isContentRefused(state, () => 'usual'),
    false,
  );
});

test('a reset alone, or the end of a leaving server, is no crash', () => {
  const state = gatewayBench.createBench(['a']);
  crashWatch.noteBrokenRun(state, 'a', POISON, 0);
  assert.deepEqual(crashWatch.applyCrash(state, 'a', buildClocks(20_000)), []);
  serverEntries.applyEntry(state.servers, gatewayBench.buildEntry('a', { leaving: true }), 0);
  crashWatch.noteBrokenRun(state, 'a', POISON, 30_000);
  assert.deepEqual(crashWatch.applyCrash(state, 'a', buildClocks(30_100)), []);
});
