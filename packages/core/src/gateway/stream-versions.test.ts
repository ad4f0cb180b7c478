import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as attemptEnd from './attempt-end.js';
import * as configuration from './configuration.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as requestAdmission from './request-admission.js';
import * as serverAdmission from './server-admission.js';
import * as serverEntries from './server-entries.js';
import * as streamVersions from './stream-versions.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const BEGUN = { hasBegun: true, canResume: true };
const STREAM = { kind: configuration.RouteKind.STREAM, resumable: true, maxAttempts: 3 };
/** More streams than the scheduler considers for one slot. */
const MANY = 40;

/** Creates a gateway with backend servers of the given versions, by id. */
function createGateway(versions: Readonly<Record<string, string>>): gatewayState.GatewayState {
  const state = gatewayFixture.createTestGateway([], [gatewayFixture.buildRoute(STREAM)]);
  Object.entries(versions).forEach(([id, softwareVersion]) => {
    const entry = gatewayFixture.buildEntry(id, { softwareVersion });
    serverEntries.applyEntry(state.servers, entry, 0);
  });
  return state;
}

/** Admits a request. */
function admit(state: gatewayState.GatewayState, id: string): gatewayRequest.GatewayRequest {
  const clocks = gatewayFixture.buildClocks(10);
  const admitted = requestAdmission.admitRequest(state, gatewayFixture.buildArrived(id), clocks);
  assert.equal(admitted.kind, 'admitted');
  return admitted.request;
}

/** Breaks the connection to the backend server of a request whose stream has begun. */
function failStream(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): attemptEnd.AttemptVerdict['kind'] {
  const clocks = gatewayFixture.buildClocks(20);
  const { BROKEN } = attemptEnd.AttemptFault;
  return attemptEnd.handleAttemptFault(state, request, BROKEN, BEGUN, clocks).kind;
}

// Guards against a response that goes on at a free server of another version.
test('stream resumes in one response only at its version', () => {
  const state = createGateway({ a: 'v1', b: 'v1', c: 'v2', d: 'v2' });
  const request = admit(state, '1');
  gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(10));
  streamVersions.noteStreamBegun(state, request, 15);
  const { serverId, serverVersion } = request;
  assert.equal(failStream(state, request), 'again');
  gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(20));
  assert.notEqual(request.serverId, serverId);
  assert.equal(request.serverVersion, serverVersion);
});

// Guards against a stream that waits for a version which nobody serves any more.
test('stream ends when no server of its version is left', () => {
  const state = createGateway({ a: 'v1' });
  const request = admit(state, '1');
  gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(10));
  streamVersions.noteStreamBegun(state, request, 15);
  serverEntries.removeEntry(state.servers, 'a', 15);
  const entry = gatewayFixture.buildEntry('b', { softwareVersion: 'v2' });
  serverEntries.applyEntry(state.servers, entry, 15);
  assert.equal(failStream(state, request), 'refuse');
});

// Guards against a stream begun by an unknown version that goes on at any server.
test('stream of an unknown version is not resumed', () => {
  const state = createGateway({ a: 'v1', b: 'v1' });
  const request = admit(state, '1');
  gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(10));
  const changes = { softwareVersion: 'v2', revision: gatewayFixture.buildRevision(9) };
  const changed = gatewayFixture.buildEntry(String(request.serverId), changes);
  serverEntries.applyEntry(state.servers, changed, 15);
  streamVersions.noteStreamBegun(state, request, 15);
  assert.equal(failStream(state, request), 'refuse');
});

// Guards against a request sent to a server whose software changed while its connection opened.
test('server that changed its version is not used', () => {
  const state = createGateway({ a: 'v1' });
  const request = admit(state, '1');
  gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(10));
  assert.equal(serverAdmission.isStillUsable(state, request, 12), true);
  const changes = { softwareVersion: 'v2', revision: gatewayFixture.buildRevision(9) };
  serverEntries.applyEntry(state.servers, gatewayFixture.buildEntry('a', changes), 15);
  assert.equal(serverAdmission.isStillUsable(state, request, 15), false);
});

// Guards against streams of a version without a free server that hold back all other requests.
test('streams of a full version do not block the others', () => {
  const state = createGateway({ a: 'v1', b: 'v2' });
  gatewayFixture.setInFlight(state, 'a', 2);
  Array.from({ length: MANY }, (_, index) => {
    admit(state, `bound-${index}`).streamVersion = 'v1';
    return index;
  });
  const free = admit(state, 'free');
  const assigned = gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(10));
  const sent = assigned.filter((one) => one.kind === 'send');
  assert.deepEqual(
    sent.map(({ request, server }) => [request.serial, server.id]),
    [[free.serial, 'b']],
  );
});

// Guards against a grant of a scheduler that does not know of versions.
test('granted server of another version is not used', () => {
  const state = createGateway({ a: 'v1', b: 'v2' });
  const request = admit(state, '1');
  request.streamVersion = 'v2';
  const found = serverAdmission.admitToServer(state, request, 'a', 10);
  assert.deepEqual(found, { kind: 'unusable', reason: serverAdmission.UnusableReason.VERSION });
});
