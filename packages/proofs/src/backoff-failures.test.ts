import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gateway from '@toucanproxy/core/gateway';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import * as gatewayFleetState from './mocks/gateway-fleet-state.js';
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
        (one) =>
          one.gateway === refused.gateway &&
          one.serverId === refused.serverId &&
          one.atMs > refused.atMs + ON_WAY_MS &&
          one.atMs < refused.atMs + BACKOFF_MS,
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

/** Runs a fleet until a server has refused a gateway with a backoff; gives when. */
function runUntilRefused(fleet: gatewayFleetState.GatewayFleet): number {
  runLoad(fleet, 1000);
  fleet.backoffs.set(REFUSING, BACKOFF_MS);
  while (fleet.backedOff.length === 0) {
    runLoad(fleet, 10);
  }
  return fleet.nowMs;
}

test('scheduler killed during a backoff', () => {
  // Guards against a backoff that only the scheduler of that moment knew of.
  const fleet = createFleet(FLEET);
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  runUntilRefused(fleet);
  runLoad(fleet, 500);
  gatewayFaults.stopGateway(fleet, scheduler);
  runLoad(fleet, 6000);
  assert.equal(countMostWithinBackoff(fleet), 0);
});

test('backoff with a partition and a third of the datagrams lost', () => {
  const fleet = createFleet({ ...FLEET, lossShare: 0.33 });
  runUntilRefused(fleet);
  [0, 1].forEach((from) =>
    [2, 3].forEach((to) => {
      gatewayFaults.setCut(fleet, from, to, true);
      gatewayFaults.setCut(fleet, to, from, true);
    }),
  );
  runLoad(fleet, 8000);
  assert.equal(countMostWithinBackoff(fleet), 0);
});

test('server is used again after its backoff', () => {
  const fleet = createFleet(FLEET);
  const refusedMs = runUntilRefused(fleet);
  fleet.backoffs.clear();
  runLoad(fleet, BACKOFF_MS + 1000);
  const times = gatewayLoad.listTimes(fleet, REFUSING, refusedMs + BACKOFF_MS);
  assert.ok(times.length > 10, String(times.length));
});

test('next life of a server has no backoff', () => {
  const fleet = createFleet(FLEET);
  const refusedMs = runUntilRefused(fleet);
  fleet.backoffs.clear();
  gatewayFaults.applyServer(fleet, REFUSING, {
    bornMs: fleet.nowMs,
    revision: { epoch: 0, count: 9 },
  });
  runLoad(fleet, 1000);
  const times = gatewayLoad.listTimes(fleet, REFUSING, refusedMs + 100);
  assert.ok(times.length > 10, String(times.length));
});

test('backoff asked of one gateway leaves the others their places', () => {
  // Guards against callers of all gateways that wait since servers take nothing from one.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 1000);
  const statement = { ...gateway.EMPTY_STATEMENT, backoffMs: BACKOFF_MS };
  gatewayFleetState.listServerIds(fleet).forEach((serverId) => {
    const life = { id: serverId, bornMs: 1 };
    gateway.applyStatement(fleet.states[0].servers, life, statement, fleet.nowMs);
  });
  const sinceMs = fleet.nowMs;
  runLoad(fleet, BACKOFF_MS - 500);
  const recent = fleet.sent.filter(({ atMs }) => atMs > sinceMs);
  assert.deepEqual([...new Set(recent.map(({ gateway: index }) => index))].sort(), [1, 2, 3]);
  const places = FLEET.servers * FLEET.slots;
  const possible = (places * (fleet.nowMs - sinceMs)) / FLEET.runMs;
  assert.ok(recent.length > 0.9 * possible, `${recent.length} of ${possible}`);
});

test('callers of a service that takes nothing are refused at once', () => {
  // Guards against callers who wait out their time while every server asks to be left alone.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 1000);
  gatewayFleetState.listServerIds(fleet).forEach((id) => fleet.backoffs.set(id, 60_000));
  runLoad(fleet, 2000);
  const attemptId = gatewayFleet.addCall(fleet, 1);
  assert.ok(fleet.refused.some((one) => one.attemptId === attemptId));
});
