import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import type * as gatewayFleetState from './mocks/gateway-fleet-state.js';
import * as gatewayLoad from './mocks/gateway-load.js';

const { test } = nodeTest;
const { createFleet } = gatewayFleet;
const { runLoad } = gatewayLoad;
const REFUSING = 'server-0';
const BACKOFF_MS = 3000;
/** Requests that were on their way when the refusal came arrive within this time, milliseconds. */
const ON_WAY_MS = 500;
const FLEET = { gateways: 4, servers: 3, slots: 8, runMs: 200 };

/** Counts the most requests that one gateway sent within the backoff of one refusal. */
function countMostWithinBackoff({ backedOff }: gatewayFleetState.GatewayFleet): number {
  const counts = backedOff.map(
    (refused) =>
      backedOff.filter(
        ({ gateway, serverId, atMs }) =>
          gateway === refused.gateway &&
          serverId === refused.serverId &&
          atMs > refused.atMs + ON_WAY_MS &&
          atMs < refused.atMs + BACKOFF_MS,
      ).length,
  );
  return Math.max(...counts, 0);
}

test('server that asks for a backoff gets nothing meanwhile', () => {
  // Guards against pauses of the scheduler's own that are shorter than what a server asks for.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 1000);
  fleet.backoffs.set(REFUSING, BACKOFF_MS);
  runLoad(fleet, 8000);
  assert.ok(fleet.backedOff.length > 0);
  assert.equal(countMostWithinBackoff(fleet), 0);
});
