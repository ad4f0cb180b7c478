import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import * as gatewayFleetState from './mocks/gateway-fleet-state.js';

const { test } = nodeTest;
const { addCall, createFleet, runFleet } = gatewayFleet;
/** Time in which a scheduler that has fallen silent is replaced at the latest, ms. */
const REPLACED_MS = 700;

/** Finds when a call was sent, milliseconds; Infinity where it was not. */
function findSentMs({ sent }: gatewayFleetState.GatewayFleet, attemptId: string): number {
  return sent.find((one) => one.attemptId === attemptId)?.atMs ?? Infinity;
}

/** Picks a gateway other than the given one. */
function pickOther({ options }: gatewayFleetState.GatewayFleet, index: number): number {
  return (index + 1) % options.gateways;
}

/** Takes all places, so that what comes next waits. */
function takeAllPlaces(fleet: gatewayFleetState.GatewayFleet, index: number): void {
  const { servers, slots } = fleet.options;
  for (let place = 0; place < servers * slots; place += 1) {
    addCall(fleet, index);
  }
  runFleet(fleet, 20);
}

test('places of all gateways are one', () => {
  // Eight gateways get a burst of five times what the backend servers work on at once,
  // and one datagram in twenty is lost. No backend server ever gets more than its
  // places, whichever gateways the requests came in by.
  const fleet = createFleet({ gateways: 8, servers: 3, slots: 4, lossShare: 0.05 });
  for (let call = 0; call < 60; call += 1) {
    addCall(fleet, call % 8);
  }
  runFleet(fleet, 3000);
  assert.equal(fleet.mostAtServer, 4);
  assert.equal(new Set(fleet.sent.map(({ attemptId }) => attemptId)).size, fleet.sent.length);
  assert.equal(fleet.sent.length + fleet.refused.length, 60);
});

test('new server while all gateways have a queue', () => {
  // A backend server comes back while calls wait at every gateway. Each gateway sees it
  // empty at the same moment; all of them together send no more than it works on at once.
  const fleet = createFleet({ gateways: 8, servers: 1, slots: 2, runMs: 400 });
  for (let call = 0; call < 40; call += 1) {
    addCall(fleet, call % 8);
  }
  runFleet(fleet, 300);
  gatewayFaults.addServer(fleet, 'server-9');
  runFleet(fleet, 100);
  assert.equal(fleet.running.filter(({ serverId }) => serverId === 'server-9').length, 2);
  runFleet(fleet, 1000);
  assert.equal(fleet.mostAtServer, 2);
});

test('urgent first, whichever gateway has it', () => {
  // All places are taken. Less urgent calls wait at one gateway, and an urgent one comes
  // in by another after them: the next place is for the urgent one.
  const fleet = createFleet();
  takeAllPlaces(fleet, 0);
  const later = [1, 2, 2].map((urgency) => addCall(fleet, 1, urgency));
  runFleet(fleet, 20);
  const urgent = addCall(fleet, 2);
  runFleet(fleet, 1000);
  later.forEach((one) => assert.ok(findSentMs(fleet, urgent) <= findSentMs(fleet, one)));
});

