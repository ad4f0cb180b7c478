import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import * as gatewayFleetState from './mocks/gateway-fleet-state.js';
import * as gatewayLoad from './mocks/gateway-load.js';

const { test } = nodeTest;
const { createFleet, runFleet } = gatewayFleet;
const { runLoad } = gatewayLoad;
const WARM_UP = { durationMs: 3000, perSecond: 9 };
const { factor, extra } = gatewayFleetState.WARM_UP_TOLERANCE;
/** Requests that a backend server which warms up may get in any one second. */
const BOUND = WARM_UP.perSecond * factor + extra;
const SECOND_MS = 1000;
const WARMING = { warmUpLeftMs: WARM_UP.durationMs, bornMs: 2, revision: { epoch: 0, count: 5 } };
/** Short runs: a backend server that is not held back takes some eighty a second. */
const FLEET = { gateways: 6, servers: 4, slots: 8, runMs: 100, domains: 2, warmUp: WARM_UP };

/** Counts the most requests that a backend server got in any one second since a time. */
function countMost(
  fleet: gatewayFleetState.GatewayFleet,
  serverId: string,
  sinceMs: number,
): number {
  const times = gatewayLoad.listTimes(fleet, serverId, sinceMs);
  return gatewayLoad.countMostWithin(times, SECOND_MS);
}

test('server that warms up is used up to its rate', () => {
  // Calls wait for places at warm backend servers, and one comes back empty. All of them
  // would go there at once. It gets what it bears, and at least half of that.
  const fleet = createFleet({ ...FLEET, servers: 2 });
  runLoad(fleet, 4000);
  gatewayFaults.applyServer(fleet, 'server-0', WARMING);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 3000);
  const there = fleet.sent.filter((one) => one.serverId === 'server-0' && one.atMs >= sinceMs);
  assert.ok(countMost(fleet, 'server-0', sinceMs) <= BOUND / 2);
  assert.ok(there.length >= (3 * WARM_UP.perSecond) / 2, String(there.length));
});

test('half a service is replaced while calls wait', () => {
  // A release: two of four backend servers are new and empty at the same time, while all
  // gateways have calls that wait. Each of the two gets no more than it bears.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 4000);
  const sinceMs = fleet.nowMs;
  ['server-0', 'server-1'].forEach((id) => gatewayFaults.applyServer(fleet, id, WARMING));
  runLoad(fleet, 2500);
  ['server-0', 'server-1'].forEach((id) =>
    assert.ok(countMost(fleet, id, sinceMs) <= BOUND, String(countMost(fleet, id, sinceMs))),
  );
});

test('back before its entry tells', () => {
  // A backend server crashes and is back a second later under its id. Its entry says that
  // it is warm for two seconds more. Nobody can connect meanwhile, and after that it gets
  // no more than it bears.
  const fleet = createFleet({ ...FLEET, servers: 3 });
  runLoad(fleet, 2000);
  gatewayFaults.failServer(fleet, 'server-0');
  runLoad(fleet, 1000);
  fleet.down.delete('server-0');
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 2000);
  gatewayFaults.applyServer(fleet, 'server-0', { ...WARMING, warmUpLeftMs: 1000 });
  runLoad(fleet, 1000);
  assert.ok(countMost(fleet, 'server-0', sinceMs) > 0);
  assert.ok(countMost(fleet, 'server-0', sinceMs) <= BOUND);
});

test('idle server that warms up again without a word', () => {
  // A backend server crashes and comes back while nobody calls, and then a burst comes.
  // Nothing tells that it warms up: it gets no more than it bears in the first second.
  const fleet = createFleet({ ...FLEET, servers: 2 });
  runLoad(fleet, 1000);
  runFleet(fleet, 6000);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1000);
  assert.ok(countMost(fleet, 'server-0', sinceMs) <= BOUND);
});

test('warm servers are used to the full', () => {
  // Short requests: a warm backend server takes eighty a second, many times what it bears
  // while it warms up. The load grows and is served.
  const fleet = createFleet({ ...FLEET, servers: 3 });
  runLoad(fleet, 6000);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1000);
  const served = fleet.sent.filter(({ atMs }) => atMs >= sinceMs).length;
  assert.ok(served >= 190, String(served));
});

