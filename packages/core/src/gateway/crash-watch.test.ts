import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as suspects from '../shared/suspects.js';
import * as attemptEnd from './attempt-end.js';
import * as serverEntries from './server-entries.js';
import * as configurationLease from './configuration-lease.js';
import * as crashWatch from './crash-watch.js';
import type * as gatewayState from './gateway-state.js';
import * as requestAdmission from './request-admission.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const { buildClocks } = gatewayFixture;
const POISON = 'poison';

/** Builds a call whose content is the same at each try. */
function buildCall(attemptId: string, content = POISON) {
  return gatewayFixture.buildArrived(attemptId, { hashContent: () => content });
}

/** Sends a call, breaks it off, and lets its backend server crash; false where refused. */
function runIntoCrash(
  state: gatewayState.GatewayState,
  attemptId: string,
  now: number,
  content = POISON,
): boolean {
  configurationLease.noteConfirmed(state.lease, buildClocks(now));
  const taken = requestAdmission.admitRequest(
    state,
    buildCall(attemptId, content),
    buildClocks(now),
  );
  if (taken.kind === 'refused') {
    assert.equal(taken.refusal.code, schema.ResultCode.CONTENT_SUSPENDED);
    return false;
  }
  const [sent] = gatewayFixture.assignWaiting(state, buildClocks(now));
  const serverId = sent.request.serverId as string;
  const progress = { hasBegun: false, canResume: true };
  const fault = attemptEnd.AttemptFault.BROKEN;
  attemptEnd.handleAttemptFault(state, sent.request, fault, progress, buildClocks(now));
  crashWatch.applyCrash(state, serverId, buildClocks(now + 100));
  return true;
}

test('content that crashes servers is turned away', () => {
  // A caller sends a request that crashes its backend server, and sends it again
  // each time. Every crash takes other requests down too. After the second one it
  // is refused as not run, also by a gateway that only heard of it.
  const first = gatewayFixture.createTestGateway(['a', 'bb']);
  assert.equal(runIntoCrash(first, '1', 0), true);
  assert.equal(runIntoCrash(first, '2', 3000), true);
  assert.equal(runIntoCrash(first, '3', 6000), false);
  const second = gatewayFixture.createTestGateway(['a', 'bb']);
  suspects.mergeSuspects(second.suspects, suspects.listSuspects(first.suspects), 6000);
  assert.equal(runIntoCrash(second, '4', 6000), false);
  assert.equal(runIntoCrash(second, '5', 6000, 'other'), true);
});

test('crashes that two gateways saw add up', () => {
  const first = gatewayFixture.createTestGateway(['a']);
  runIntoCrash(first, '1', 0);
  const second = gatewayFixture.createTestGateway(['a']);
  suspects.mergeSuspects(second.suspects, suspects.listSuspects(first.suspects), 500);
  assert.equal(runIntoCrash(second, '2', 3000), true);
  assert.equal(runIntoCrash(second, '3', 6000), false);
});

test('what many ask for is not refused for being near crashes', () => {
  // Many callers ask for the same. Some of these requests run at backend servers
  // that lose power, at once and again later; others are answered meanwhile.
  const state = gatewayFixture.createTestGateway(['a', 'bb']);
  runIntoCrash(state, '1', 0, 'usual');
  runIntoCrash(state, '2', 200, 'usual');
  assert.equal(
    crashWatch.isContentRefused(state, () => 'usual'),
    false,
  );
  crashWatch.noteCompleteResponse(state, () => 'usual', buildClocks(2000));
  runIntoCrash(state, '3', 5000, 'usual');
  assert.equal(
    crashWatch.isContentRefused(state, () => 'usual'),
    false,
  );
});

test('a reset alone, or the end of a leaving server, is no crash', () => {
  const state = gatewayFixture.createTestGateway(['a']);
  crashWatch.noteBrokenRun(state, 'a', POISON, 0);
  assert.deepEqual(crashWatch.applyCrash(state, 'a', buildClocks(20_000)), []);
  serverEntries.applyEntry(state.servers, gatewayFixture.buildEntry('a', { leaving: true }), 0);
  crashWatch.noteBrokenRun(state, 'a', POISON, 30_000);
  assert.deepEqual(crashWatch.applyCrash(state, 'a', buildClocks(30_100)), []);
});
