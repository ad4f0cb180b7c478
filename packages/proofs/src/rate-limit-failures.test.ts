import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import type * as gatewayFleetState from './mocks/gateway-fleet-state.js';
import * as gatewayLoad from './mocks/gateway-load.js';

const { test } = nodeTest;
const { createFleet } = gatewayFleet;
const { countMostWithin, listTimes, runLoad } = gatewayLoad;
const LIMITED = 'server-0';
const PER_SECOND = 1.6;
const FLEET = { gateways: 4, servers: 3, slots: 8, runMs: 200 };
/** Time over which a backend server with a rate limit counts, milliseconds. */
const WINDOW_MS = 4000;
const MS_PER_SECOND = 1000;
/** What it may get beyond the limit in that time: a multiple, and some requests besides. */
const TOLERANCE = { factor: 1.5, extra: 5 };
/** Gateways keep a limit this long after it was first named, milliseconds. */
const LEARNING_MS = 3000;

/** Computes what a backend server may get within the window. */
function computeBound(perSecond: number): number {
  return TOLERANCE.factor * perSecond * (WINDOW_MS / MS_PER_SECOND) + TOLERANCE.extra;
}

/** Counts the most requests that the limited server got since it had named its limit. */
function countMost(fleet: gatewayFleetState.GatewayFleet, sinceMs: number): number {
  return countMostWithin(listTimes(fleet, LIMITED, sinceMs + LEARNING_MS), WINDOW_MS);
}

test('server that names a rate limit gets no more', () => {
  // Guards against requests placed by free places alone: many times what a server takes.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 2000);
  fleet.rateLimits.set(LIMITED, PER_SECOND);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 9000);
  const most = countMost(fleet, sinceMs);
  assert.ok(most > 0 && most <= computeBound(PER_SECOND), String(most));
});