test('scheduler killed while calls wait', () => {
  // Calls wait in line, and the gateway that schedules dies. Without a successor their
  // callers would wait until their time is over. Those who have the calls hear nothing
  // for a fifth of a second and ask the next one.
  const fleet = createFleet({ gateways: 4, runMs: 300 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  takeAllPlaces(fleet, other);
  const waiting = addCall(fleet, other);
  runFleet(fleet, 20);
  const killedMs = fleet.nowMs;
  gatewayFaults.stopGateway(fleet, scheduler);
  runFleet(fleet, 2000);
  assert.ok(
    findSentMs(fleet, waiting) - killedMs < REPLACED_MS,
    String(findSentMs(fleet, waiting)),
  );
  assert.ok(fleet.mostAtServer <= 2, String(fleet.mostAtServer));
});

test('scheduler restarted under its address', () => {
  // The scheduler restarts at once and knows nothing of the calls that wait. It says so
  // when it is told of them, and they are asked for again.
  const fleet = createFleet({ runMs: 300 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  takeAllPlaces(fleet, other);
  const waiting = addCall(fleet, other);
  runFleet(fleet, 20);
  gatewayFaults.restartGateway(fleet, scheduler);
  const restartedMs = fleet.nowMs;
  runFleet(fleet, 2000);
  assert.ok(findSentMs(fleet, waiting) - restartedMs < REPLACED_MS);
  assert.ok(fleet.mostAtServer <= 2, String(fleet.mostAtServer));
});

test('grants of a scheduler that wakes are not used', () => {
  // The scheduler is suspended with calls in line. Another one takes over and gives the
  // places out. It wakes, frees the places that it knew of by time, and grants them:
  // nobody asked it lately, so that no call is sent twice or beyond the places.
  const fleet = createFleet({ runMs: 300 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  takeAllPlaces(fleet, other);
  const calls = [0, 1, 2, 3, 4, 5].map(() => addCall(fleet, other));
  runFleet(fleet, 20);
  gatewayFaults.pauseGateway(fleet, scheduler, 900);
  runFleet(fleet, 4000);
  calls.forEach((call) =>
    assert.equal(fleet.sent.filter(({ attemptId }) => attemptId === call).length, 1),
  );
  assert.ok(fleet.mostAtServer <= 2, String(fleet.mostAtServer));
});

test('restarted scheduler counts its grants from the beginning', () => {
  // A scheduler restarts and numbers its grants from one again. Were the last number of
  // the life before told to it, it would take each new grant as known and give its place
  // out twice, until the gateway has told of it.
  const fleet = createFleet({ servers: 1, slots: 2, runMs: 100, delayMs: 12 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  const callOften = () => {
    for (let call = 0; call < 20; call += 1) {
      addCall(fleet, other);
      runFleet(fleet, 50);
    }
  };
  callOften();
  gatewayFaults.restartGateway(fleet, scheduler);
  callOften();
  assert.equal(fleet.mostAtServer, 2);
});

test('gateway killed with all places', () => {
  // A gateway dies with requests at all places; they end with it, and nobody tells the
  // scheduler. It forgets the gateway after a second and a fifth, not never.
  const fleet = createFleet({ servers: 1, slots: 2, runMs: 10_000 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  addCall(fleet, other);
  runFleet(fleet, 700);
  gatewayFaults.stopGateway(fleet, other);
  const call = addCall(fleet, scheduler);
  const killedMs = fleet.nowMs;
  runFleet(fleet, 2500);
  assert.ok(findSentMs(fleet, call) - killedMs < 1500, String(findSentMs(fleet, call)));
});

test('answers of the scheduler are cut off', () => {
  // Asks reach the scheduler, its answers do not come back. A gateway that only looked at
  // what it can send would wait for ever; it turns to the next one.
  const fleet = createFleet();
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  gatewayFaults.setCut(fleet, scheduler, other, true);
  const call = addCall(fleet, other);
  const askedMs = fleet.nowMs;
  runFleet(fleet, 2000);
  assert.ok(findSentMs(fleet, call) - askedMs < REPLACED_MS, String(findSentMs(fleet, call)));
});

test('cut off from all others', () => {
  // A gateway reaches the backend servers and no other gateway. It serves on by itself,
  // and a second later with the part of the places that one of eight gateways has: with all of them, both
  // sides of the cut together would send twice what the backend servers work on.
  const fleet = createFleet({ gateways: 8, servers: 4, slots: 4, runMs: 500 });
  runFleet(fleet, 1000);
  for (let index = 1; index < 8; index += 1) {
    gatewayFaults.setCut(fleet, 0, index, true);
    gatewayFaults.setCut(fleet, index, 0, true);
  }
  runFleet(fleet, 1200);
  const calls = Array.from({ length: 12 }, () => addCall(fleet, 0));
  runFleet(fleet, 100);
  const atOnce = fleet.running.filter(({ gateway }) => gateway === 0).length;
  assert.ok(atOnce <= 2, String(atOnce));
  runFleet(fleet, 1400);
  const sent = calls.filter((call) => findSentMs(fleet, call) < Infinity).length;
  assert.ok(sent >= 4, String(sent));
});

test('lost word of an end mends itself', () => {
  // The datagram that tells of an end is lost. The next one tells all that is in flight:
  // the place is free a quarter of a second later, not when the gateway is forgotten.
  const fleet = createFleet({ servers: 1, slots: 1, runMs: 200 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  runFleet(fleet, 400);
  addCall(fleet, other);
  runFleet(fleet, 100);
  gatewayFaults.setCut(fleet, other, scheduler, true);
  runFleet(fleet, 140);
  gatewayFaults.setCut(fleet, other, scheduler, false);
  const call = addCall(fleet, scheduler);
  const askedMs = fleet.nowMs;
  runFleet(fleet, 1000);
  assert.ok(findSentMs(fleet, call) - askedMs < 300, String(findSentMs(fleet, call) - askedMs));
});

test('grants that cannot be used make no storm', () => {
  // The only backend server leaves; the gateway that has the calls knows it, the scheduler
  // does not for a second. Each place that is given back is granted again at once; asked
  // for at once as well, the two would send each other hundreds of datagrams a second.
  const fleet = createFleet({ servers: 1, slots: 4 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  gatewayFaults.tellLeaving(fleet, other, 'server-0');
  [0, 1, 2, 3, 4, 5].forEach(() => addCall(fleet, other));
  const { schedulingTotals } = fleet.states[other];
  const before = schedulingTotals.asks;
  runFleet(fleet, 1000);
  assert.ok(schedulingTotals.asks - before < 60, String(schedulingTotals.asks - before));
});

test('leaving server that the scheduler does not know of', () => {
  // One gateway has heard that a backend server leaves, the scheduler has not. A place
  // there is not used: the gateway is bound by what it knows, and asks for another one.
  const fleet = createFleet({ servers: 2, slots: 4 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  gatewayFaults.tellLeaving(fleet, other, 'server-0');
  const before = fleet.sent.length;
  const calls = [0, 1, 2, 3].map(() => addCall(fleet, other));
  runFleet(fleet, 1000);
  const there = fleet.sent.slice(before).map(({ serverId }) => serverId);
  assert.deepEqual(new Set(there), new Set(['server-1']));
  assert.equal(there.length, calls.length);
});

test('new server that only the scheduler has read of', () => {
  // All backend servers are full and calls wait at every gateway. A new one comes, of which
  // the scheduler has read; the others read the store later. It is used at once by all.
  const fleet = createFleet({ gateways: 6, servers: 1, slots: 2, runMs: 400 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  for (let call = 0; call < 30; call += 1) {
    addCall(fleet, call % 6);
  }
  runFleet(fleet, 100);
  gatewayFaults.tellServer(fleet, scheduler, 'server-8');
  runFleet(fleet, 1500);
  const there = fleet.sent.filter(({ serverId }) => serverId === 'server-8');
  assert.ok(there.some(({ gateway }) => gateway !== scheduler));
  assert.ok(there.length >= 4, String(there.length));
  assert.equal(fleet.mostAtServer, 2);
});
