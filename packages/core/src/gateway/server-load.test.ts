import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as candidates from './candidates.js';
import * as gatewayState from './gateway-state.js';
import * as gatewayBench from './mocks/gateway-bench.js';
import * as serverLoad from './server-load.js';

const { test } = nodeTest;

/** Lets a backend server fail a few requests in a row. */
function failOften(state: gatewayState.GatewayState, id: string, now: number): void {
  const load = gatewayState.getLoad(state, id);
  [1, 2, 3, 4].forEach(() => serverLoad.recordAnswer(load, false, now));
}

/** Lists the backend servers that may get work. */
function listIds(state: gatewayState.GatewayState, now: number): string[] {
  return candidates.listCandidates(state, 'one', now).map(({ id }) => id);
}

test('server that fails at once gets no stream of work', () => {
  // A backend server fails everything at once and so is always the emptiest: it
  // draws the requests of all others. It is left out, then tried with one request
  // at a time, and is back after one that succeeds.
  const state = gatewayBench.createBench(['a', 'bb', 'ccc']);
  failOften(state, 'a', 0);
  assert.deepEqual(listIds(state, 10), ['bb', 'ccc']);
  const load = gatewayState.getLoad(state, 'a');
  assert.deepEqual(listIds(state, 600), ['a', 'bb', 'ccc']);
  load.inFlight = 1;
  assert.deepEqual(listIds(state, 600), ['bb', 'ccc']);
  load.inFlight = 0;
  serverLoad.recordAnswer(load, false, 700);
  assert.deepEqual(listIds(state, 1600), ['bb', 'ccc']);
  assert.deepEqual(listIds(state, 1800), ['a', 'bb', 'ccc']);
  load.inFlight = 1;
  serverLoad.recordAnswer(load, true, 1900);
  assert.deepEqual(listIds(state, 1900), ['a', 'bb', 'ccc']);
});

test('where most servers fail none is ejected', () => {
  // A release answers everything with an error. Waiting would help nobody; callers
  // get the error at once, and one good answer is seen at once.
  const state = gatewayBench.createBench(['a', 'bb', 'ccc']);
  ['a', 'bb'].forEach((id) => failOften(state, id, 0));
  assert.deepEqual(listIds(state, 10), ['a', 'bb', 'ccc']);
});

test('one failure among good answers ejects nothing', () => {
  const state = gatewayBench.createBench(['a', 'bb']);
  const load = gatewayState.getLoad(state, 'a');
  [true, false, true, true].forEach((good) => serverLoad.recordAnswer(load, good, 0));
  assert.deepEqual(listIds(state, 10), ['a', 'bb']);
});
