import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import * as gatewayFleetState from './mocks/gateway-fleet-state.js';

const { test } = nodeTest;
const { addCall, createFleet, runFleet } = gatewayFleet;
/** Maximum time until a scheduler that stopped replying is replaced, milliseconds. */
const MAX_FAILOVER_MS = 700;

/** Returns when a call was sent, milliseconds; Infinity if it was not. */
function findSentMs({ sent }: gatewayFleetState.GatewayFleet, attemptId: string): number {
  return sent.find((one) => one.attemptId === attemptId)?.atMs ?? Infinity;
}

/** Picks a gateway other than the given one. */
function pickOther({ options }: gatewayFleetState.GatewayFleet, index: number): number {
  return (index + 1) % options.gateways;
}

/** Takes all places, so that further calls wait. */
function takeAllPlaces(fleet: gatewayFleetState.GatewayFleet, index: number): void {
  const { servers, slots } = fleet.options;
  for (let place = 0; place < servers * slots; place += 1) {
    addCall(fleet, index);
  }
  runFleet(fleet, 20);
}

test('all gateways together never exceed the places', () => {
  // Eight gateways get a burst of five times the concurrency of the backend servers,
  // and one datagram in twenty is lost. No backend server ever gets more requests than
  // it has places, whichever gateways the requests arrived at.
  const fleet = createFleet({ gateways: 8, servers: 3, slots: 4, lossShare: 0.05 });
  for (let call = 0; call < 60; call += 1) {
    addCall(fleet, call % 8);
  }
  runFleet(fleet, 3000);
  assert.equal(fleet.peakConcurrency, 4);
  assert.equal(new Set(fleet.sent.map(({ attemptId }) => attemptId)).size, fleet.sent.length);
  assert.equal(fleet.sent.length + fleet.refused.length, 60);
});

test('new server while all gateways have a queue', () => {
  // A new backend server appears while calls wait at every gateway. All gateways see it
  // idle at the same moment; together they send no more requests than it has places.
  const fleet = createFleet({ gateways: 8, servers: 1, slots: 2, runMs: 400 });
  for (let call = 0; call < 40; call += 1) {
    addCall(fleet, call % 8);
  }
  runFleet(fleet, 300);
  gatewayFaults.addServerAtAllGateways(fleet, 'server-9');
  runFleet(fleet, 100);
  assert.equal(fleet.running.filter(({ serverId }) => serverId === 'server-9').length, 2);
  runFleet(fleet, 1000);
  assert.equal(fleet.peakConcurrency, 2);
});

test('urgent call first, whichever gateway has it', () => {
  // All places are taken. Less urgent calls wait at one gateway, and an urgent one arrives
  // later at another gateway: the urgent one gets the next place.
  const fleet = createFleet();
  takeAllPlaces(fleet, 0);
  const later = [1, 2, 2].map((urgency) => addCall(fleet, 1, urgency));
  runFleet(fleet, 20);
  const urgent = addCall(fleet, 2);
  runFleet(fleet, 1000);
  later.forEach((one) => assert.ok(findSentMs(fleet, urgent) <= findSentMs(fleet, one)));
});

test('scheduler killed while calls wait', () => {
  // Calls are queued when the gateway that schedules is killed. Without a failover their
  // callers would wait until their deadline. The gateways that have the calls receive no
  // reply for 200 ms and ask the next scheduler.
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
    findSentMs(fleet, waiting) - killedMs < MAX_FAILOVER_MS,
    String(findSentMs(fleet, waiting)),
  );
  assert.ok(fleet.peakConcurrency <= 2, String(fleet.peakConcurrency));
});