test('domain returns while calls wait', () => {
  // A failure domain is taken back in a burst. Its backend servers warm up from then on;
  // their entries, which are as old as the evacuation, say that they are warm.
  const fleet = createFleet(FLEET);
  const word = { failureDomain: 'd0', revision: { epoch: 0, count: 10 } };
  gatewayFaults.setEvacuated(fleet, { ...word, isEvacuated: true });
  runLoad(fleet, 500);
  gatewayFaults.setEvacuated(fleet, {
    ...word,
    isEvacuated: false,
    revision: { epoch: 0, count: 20 },
  });
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 2900);
  ['server-0', 'server-2'].forEach((id) => {
    const most = countMost(fleet, id, sinceMs);
    assert.ok(most > 0 && most <= BOUND / 2, `${id} ${most}`);
  });
});

test('an entry that was written since ends it', () => {
  const fleet = createFleet({ ...FLEET, servers: 2 });
  const word = { failureDomain: 'd0', revision: { epoch: 0, count: 10 } };
  gatewayFaults.setEvacuated(fleet, { ...word, isEvacuated: true });
  gatewayFaults.setEvacuated(fleet, {
    ...word,
    isEvacuated: false,
    revision: { epoch: 0, count: 20 },
  });
  gatewayFaults.applyServer(fleet, 'server-0', { revision: { epoch: 0, count: 25 } });
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1500);
  assert.ok(countMost(fleet, 'server-0', sinceMs) > BOUND / 2);
});

test('scheduler killed while servers warm up', () => {
  // Two backend servers warm up, and the gateway that schedules dies. The next one knows
  // nothing of what was given out: it goes on at the same rate, without a burst.
  const fleet = createFleet(FLEET);
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  runLoad(fleet, 500);
  const sinceMs = fleet.nowMs;
  ['server-0', 'server-1'].forEach((id) => gatewayFaults.applyServer(fleet, id, WARMING));
  runLoad(fleet, 2500, (passedMs) => {
    if (passedMs === 700) {
      gatewayFaults.stopGateway(fleet, scheduler);
    }
  });
  ['server-0', 'server-1'].forEach((id) =>
    assert.ok(countMost(fleet, id, sinceMs) <= BOUND, String(countMost(fleet, id, sinceMs))),
  );
  assert.ok(fleet.sent.filter(({ atMs }) => atMs > sinceMs + 1500).length > 0);
});

test('two schedulers of one cell', () => {
  // A partition: three gateways hear only each other, and so do the other three. Each half
  // has a scheduler of its own, and both give out places at the backend server that warms
  // up. Together they keep to what it bears.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 500);
  [0, 1, 2].forEach((from) =>
    [3, 4, 5].forEach((to) => {
      gatewayFaults.setCut(fleet, from, to, true);
      gatewayFaults.setCut(fleet, to, from, true);
    }),
  );
  gatewayFaults.applyServer(fleet, 'server-0', { ...WARMING, warmUpLeftMs: 6000 });
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 5000);
  const schedulers = new Set(
    fleet.sent.filter(({ atMs }) => atMs > sinceMs + 3000).map(({ scheduler }) => scheduler),
  );
  assert.equal(schedulers.size, 2);
  assert.ok(countMost(fleet, 'server-0', sinceMs) <= BOUND);
});

test('gateways that hear nobody', () => {
  // All gateways start again, and each hears none of the others though its settings name
  // one. Each would schedule for itself; none of them knows how many others do.
  const fleet = createFleet(FLEET);
  fleet.states.forEach((_, from) =>
    fleet.states.forEach((__, to) => gatewayFaults.setCut(fleet, from, to, true)),
  );
  fleet.states.forEach((_, index) => gatewayFaults.restartGateway(fleet, index));
  gatewayFaults.applyServer(fleet, 'server-0', { ...WARMING, warmUpLeftMs: 6000 });
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 3000);
  assert.ok(countMost(fleet, 'server-0', sinceMs) <= BOUND);
  assert.ok(fleet.sent.length > 0);
});
