import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import * as gatewayFleetState from './mocks/gateway-fleet-state.js';

const { test } = nodeTest;
const { addCall, createFleet, runFleet } = gatewayFleet;
const FIRST = 'd0';
const EVACUATED = { failureDomain: FIRST, isEvacuated: true, revision: { epoch: 0, count: 10 } };
const TAKEN_BACK = { failureDomain: FIRST, isEvacuated: false, revision: { epoch: 0, count: 20 } };

/** Lists the calls that were sent to a failure domain since a time. */
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

/** Takes calls in at all gateways in turn. */
function addCalls(fleet: gatewayFleetState.GatewayFleet, count: number): string[] {
  return Array.from({ length: count }, (_, index) => addCall(fleet, index % fleet.states.length));
}

test('domain is evacuated in a burst', () => {
  // All places are taken and calls wait at every gateway. A failure domain is evacuated:
  // what runs there ends there, and of what waits nothing goes there any more, though its
  // backend servers become empty first.
  const fleet = createFleet({ gateways: 6, servers: 4, slots: 3, domains: 2, runMs: 300 });
  const calls = addCalls(fleet, 40);
  runFleet(fleet, 100);
  assert.ok(fleet.running.some(({ serverId }) => serverId === 'server-0'));
  gatewayFaults.setEvacuated(fleet, EVACUATED);
  const sinceMs = fleet.nowMs;
  runFleet(fleet, 3000);
  assert.deepEqual(listSentTo(fleet, FIRST, sinceMs), []);
  assert.ok(listSentTo(fleet, 'd1', sinceMs).length > 0);
  const ended = new Set([...fleet.sent, ...fleet.refused].map(({ attemptId }) => attemptId));
  assert.equal(ended.size, calls.length);
});

test('gateway hears of it before the scheduler', () => {
  // The gateway that has the calls knows that a failure domain is evacuated, the scheduler
  // does not. It is told with each call, so that no place there is granted in vain.
  const fleet = createFleet({ servers: 4, slots: 2, domains: 2 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = (scheduler + 1) % fleet.states.length;
  gatewayFaults.setEvacuated(fleet, EVACUATED, other);
  const sinceMs = fleet.nowMs;
  const calls = Array.from({ length: 8 }, () => addCall(fleet, other));
  runFleet(fleet, 2000);
  assert.deepEqual(listSentTo(fleet, FIRST, sinceMs), []);
  assert.equal(listSentTo(fleet, 'd1', sinceMs).length, calls.length);
  assert.equal(fleet.states[other].schedulingTotals.grantsUnused, 0);
});

test('scheduler hears of it before the gateway', () => {
  const fleet = createFleet({ servers: 4, slots: 2, domains: 2 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = (scheduler + 1) % fleet.states.length;
  gatewayFaults.setEvacuated(fleet, EVACUATED, scheduler);
  const sinceMs = fleet.nowMs;
  Array.from({ length: 8 }, () => addCall(fleet, other));
  runFleet(fleet, 2000);
  assert.deepEqual(listSentTo(fleet, FIRST, sinceMs), []);
});

test('word comes while a grant is on its way', () => {
  // A call is granted a place, and before the grant arrives its gateway hears that the
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
  assert.deepEqual(listSentTo(fleet, FIRST, sinceMs), []);
  const sent = fleet.sent.filter(({ attemptId }) => calls.includes(attemptId));
  assert.equal(sent.length, calls.length);
});

test('taken back, then used again', () => {
  const fleet = createFleet({ servers: 2, slots: 2, domains: 2 });
  gatewayFaults.setEvacuated(fleet, EVACUATED);
  addCalls(fleet, 4);
  runFleet(fleet, 500);
  gatewayFaults.setEvacuated(fleet, TAKEN_BACK);
  const sinceMs = fleet.nowMs;
  addCalls(fleet, 4);
  runFleet(fleet, 1000);
  assert.ok(listSentTo(fleet, FIRST, sinceMs).length > 0);
});

test('scheduler killed as its domain is evacuated', () => {
  // The gateway that schedules lies in the domain that is evacuated, and dies a moment
  // later. The next one knows of the evacuation by itself; nothing goes there.
  const fleet = createFleet({ gateways: 4, servers: 4, slots: 2, domains: 2, runMs: 300 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  addCalls(fleet, 24);
  runFleet(fleet, 50);
  gatewayFaults.setEvacuated(fleet, EVACUATED);
  const sinceMs = fleet.nowMs;
  runFleet(fleet, 20);
  gatewayFaults.stopGateway(fleet, scheduler);
  runFleet(fleet, 3000);
  assert.deepEqual(listSentTo(fleet, FIRST, sinceMs), []);
  assert.ok(listSentTo(fleet, 'd1', sinceMs + 500).length > 0);
});
