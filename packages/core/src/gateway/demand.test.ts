import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as demand from './demand.js';
import * as intake from './intake.js';
import * as gatewayBench from './mocks/gateway-bench.js';

const { test } = nodeTest;
const { buildArrived, buildClocks, buildRoute, createBench } = gatewayBench;
/** A route whose time is over before any engine can answer, milliseconds. */
const HOPELESS = buildRoute({ targetMs: 5, patienceMs: 5 });

/** Offers requests at a time to a gateway, and counts those that it took in. */
function offerRequests(state: ReturnType<typeof createBench>, count: number, now: number): number {
  return Array.from({ length: count }, (_, index) =>
    intake.admitRequest(state, buildArrived(`${now}-${index}`), buildClocks(now)),
  ).filter(({ kind }) => kind === 'admitted').length;
}

test('refused requests are demand', () => {
  // A gateway without a place refuses all that it is asked for. Were its demand none
  // for that, it would get no place either, also after the others have some free.
  const state = createBench([], [HOPELESS]);
  assert.equal(offerRequests(state, 8, 100), 0);
  assert.equal(demand.updateToldDemand(state, 100).get('one'), 8);
});

test('demand fades', () => {
  const state = createBench([], [HOPELESS]);
  offerRequests(state, 8, 100);
  assert.equal(demand.updateToldDemand(state, 1100).get('one'), 3);
  assert.equal(demand.updateToldDemand(state, 10_000).size, 0);
});
