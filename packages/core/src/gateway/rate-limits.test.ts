import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as intake from './intake.js';
import * as gatewayBench from './mocks/gateway-bench.js';
import * as rateLimits from './rate-limits.js';
import * as serverEnd from './server-end.js';

const { test } = nodeTest;
const SERVER = 'a';

/** Sends a request to the only backend server. */
function sendRequest(
  state: gatewayState.GatewayState,
  atMs: number,
): gatewayRequest.GatewayRequest {
  const arrived = gatewayBench.buildArrived(`call-${atMs}`);
  const clocks = gatewayBench.buildClocks(atMs);
  assert.equal(intake.admitRequest(state, arrived, clocks).kind, 'admitted');
  const [sent] = gatewayBench.assignWaiting(state, clocks);
  assert.equal(sent.kind, 'send');
  return sent.request;
}

test('limit is named, changed and lifted', () => {
  const state = gatewayBench.createBench([SERVER]);
  const first = sendRequest(state, 10);
  const named = rateLimits.noteRateLimit(state, first, 1.5, 20);
  assert.deepEqual(named, { server: SERVER, perSecond: 1.5, before: undefined });
  assert.equal(rateLimits.noteRateLimit(state, first, 1.5, 25), undefined);
  const changed = rateLimits.noteRateLimit(state, first, 3, 30);
  assert.deepEqual(changed, { server: SERVER, perSecond: 3, before: 1.5 });
  assert.deepEqual(rateLimits.listRateLimits(state), [{ server: SERVER, perSecond: 3 }]);
  gatewayBench.assignWaiting(state, gatewayBench.buildClocks(40));
  const later = sendRequest(state, 1040);
  const lifted = rateLimits.noteRateLimit(state, later, undefined, 1050);
  assert.deepEqual(lifted, { server: SERVER, perSecond: undefined, before: 3 });
  assert.deepEqual(rateLimits.listRateLimits(state), []);
});

test('answer from before the overload lifts no limit', () => {
  // Guards against a limit that ends with a late answer to a request sent before it.
  const state = gatewayBench.createBench([SERVER]);
  const early = sendRequest(state, 10);
  const other = sendRequest(state, 11);
  rateLimits.noteRateLimit(state, other, 2, 20);
  assert.equal(rateLimits.noteRateLimit(state, early, undefined, 30), undefined);
  assert.equal(rateLimits.listRateLimits(state).length, 1);
});

test('limit ends with the life of its server', () => {
  const state = gatewayBench.createBench([SERVER]);
  rateLimits.noteRateLimit(state, sendRequest(state, 10), 2, 20);
  serverEnd.forgetServer(state, SERVER);
  assert.deepEqual(rateLimits.listRateLimits(state), []);
});