test('scheduler restarted under its address', () => {
  // The scheduler restarts at once and does not know the queued calls. It reports that
  // when a gateway refers to them, and the gateway asks for them again.
  const fleet = createFleet({ runMs: 300 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  takeAllPlaces(fleet, other);
  const waiting = addCall(fleet, other);
  runFleet(fleet, 20);
  gatewayFaults.restartGateway(fleet, scheduler);
  const restartedMs = fleet.nowMs;
  runFleet(fleet, 2000);
  assert.ok(findSentMs(fleet, waiting) - restartedMs < MAX_FAILOVER_MS);
  assert.ok(fleet.peakConcurrency <= 2, String(fleet.peakConcurrency));
});

test('grants of a scheduler that resumes are not used', () => {
  // The scheduler is suspended with calls in its queue. Another one takes over and grants
  // the places. The first one resumes, frees the places that have timed out meanwhile, and
  // grants them. Its grants are not used, because no gateway has asked it recently; no call
  // is sent twice or beyond the places.
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
  assert.ok(fleet.peakConcurrency <= 2, String(fleet.peakConcurrency));
});

test('restarted scheduler counts its grants from the beginning', () => {
  // A scheduler restarts and numbers its grants from one again. If gateways reported to it
  // the last number of its previous incarnation, it would take each new grant as already
  // known and grant its place twice, until the gateway reports the request as in flight.
  const fleet = createFleet({ servers: 1, slots: 2, runMs: 100, delayMs: 12 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  const sendCalls = () => {
    for (let call = 0; call < 20; call += 1) {
      addCall(fleet, other);
      runFleet(fleet, 50);
    }
  };
  sendCalls();
  gatewayFaults.restartGateway(fleet, scheduler);
  sendCalls();
  assert.equal(fleet.peakConcurrency, 2);
});

test('gateway killed while it uses all places', () => {
  // A gateway is killed while its requests take all places; they end with it, and nothing
  // reports that to the scheduler. It removes the gateway after 1.2 seconds.
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

test('replies of the scheduler are lost', () => {
  // Ask messages reach the scheduler, but its replies are lost. A gateway that only checked
  // whether it can send would wait forever; it asks the next scheduler instead.
  const fleet = createFleet();
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  gatewayFaults.setPathBlocked(fleet, scheduler, other, true);
  const call = addCall(fleet, other);
  const askedMs = fleet.nowMs;
  runFleet(fleet, 2000);
  assert.ok(findSentMs(fleet, call) - askedMs < MAX_FAILOVER_MS, String(findSentMs(fleet, call)));
});

test('gateway partitioned from all others', () => {
  // A gateway reaches the backend servers but no other gateway. It schedules for itself,
  // and after a second with only the share of the places of one gateway in eight. With all
  // of them, both sides of the partition together would send twice as many requests as
  // there are places.
  const fleet = createFleet({ gateways: 8, servers: 4, slots: 4, runMs: 500 });
  runFleet(fleet, 1000);
  for (let index = 1; index < 8; index += 1) {
    gatewayFaults.setPathBlocked(fleet, 0, index, true);
    gatewayFaults.setPathBlocked(fleet, index, 0, true);
  }
  runFleet(fleet, 1200);
  const calls = Array.from({ length: 12 }, () => addCall(fleet, 0));
  runFleet(fleet, 100);
  const runningOfGateway = fleet.running.filter(({ gateway }) => gateway === 0).length;
  assert.ok(runningOfGateway <= 2, String(runningOfGateway));
  runFleet(fleet, 1400);
  const sent = calls.filter((call) => findSentMs(fleet, call) < Infinity).length;
  assert.ok(sent >= 4, String(sent));
});

test('lost report of a completed request is repeated', () => {
  // The datagram that reports a completed request is lost. The next one lists everything in
  // flight, so the place is free 250 ms later, not only when the gateway is removed.
  const fleet = createFleet({ servers: 1, slots: 1, runMs: 200 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  runFleet(fleet, 400);
  addCall(fleet, other);
  runFleet(fleet, 100);
  gatewayFaults.setPathBlocked(fleet, other, scheduler, true);
  runFleet(fleet, 140);
  gatewayFaults.setPathBlocked(fleet, other, scheduler, false);
  const call = addCall(fleet, scheduler);
  const askedMs = fleet.nowMs;
  runFleet(fleet, 1000);
  assert.ok(findSentMs(fleet, call) - askedMs < 300, String(findSentMs(fleet, call) - askedMs));
});

test('grants that cannot be used cause no message storm', () => {
  // The only backend server is leaving; the gateway that has the calls knows it, the
  // scheduler does not for a second. Each place that the gateway returns is granted again
  // at once. If the gateway also asked again at once, the two would exchange hundreds of
  // datagrams per second.
  const fleet = createFleet({ servers: 1, slots: 4 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  gatewayFaults.markServerLeaving(fleet, other, 'server-0');
  [0, 1, 2, 3, 4, 5].forEach(() => addCall(fleet, other));
  const { schedulingTotals } = fleet.states[other];
  const before = schedulingTotals.asks;
  runFleet(fleet, 1000);
  assert.ok(schedulingTotals.asks - before < 60, String(schedulingTotals.asks - before));
});

test('leaving server that the scheduler does not know of', () => {
  // One gateway knows that a backend server is leaving, the scheduler does not. The gateway
  // does not use a place there, because it must act on what it knows, and asks for another.
  const fleet = createFleet({ servers: 2, slots: 4 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const other = pickOther(fleet, scheduler);
  gatewayFaults.markServerLeaving(fleet, other, 'server-0');
  const before = fleet.sent.length;
  const calls = [0, 1, 2, 3].map(() => addCall(fleet, other));
  runFleet(fleet, 1000);
  const servers = fleet.sent.slice(before).map(({ serverId }) => serverId);
  assert.deepEqual(new Set(servers), new Set(['server-1']));
  assert.equal(servers.length, calls.length);
});

test('new server that only the scheduler knows of', () => {
  // All backend servers are full and calls wait at every gateway. The scheduler reads the
  // store entry of a new one; the other gateways read the store later. All use it at once.
  const fleet = createFleet({ gateways: 6, servers: 1, slots: 2, runMs: 400 });
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  for (let call = 0; call < 30; call += 1) {
    addCall(fleet, call % 6);
  }
  runFleet(fleet, 100);
  gatewayFaults.addServerAtGateway(fleet, scheduler, 'server-8');
  runFleet(fleet, 1500);
  const sentToNew = fleet.sent.filter(({ serverId }) => serverId === 'server-8');
  assert.ok(sentToNew.some(({ gateway }) => gateway !== scheduler));
  assert.ok(sentToNew.length >= 4, String(sentToNew.length));
  assert.equal(fleet.peakConcurrency, 2);
});
