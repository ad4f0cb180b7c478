import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as suspects from '../shared/suspects.js';
import * as attemptEnd from './attempt-end.js';
import * as serverEntries from './server-entries.js';
import * as configurationLease from './configuration-lease.js';
import * as crashDetection from './crash-detection.js';
import type * as gatewayState from './gateway-state.js';
import * as requestAdmission from './request-admission.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const { buildClocks } = gatewayFixture;
const CRASHING_CONTENT = 'poison';

/** Builds a request with the same content at each attempt. */
function buildAttempt(attemptId: string, content = CRASHING_CONTENT) {
  return gatewayFixture.buildArrived(attemptId, { hashContent: () => content });
}

/**
 * Sends a request, breaks its connection and lets its backend server crash. Returns false if the
 * request is refused instead.
 */
function runIntoCrash(
  state: gatewayState.GatewayState,
  attemptId: string,
  now: number,
  content = CRASHING_CONTENT,
): boolean {
  configurationLease.noteConfirmed(state.lease, buildClocks(now));
  const taken = requestAdmission.admitRequest(
    state,
    buildAttempt(attemptId, content),
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
  crashDetection.applyCrash(state, serverId, buildClocks(now + 100));
  return true;
}

test('content that crashes servers is refused', () => {
  // A caller keeps retrying a request that crashes its backend server. Each crash also fails all
  // other requests there. After the second crash the request is refused as not run, also by a
  // gateway that knows of the crashes only from its peer.
  const first = gatewayFixture.createTestGateway(['a', 'bb']);
  assert.equal(runIntoCrash(first, '1', 0), true);
  assert.equal(runIntoCrash(first, '2', 3000), true);
  assert.equal(runIntoCrash(first, '3', 6000), false);
  const second = gatewayFixture.createTestGateway(['a', 'bb']);
  suspects.mergeSuspects(second.suspects, suspects.listSuspects(first.suspects), 6000);
  assert.equal(runIntoCrash(second, '4', 6000), false);
  assert.equal(runIntoCrash(second, '5', 6000, 'other'), true);
});

test('crashes observed by two gateways add up', () => {
  const first = gatewayFixture.createTestGateway(['a']);
  runIntoCrash(first, '1', 0);
  const second = gatewayFixture.createTestGateway(['a']);
  suspects.mergeSuspects(second.suspects, suspects.listSuspects(first.suspects), 500);
  assert.equal(runIntoCrash(second, '2', 3000), true);
  assert.equal(runIntoCrash(second, '3', 6000), false);
});

test('frequently requested content is not refused after unrelated crashes', () => {
  // Many callers send the same content. Some of these requests run at backend servers that lose
  // power, several at the same time and one later; others complete in between.
  const state = gatewayFixture.createTestGateway(['a', 'bb']);
  runIntoCrash(state, '1', 0, 'usual');
  runIntoCrash(state, '2', 200, 'usual');
  assert.equal(
    crashDetection.isContentRefused(state, () => 'usual'),
    false,
  );
  crashDetection.noteCompleteResponse(state, () => 'usual', buildClocks(2000));
  runIntoCrash(state, '3', 5000, 'usual');
  assert.equal(
    crashDetection.isContentRefused(state, () => 'usual'),
    false,
  );
});

test('a connection reset alone, or the end of a leaving server, is not a crash', () => {
  const state = gatewayFixture.createTestGateway(['a']);
  crashDetection.noteBrokenRun(state, 'a', CRASHING_CONTENT, 0);
  assert.deepEqual(crashDetection.applyCrash(state, 'a', buildClocks(20_000)), []);
  serverEntries.applyEntry(state.servers, gatewayFixture.buildEntry('a', { leaving: true }), 0);
  crashDetection.noteBrokenRun(state, 'a', CRASHING_CONTENT, 30_000);
  assert.deepEqual(crashDetection.applyCrash(state, 'a', buildClocks(30_100)), []);
});
