import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as attemptEnd from './attempt-end.js';
import * as configuration from './configuration.js';
import type * as gatewayState from './gateway-state.js';
import * as requestAdmission from './request-admission.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const { AttemptFault } = attemptEnd;

/** Creates a gateway with a route whose requests may run twice. */
function createState(isFirstStart: boolean): gatewayState.GatewayState {
  const changes = { kind: configuration.RouteKind.SAFE, maxAttempts: 2 };
  const route = gatewayFixture.buildRoute(changes);
  const state = gatewayFixture.createTestGateway(['a', 'b', 'c'], [route]);
  state.isFirstStart = isFirstStart;
  return state;
}

/** Sends a request, ends its attempt with a fault and returns whether it is retried. */
function isRetried(state: gatewayState.GatewayState, fault: attemptEnd.AttemptFault): boolean {
  const clocks = gatewayFixture.buildClocks(10);
  const id = String(state.nextSerial);
  requestAdmission.admitRequest(state, gatewayFixture.buildArrived(id), clocks);
  const [sent] = gatewayFixture.assignWaiting(state, clocks);
  const progress = { hasBegun: false, canResume: true };
  return (
    attemptEnd.handleAttemptFault(state, sent.request, fault, progress, clocks).kind === 'again'
  );
}

test('restarted gateway retries nothing before it has admitted requests', () => {
  // Guards against retries that a predecessor of the process has made already.
  const state = createState(false);
  const verdicts = Array.from({ length: 5 }, () => isRetried(state, AttemptFault.FAILED));
  assert.deepEqual(verdicts, [false, false, false, false, true]);
});

test('system that starts for the first time retries at once', () => {
  assert.equal(isRetried(createState(true), AttemptFault.FAILED), true);
});

test('request that has not arrived anywhere is sent again without a budget', () => {
  const state = createState(false);
  assert.equal(isRetried(state, AttemptFault.UNREACHABLE), true);
  assert.deepEqual(state.services.get('one')?.retryTotals, { allowed: 0, denied: 0 });
});
