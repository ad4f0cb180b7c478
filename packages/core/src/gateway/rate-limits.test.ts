import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as requestAdmission from './request-admission.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as responseStatements from './response-statements.js';
import * as serverEntries from './server-entries.js';
import * as serverStatements from './server-statements.js';

const { test } = nodeTest;
const SERVER = 'a';

/** Sends a request to the only backend server. */
function sendRequest(
  state: gatewayState.GatewayState,
  atMs: number,
): gatewayRequest.GatewayRequest {
  const arrived = gatewayFixture.buildArrived(`call-${atMs}`);
  const clocks = gatewayFixture.buildClocks(atMs);
  assert.equal(requestAdmission.admitRequest(state, arrived, clocks).kind, 'admitted');
  const [sent] = gatewayFixture.assignWaiting(state, clocks);
  assert.equal(sent.kind, 'send');
  return sent.request;
}

/** Applies the rate limit that a response states and returns the change. */
function noteRateLimit(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  perSecond: number | undefined,
  now: number,
  isSigned = true,
): serverStatements.StatementChange | undefined {
  const stated = { ...serverStatements.EMPTY_STATEMENT, perSecond, isSigned };
  const [change] = responseStatements.noteResponseStatement(state, request, stated, now);
  return change;
}

/** Lists the active rate limits by backend server. */
function listRateLimits({ servers }: gatewayState.GatewayState): [string, number][] {
  return [...servers.statements].flatMap(([id, { bornMs, rateLimit }]) =>
    rateLimit?.perSecond === undefined || servers.byId.get(id)?.entry.bornMs !== bornMs
      ? []
      : [[id, rateLimit.perSecond]],
  );
}

test('rate limit is set, changed and lifted', () => {
  const state = gatewayFixture.createTestGateway([SERVER]);
  const first = sendRequest(state, 10);
  const set = noteRateLimit(state, first, 1.5, 20);
  assert.deepEqual(set, {
    server: SERVER,
    change: 'rate-limit',
    perSecond: 1.5,
    before: undefined,
  });
  assert.equal(noteRateLimit(state, first, 1.5, 25), undefined);
  const changed = noteRateLimit(state, first, 3, 30);
  assert.deepEqual(changed, { server: SERVER, change: 'rate-limit', perSecond: 3, before: 1.5 });
  assert.deepEqual(listRateLimits(state), [[SERVER, 3]]);
  gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(40));
  const later = sendRequest(state, 1040);
  const lifted = noteRateLimit(state, later, undefined, 1050);
  assert.deepEqual(lifted, {
    server: SERVER,
    change: 'rate-limit-lifted',
    perSecond: undefined,
    before: 3,
  });
  assert.deepEqual(listRateLimits(state), []);
});

test('response to a request from before the limit does not lift it', () => {
  // Guards against a limit that is lifted by a late response to a request sent before the limit.
  const state = gatewayFixture.createTestGateway([SERVER]);
  const early = sendRequest(state, 10);
  const other = sendRequest(state, 11);
  noteRateLimit(state, other, 2, 20);
  assert.equal(noteRateLimit(state, early, undefined, 30), undefined);
  assert.equal(listRateLimits(state).length, 1);
});

test('rate limit ends when its server restarts', () => {
  const state = gatewayFixture.createTestGateway([SERVER]);
  noteRateLimit(state, sendRequest(state, 10), 2, 20);
  const restarted = gatewayFixture.buildEntry(SERVER, { bornMs: 2 });
  serverEntries.applyEntry(state.servers, restarted, 30);
  assert.deepEqual(listRateLimits(state), []);
});

test('unsigned refusal does not lift a rate limit', () => {
  // Guards against a full server whose unsigned refusals lift the limit that it has set.
  const state = gatewayFixture.createTestGateway([SERVER]);
  noteRateLimit(state, sendRequest(state, 10), 2, 20);
  gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(30));
  const later = sendRequest(state, 1040);
  assert.equal(noteRateLimit(state, later, undefined, 1050, false), undefined);
  assert.deepEqual(listRateLimits(state), [[SERVER, 2]]);
});
