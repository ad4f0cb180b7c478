import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import type * as gatewayFleetState from './mocks/gateway-fleet-state.js';
import * as gatewayLoad from './mocks/gateway-load.js';

const { test } = nodeTest;
const { createFleet } = gatewayFleet;
const { runLoad } = gatewayLoad;
const LEAVER = 'server-0';
const FLEET = { gateways: 4, servers: 3, slots: 8, runMs: 200 };

/** Lists the requests that gateways sent to the leaving server after an answer had told them. */
function listSentAfterTold(
  { sent, told }: gatewayFleetState.GatewayFleet,
  graceMs = 0,
): gatewayFleetState.SentRequest[] {
  return sent.filter(
    (one) =>
      one.serverId === LEAVER &&
      told.some(
        ({ gateway, serverId, atMs }) =>
          gateway === one.gateway && serverId === LEAVER && one.atMs > atMs + graceMs,
      ),
  );
}

test('server that answers that it leaves gets no more', () => {
  // Guards against departures that are learned from the store alone, which may be away.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 1000);
  fleet.sayingLeaving.add(LEAVER);
  runLoad(fleet, 4000);
  assert.equal(fleet.told.length > 0, true);
  assert.deepEqual(listSentAfterTold(fleet), []);
});
