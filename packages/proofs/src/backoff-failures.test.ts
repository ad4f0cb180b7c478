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
const REFUSING_SERVER = 'server-0';
const BACKOFF_MS = 3000;
/** Longest time that a request already in transit takes to arrive, milliseconds. */
const IN_TRANSIT_MS = 500;
const FLEET = { gateways: 4, servers: 3, slots: 8, runMs: 200 };

/** Returns the largest number of requests that one gateway sent within the backoff of a refusal. */
function countMaxWithinBackoff({ backoffRefusals }: gatewayFleetState.GatewayFleet): number {
  const counts = backoffRefusals.map(
    (refused) =>
      backoffRefusals.filter(
        (one) =>
          one.gateway === refused.gateway &&
          one.serverId === refused.serverId &&
          one.atMs > refused.atMs + IN_TRANSIT_MS &&
          one.atMs < refused.atMs + BACKOFF_MS,
      ).length,
  );
  return Math.max(...counts, 0);
}

test('server that asks for a backoff gets no requests meanwhile', () => {
  // Guards against a scheduler that pauses a server for less time than the server asked for.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 1000);
  fleet.backoffs.set(REFUSING_SERVER, BACKOFF_MS);
  runLoad(fleet, 8000);
  assert.ok(fleet.backoffRefusals.length > 0);
  assert.equal(countMaxWithinBackoff(fleet), 0);
});

/** Runs a fleet until a server has refused a request with a backoff; returns the time. */
function runUntilRefused(fleet: gatewayFleetState.GatewayFleet): number {
  runLoad(fleet, 1000);
  fleet.backoffs.set(REFUSING_SERVER, BACKOFF_MS);
  while (fleet.backoffRefusals.length === 0) {
    runLoad(fleet, 10);
  }
  return fleet.nowMs;
}

test('scheduler killed during a backoff', () => {
  // Guards against a backoff that is lost together with the scheduler that knew of it.
  const fleet = createFleet(FLEET);
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  runUntilRefused(fleet);
  runLoad(fleet, 500);
  gatewayFaults.stopGateway(fleet, scheduler);
  runLoad(fleet, 6000);
  assert.equal(countMaxWithinBackoff(fleet), 0);
});

test('backoff with a partition and a third of the datagrams lost', () => {
  const fleet = createFleet({ ...FLEET, lossShare: 0.33 });
  runUntilRefused(fleet);
  [0, 1].forEach((from) =>
    [2, 3].forEach((to) => {
      gatewayFaults.setPathBlocked(fleet, from, to, true);
      gatewayFaults.setPathBlocked(fleet, to, from, true);
    }),
  );
  runLoad(fleet, 8000);
  assert.equal(countMaxWithinBackoff(fleet), 0);
});

test('server is used again after its backoff', () => {
  const fleet = createFleet(FLEET);
  const refusedMs = runUntilRefused(fleet);
  fleet.backoffs.clear();
  runLoad(fleet, BACKOFF_MS + 1000);
  const times = gatewayLoad.listSendTimes(fleet, REFUSING_SERVER, refusedMs + BACKOFF_MS);
  assert.ok(times.length > 10, String(times.length));
});

test('next incarnation of a server has no backoff', () => {
  const fleet = createFleet(FLEET);
  const refusedMs = runUntilRefused(fleet);
  fleet.backoffs.clear();
  gatewayFaults.applyServerEntry(fleet, REFUSING_SERVER, {
    bornMs: fleet.nowMs,
    revision: { epoch: 0, count: 9 },
  });
  runLoad(fleet, 1000);
  const times = gatewayLoad.listSendTimes(fleet, REFUSING_SERVER, refusedMs + 100);
  assert.ok(times.length > 10, String(times.length));
});

test('backoff of one gateway leaves the places to the others', () => {
  // Guards against all gateways waiting because the servers refuse requests of one of them.
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

test('callers are refused at once when all servers ask for a backoff', () => {
  // Guards against callers that wait until their deadline while no server accepts requests.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 1000);
  gatewayFleetState.listServerIds(fleet).forEach((id) => fleet.backoffs.set(id, 60_000));
  runLoad(fleet, 2000);
  const attemptId = gatewayFleet.addCall(fleet, 1);
  assert.ok(fleet.refused.some((one) => one.attemptId === attemptId));
});
