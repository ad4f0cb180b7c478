import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import * as gatewayFleetState from './mocks/gateway-fleet-state.js';
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

/** Lists the requests that reached the leaving server from any gateway since a time. */
function listSentSince(
  { sent }: gatewayFleetState.GatewayFleet,
  sinceMs: number,
): gatewayFleetState.SentRequest[] {
  return sent.filter(({ serverId, atMs }) => serverId === LEAVER && atMs >= sinceMs);
}

/** Runs a fleet until a gateway has been told that a server leaves; gives when. */
function runUntilTold(fleet: gatewayFleetState.GatewayFleet): number {
  runLoad(fleet, 1000);
  fleet.sayingLeaving.add(LEAVER);
  while (fleet.told.length === 0) {
    runLoad(fleet, 10);
  }
  return fleet.nowMs;
}

test('gateways that were not told stop too', () => {
  // Guards against a scheduler that goes on granting places at a server that leaves.
  const fleet = createFleet(FLEET);
  const toldMs = runUntilTold(fleet);
  runLoad(fleet, 3000);
  assert.deepEqual(listSentSince(fleet, toldMs + 100), []);
});

test('scheduler killed after a server has said that it leaves', () => {
  // Guards against a departure that only the scheduler of that moment knew of.
  const fleet = createFleet(FLEET);
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  runUntilTold(fleet);
  runLoad(fleet, 500);
  gatewayFaults.stopGateway(fleet, scheduler);
  runLoad(fleet, 3000);
  assert.deepEqual(listSentAfterTold(fleet), []);
});

test('departure reaches schedulers that restart in turn', () => {
  const fleet = createFleet(FLEET);
  const toldMs = runUntilTold(fleet);
  runLoad(fleet, 6000, (passedMs) => {
    if (passedMs % 1000 === 500) {
      assert.deepEqual(listSentAfterTold(fleet), []);
      const index = Math.floor(passedMs / 1000) % FLEET.gateways;
      gatewayFaults.restartGateway(fleet, index);
      fleet.told = fleet.told.filter(({ gateway }) => gateway !== index);
    }
  });
  assert.deepEqual(listSentAfterTold(fleet), []);
  const all = listSentSince(fleet, toldMs + 100);
  assert.ok(all.length < 20, String(all.length));
});

test('departure with a partition between gateways', () => {
  const fleet = createFleet(FLEET);
  runUntilTold(fleet);
  [0, 1].forEach((from) =>
    [2, 3].forEach((to) => {
      gatewayFaults.setCut(fleet, from, to, true);
      gatewayFaults.setCut(fleet, to, from, true);
    }),
  );
  runLoad(fleet, 3000);
  assert.deepEqual(listSentAfterTold(fleet), []);
});

test('departure with a third of the datagrams lost', () => {
  const fleet = createFleet({ ...FLEET, lossShare: 0.33 });
  const toldMs = runUntilTold(fleet);
  runLoad(fleet, 3000);
  assert.deepEqual(listSentAfterTold(fleet), []);
  assert.deepEqual(listSentSince(fleet, toldMs + 1000), []);
});

test('entry that says ready revokes no departure', () => {
  // Guards against an entry that was written before the departure and is read after it.
  const fleet = createFleet(FLEET);
  runUntilTold(fleet);
  gatewayFaults.applyServer(fleet, LEAVER, { revision: { epoch: 0, count: 9 } });
  runLoad(fleet, 2000);
  assert.deepEqual(listSentAfterTold(fleet), []);
});

test('next life of a server that had left gets requests', () => {
  // Guards against a departure that outlives its server, told by a gateway that reads late.
  const fleet = createFleet(FLEET);
  runUntilTold(fleet);
  runLoad(fleet, 500);
  fleet.sayingLeaving.clear();
  const reborn = { bornMs: fleet.nowMs, revision: { epoch: 0, count: 9 } };
  [0, 1, 2].forEach((index) => gatewayFaults.applyServer(fleet, LEAVER, reborn, index));
  runLoad(fleet, 500);
  gatewayFaults.applyServer(fleet, LEAVER, reborn, 3);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1000);
  assert.ok(listSentSince(fleet, sinceMs).length > 10);
});

test('next life says that it leaves before its entry is read', () => {
  // Guards against a departure that is put down to the life before, and forgotten with it.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 1000);
  const reborn = { bornMs: fleet.nowMs, revision: { epoch: 0, count: 9 } };
  runUntilTold(fleet);
  runLoad(fleet, 500);
  gatewayFaults.applyServer(fleet, LEAVER, reborn);
  runLoad(fleet, 1000);
  assert.deepEqual(listSentAfterTold(fleet), []);
});

test('all servers of a service leave', () => {
  // Guards against callers who wait out their time for servers that all leave.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 1000);
  gatewayFleetState.listServerIds(fleet).forEach((id) => fleet.sayingLeaving.add(id));
  runLoad(fleet, 1000);
  const sinceMs = fleet.nowMs;
  const sentBefore = fleet.sent.length;
  runLoad(fleet, 1000);
  assert.equal(fleet.sent.length, sentBefore);
  assert.ok(fleet.refused.filter(({ atMs }) => atMs >= sinceMs).length > 100);
});
