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
const INCARNATION = { id: 'a', bornMs: 1 };

/** Creates a gateway with a request that is assigned to its only backend server. */
function createAssigned(): {
  state: gatewayState.GatewayState;
  request: gatewayRequest.GatewayRequest;
} {
  const state = gatewayFixture.createTestGateway([INCARNATION.id]);
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

test('nothing is sent to a leaving server or during a backoff', () => {
  // Guards against sending a request that was assigned before the server's statement and whose
  // connection opens after the statement.
  const leaving = createAssigned();
  const leavingStatement = { ...serverStatements.EMPTY_STATEMENT, isLeaving: true };
  backendServers.applyStatement(leaving.state.servers, INCARNATION, leavingStatement, 50);
  assert.equal(serverAdmission.isStillUsable(leaving.state, leaving.request, 100), false);
  const backingOff = createAssigned();
  const backoffStatement = { ...serverStatements.EMPTY_STATEMENT, backoffMs: 200 };
  backendServers.applyStatement(backingOff.state.servers, INCARNATION, backoffStatement, 50);
  assert.equal(serverAdmission.isStillUsable(backingOff.state, backingOff.request, 100), false);
  assert.ok(serverAdmission.isStillUsable(backingOff.state, backingOff.request, 300));
});

test('nothing is sent to a server that has restarted', () => {
  const { state, request } = createAssigned();
  serverEntries.applyEntry(state.servers, gatewayFixture.buildEntry('a', { bornMs: 2 }), 50);
  assert.equal(serverAdmission.isStillUsable(state, request, 100), false);
});

test('withdrawn request waits again and is not counted as a failure', () => {
  // Guards against pausing a backend server because of a request that it never received.
  const { state, request } = createAssigned();
  const clocks = gatewayFixture.buildClocks(50);
  const fault = attemptEnd.AttemptFault.WITHDRAWN;
  const progress = { hasBegun: false, canResume: true };
  const verdict = attemptEnd.handleAttemptFault(state, request, fault, progress, clocks);
  assert.equal(verdict.kind, 'again');
  assert.equal(request.runs, 0);
  gatewayFixture.assignWaiting(state, clocks);
  assert.equal(gatewayFixture.getServerHealth(state, 'a').failuresInRow, 0);
});
