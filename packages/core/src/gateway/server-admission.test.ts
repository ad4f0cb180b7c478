import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as attemptEnd from './attempt-end.js';
import * as backendServers from './backend-servers.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as requestAdmission from './request-admission.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as serverAdmission from './server-admission.js';
import * as serverEntries from './server-entries.js';
import * as serverStatements from './server-statements.js';

const { test } = nodeTest;
const LIFE = { id: 'a', bornMs: 1 };

/** Creates a gateway with a request that was assigned to its only backend server. */
function createAssigned(): {
  state: gatewayState.GatewayState;
  request: gatewayRequest.GatewayRequest;
} {
  const state = gatewayFixture.createTestGateway([LIFE.id]);
  requestAdmission.admitRequest(
    state,
    gatewayFixture.buildArrived('call'),
    gatewayFixture.buildClocks(1),
  );
  const [{ kind, request }] = gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(1));
  assert.equal(kind, 'send');
  return { state, request };
}

test('assigned request may be sent', () => {
  const { state, request } = createAssigned();
  assert.ok(serverAdmission.isStillUsable(state, request, 100));
});

test('nothing is sent after a departure or during a backoff', () => {
  // Guards against requests that were assigned before the answer and connect after it.
  const leaving = createAssigned();
  const departure = { ...serverStatements.EMPTY_STATEMENT, isLeaving: true };
  backendServers.applyStatement(leaving.state.servers, LIFE, departure, 50);
  assert.equal(serverAdmission.isStillUsable(leaving.state, leaving.request, 100), false);
  const backingOff = createAssigned();
  const backoff = { ...serverStatements.EMPTY_STATEMENT, backoffMs: 200 };
  backendServers.applyStatement(backingOff.state.servers, LIFE, backoff, 50);
  assert.equal(serverAdmission.isStillUsable(backingOff.state, backingOff.request, 100), false);
  assert.ok(serverAdmission.isStillUsable(backingOff.state, backingOff.request, 300));
});

test('nothing is sent to another life', () => {
  const { state, request } = createAssigned();
  serverEntries.applyEntry(state.servers, gatewayFixture.buildEntry('a', { bornMs: 2 }), 50);
  assert.equal(serverAdmission.isStillUsable(state, request, 100), false);
});

test('withdrawn request waits again and blames nobody', () => {
  // Guards against a backend server that is paused for a request which it never got.
  const { state, request } = createAssigned();
  const clocks = gatewayFixture.buildClocks(50);
  const fault = attemptEnd.AttemptFault.WITHDRAWN;
  const progress = { hasBegun: false, canResume: true };
  const verdict = attemptEnd.handleAttemptFault(state, request, fault, progress, clocks);
  assert.equal(verdict.kind, 'again');
  assert.equal(request.runs, 0);
  gatewayFixture.assignWaiting(state, clocks);
  assert.equal(gatewayFixture.getLoad(state, 'a').failuresInRow, 0);
});
