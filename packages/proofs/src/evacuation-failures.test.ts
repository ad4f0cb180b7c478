import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import * as gatewayFleetState from './mocks/gateway-fleet-state.js';

const { test } = nodeTest;
const { addCall, createFleet, runFleet } = gatewayFleet;
const EVACUATED_DOMAIN = 'd0';
const EVACUATED = {
  failureDomain: EVACUATED_DOMAIN,
  isEvacuated: true,
  revision: { epoch: 0, count: 10 },
};
const RETURNED = {
  failureDomain: EVACUATED_DOMAIN,
  isEvacuated: false,
  revision: { epoch: 0, count: 20 },
};

/** Lists the requests that were sent to a failure domain from `sinceMs` on. */
function listSentTo(
  { sent, options }: gatewayFleetState.GatewayFleet,
  domain: string,
  sinceMs: number,
): gatewayFleetState.SentRequest[] {
  return sent.filter(
    ({ serverId, atMs }) =>
      atMs >= sinceMs &&
      gatewayFleetState.formatDomain(Number(serverId.split('-')[1]) % options.domains) === domain,
  );
}

/** Adds calls at all gateways in turn. */
function addCalls(fleet: gatewayFleetState.GatewayFleet, count: number): string[] {
  return Array.from({ length: count }, (_, index) => addCall(fleet, index % fleet.states.length));
}

test('domain is evacuated during a burst', () => {
  // All places are taken and calls wait at every gateway. A failure domain is evacuated:
  // its running requests end there, and no waiting request is sent there any more, even
  // though its backend servers are the first to have free places.
  const fleet = createFleet({ gateways: 6, servers: 4, slots: 3, domains: 2, runMs: 300 });
  const calls = addCalls(fleet, 40);
  runFleet(fleet, 100);
  assert.ok(fleet.running.some(({ serverId }) => serverId === 'server-0'));
  gatewayFaults.setEvacuated(fleet, EVACUATED);
  const sinceMs = fleet.nowMs;
  runFleet(fleet, 3000);
  assert.deepEqual(listSentTo(fleet, EVACUATED_DOMAIN, sinceMs), []);
  assert.ok(listSentTo(fleet, 'd1', sinceMs).length > 0);
  const ended = new Set([...fleet.sent, ...fleet.refused].map(({ attemptId }) => attemptId));
  assert.equal(ended.size, calls.length);
});

test('gateway learns of an evacuation before the scheduler', () => {
  // The gateway that has the calls knows that a failure domain is evacuated, the scheduler
  // does not. Each request names the domain as excluded, so that no grant for a place
  // there goes unused.
  const fleet = createFleet({ servers: 4, slots: 2, domains: 2 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = (scheduler + 1) % fleet.states.length;
  gatewayFaults.setEvacuated(fleet, EVACUATED, other);
  const sinceMs = fleet.nowMs;
  const calls = Array.from({ length: 8 }, () => addCall(fleet, other));
  runFleet(fleet, 2000);
  assert.deepEqual(listSentTo(fleet, EVACUATED_DOMAIN, sinceMs), []);
  assert.equal(listSentTo(fleet, 'd1', sinceMs).length, calls.length);
  assert.equal(fleet.states[other].schedulingTotals.grantsUnused, 0);
});

test('scheduler learns of an evacuation before the gateway', () => {
  const fleet = createFleet({ servers: 4, slots: 2, domains: 2 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = (scheduler + 1) % fleet.states.length;
  gatewayFaults.setEvacuated(fleet, EVACUATED, scheduler);
  const sinceMs = fleet.nowMs;
  Array.from({ length: 8 }, () => addCall(fleet, other));
  runFleet(fleet, 2000);
  assert.deepEqual(listSentTo(fleet, EVACUATED_DOMAIN, sinceMs), []);
});

test('evacuation while a grant is in transit', () => {
  // A call is granted a place, and before the grant arrives its gateway learns that the
  // domain is evacuated. The grant is not used; the call gets a place elsewhere.
  const fleet = createFleet({ servers: 2, slots: 1, domains: 2, delayMs: 20 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = (scheduler + 1) % fleet.states.length;
  runFleet(fleet, 600);
  const calls = [addCall(fleet, other), addCall(fleet, other)];
  runFleet(fleet, 35);
  const sinceMs = fleet.nowMs;
  gatewayFaults.setEvacuated(fleet, EVACUATED, other);
  runFleet(fleet, 2000);
  assert.deepEqual(listSentTo(fleet, EVACUATED_DOMAIN, sinceMs), []);
  const sent = fleet.sent.filter(({ attemptId }) => calls.includes(attemptId));
  assert.equal(sent.length, calls.length);
});

test('domain that returns to service is used again', () => {
  const fleet = createFleet({ servers: 2, slots: 2, domains: 2 });
  gatewayFaults.setEvacuated(fleet, EVACUATED);
  addCalls(fleet, 4);
  runFleet(fleet, 500);
  gatewayFaults.setEvacuated(fleet, RETURNED);
  const sinceMs = fleet.nowMs;
  addCalls(fleet, 4);
  runFleet(fleet, 1000);
  assert.ok(listSentTo(fleet, EVACUATED_DOMAIN, sinceMs).length > 0);
});

test('scheduler killed as its domain is evacuated', () => {
  // The gateway that schedules is in the domain that is evacuated, and is killed shortly
  // afterwards. Its successor knows of the evacuation from the store, and sends nothing there.
  const fleet = createFleet({ gateways: 4, servers: 4, slots: 2, domains: 2, runMs: 300 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  addCalls(fleet, 24);
  runFleet(fleet, 50);
  gatewayFaults.setEvacuated(fleet, EVACUATED);
  const sinceMs = fleet.nowMs;
  runFleet(fleet, 20);
  gatewayFaults.stopGateway(fleet, scheduler);
  runFleet(fleet, 3000);
  assert.deepEqual(listSentTo(fleet, EVACUATED_DOMAIN, sinceMs), []);
  assert.ok(listSentTo(fleet, 'd1', sinceMs + 500).length > 0);
});
