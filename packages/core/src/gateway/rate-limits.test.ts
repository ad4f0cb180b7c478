import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as intake from './intake.js';
import * as gatewayBench from './mocks/gateway-bench.js';
import * as answerStatements from './answer-statements.js';
import * as serverEntries from './server-entries.js';
import * as serverStatements from './server-statements.js';

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

/** Takes in what an answer says of a rate limit; gives the change. */
function noteRateLimit(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  perSecond: number | undefined,
  now: number,
  isSigned = true,
): serverStatements.StatementChange | undefined {
  const stated = { ...serverStatements.NOTHING_STATED, perSecond, isSigned };
  const [change] = answerStatements.noteAnswerStatement(state, request, stated, now);
  return change;
}

/** Lists the limits that are in force. */
function listRateLimits({ servers }: gatewayState.GatewayState): [string, number][] {
  return [...servers.statements].flatMap(([id, { bornMs, rateLimit }]) =>
    rateLimit?.perSecond === undefined || servers.byId.get(id)?.entry.bornMs !== bornMs
      ? []
      : [[id, rateLimit.perSecond]],
  );
}

test('limit is named, changed and lifted', () => {
  const state = gatewayBench.createBench([SERVER]);
  const first = sendRequest(state, 10);
  const named = noteRateLimit(state, first, 1.5, 20);
  assert.deepEqual(named, {
    server: SERVER,
    change: 'rate-limit',
    perSecond: 1.5,
    before: undefined,
  });
  assert.equal(noteRateLimit(state, first, 1.5, 25), undefined);
  const changed = noteRateLimit(state, first, 3, 30);
  assert.deepEqual(changed, { server: SERVER, change: 'rate-limit', perSecond: 3, before: 1.5 });
  assert.deepEqual(listRateLimits(state), [[SERVER, 3]]);
  gatewayBench.assignWaiting(state, gatewayBench.buildClocks(40));
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

test('answer from before the overload lifts no limit', () => {
  // Guards against a limit that ends with a late answer to a request sent before it.
  const state = gatewayBench.createBench([SERVER]);
  const early = sendRequest(state, 10);
  const other = sendRequest(state, 11);
  noteRateLimit(state, other, 2, 20);
  assert.equal(noteRateLimit(state, early, undefined, 30), undefined);
  assert.equal(listRateLimits(state).length, 1);
});

test('limit ends with the life of its server', () => {
  const state = gatewayBench.createBench([SERVER]);
  noteRateLimit(state, sendRequest(state, 10), 2, 20);
  const reborn = gatewayBench.buildEntry(SERVER, { bornMs: 2 });
  serverEntries.applyEntry(state.servers, reborn, 30);
  assert.deepEqual(listRateLimits(state), []);
});

test('refusal that is not signed lifts no limit', () => {
  // Guards against a full server whose plain refusals end the limit that it has named.
  const state = gatewayBench.createBench([SERVER]);
  noteRateLimit(state, sendRequest(state, 10), 2, 20);
  gatewayBench.assignWaiting(state, gatewayBench.buildClocks(30));
  const later = sendRequest(state, 1040);
  assert.equal(noteRateLimit(state, later, undefined, 1050, false), undefined);
  assert.deepEqual(listRateLimits(state), [[SERVER, 2]]);
});
