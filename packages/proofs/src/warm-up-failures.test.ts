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
/** Maximum number of requests in any one second for a backend server that warms up. */
const MAX_PER_SECOND = WARM_UP.perSecond * factor + extra;
const SECOND_MS = 1000;
const WARMING = { warmUpLeftMs: WARM_UP.durationMs, bornMs: 2, revision: { epoch: 0, count: 5 } };
/** Short runs: a backend server without a warm-up limit takes about 80 requests per second. */
const FLEET = { gateways: 6, servers: 4, slots: 8, runMs: 100, domains: 2, warmUp: WARM_UP };

/** Returns the largest number of requests to a server in any one second from `sinceMs` on. */
function countMaxPerSecond(
  fleet: gatewayFleetState.GatewayFleet,
  serverId: string,
  sinceMs: number,
): number {
  const times = gatewayLoad.listSendTimes(fleet, serverId, sinceMs);
  return gatewayLoad.countMaxInWindow(times, SECOND_MS);
}

test('server that warms up is used up to its limit', () => {
  // Calls wait for places at warm backend servers, and one server comes back with all places
  // free. All calls would go there at once. It gets no more than its warm-up limit allows,
  // and at least half of that.
  const fleet = createFleet({ ...FLEET, servers: 2 });
  runLoad(fleet, 4000);
  gatewayFaults.applyServerEntry(fleet, 'server-0', WARMING);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 3000);
  const sentToWarming = fleet.sent.filter(
    (one) => one.serverId === 'server-0' && one.atMs >= sinceMs,
  );
  assert.ok(countMaxPerSecond(fleet, 'server-0', sinceMs) <= MAX_PER_SECOND / 2);
  assert.ok(sentToWarming.length >= (3 * WARM_UP.perSecond) / 2, String(sentToWarming.length));
});

test('half a service is replaced while calls wait', () => {
  // A release: two of four backend servers are replaced at the same time, while calls wait
  // at all gateways. Each of the two gets no more than its warm-up limit allows.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 4000);
  const sinceMs = fleet.nowMs;
  ['server-0', 'server-1'].forEach((id) => gatewayFaults.applyServerEntry(fleet, id, WARMING));
  runLoad(fleet, 2500);
  ['server-0', 'server-1'].forEach((id) =>
    assert.ok(
      countMaxPerSecond(fleet, id, sinceMs) <= MAX_PER_SECOND,
      String(countMaxPerSecond(fleet, id, sinceMs)),
    ),
  );
});

test('server that is back before its store entry says so', () => {
  // A backend server crashes and is back a second later under its id. Its store entry still
  // says for two more seconds that it is warm. It accepts no connections while it is down,
  // and after that gets no more than its warm-up limit allows.
  const fleet = createFleet({ ...FLEET, servers: 3 });
  runLoad(fleet, 2000);
  gatewayFaults.failServer(fleet, 'server-0');
  runLoad(fleet, 1000);
  fleet.down.delete('server-0');
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 2000);
  gatewayFaults.applyServerEntry(fleet, 'server-0', { ...WARMING, warmUpLeftMs: 1000 });
  runLoad(fleet, 1000);
  assert.ok(countMaxPerSecond(fleet, 'server-0', sinceMs) > 0);
  assert.ok(countMaxPerSecond(fleet, 'server-0', sinceMs) <= MAX_PER_SECOND);
});

test('idle server that warms up again unreported', () => {
  // A backend server crashes and comes back while there are no calls, and then a burst
  // arrives. Nothing reports that it warms up; still, it gets no more than its warm-up
  // limit allows in the first second.
  const fleet = createFleet({ ...FLEET, servers: 2 });
  runLoad(fleet, 1000);
  runFleet(fleet, 6000);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1000);
  assert.ok(countMaxPerSecond(fleet, 'server-0', sinceMs) <= MAX_PER_SECOND);
});

test('warm servers are used to the full', () => {
  // Short requests: a warm backend server takes 80 per second, many times its warm-up limit.
  // The load grows and is served.
  const fleet = createFleet({ ...FLEET, servers: 3 });
  runLoad(fleet, 6000);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1000);
  const served = fleet.sent.filter(({ atMs }) => atMs >= sinceMs).length;
  assert.ok(served >= 190, String(served));
});

test('domain returns to service while calls wait', () => {
  // A failure domain returns to service during a burst. Its backend servers warm up from then
  // on, although their store entries, written before the evacuation, say that they are warm.
  const fleet = createFleet(FLEET);
  const evacuation = { failureDomain: 'd0', revision: { epoch: 0, count: 10 } };
  gatewayFaults.setEvacuated(fleet, { ...evacuation, isEvacuated: true });
  runLoad(fleet, 500);
  gatewayFaults.setEvacuated(fleet, {
    ...evacuation,
    isEvacuated: false,
    revision: { epoch: 0, count: 20 },
  });
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 2900);
  ['server-0', 'server-2'].forEach((id) => {
    const most = countMaxPerSecond(fleet, id, sinceMs);
    assert.ok(most > 0 && most <= MAX_PER_SECOND / 2, `${id} ${most}`);
  });
});

test('newer store entry ends the warm-up of a returned domain', () => {
  const fleet = createFleet({ ...FLEET, servers: 2 });
  const evacuation = { failureDomain: 'd0', revision: { epoch: 0, count: 10 } };
  gatewayFaults.setEvacuated(fleet, { ...evacuation, isEvacuated: true });
  gatewayFaults.setEvacuated(fleet, {
    ...evacuation,
    isEvacuated: false,
    revision: { epoch: 0, count: 20 },
  });
  gatewayFaults.applyServerEntry(fleet, 'server-0', { revision: { epoch: 0, count: 25 } });
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1500);
  assert.ok(countMaxPerSecond(fleet, 'server-0', sinceMs) > MAX_PER_SECOND / 2);
});

test('scheduler killed while servers warm up', () => {
  // Two backend servers warm up when the gateway that schedules is killed. Its successor does
  // not know what was granted: it continues at the same rate, without a burst.
  const fleet = createFleet(FLEET);
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  runLoad(fleet, 500);
  const sinceMs = fleet.nowMs;
  ['server-0', 'server-1'].forEach((id) => gatewayFaults.applyServerEntry(fleet, id, WARMING));
  runLoad(fleet, 2500, (elapsedMs) => {
    if (elapsedMs === 700) {
      gatewayFaults.stopGateway(fleet, scheduler);
    }
  });
  ['server-0', 'server-1'].forEach((id) =>
    assert.ok(
      countMaxPerSecond(fleet, id, sinceMs) <= MAX_PER_SECOND,
      String(countMaxPerSecond(fleet, id, sinceMs)),
    ),
  );
  assert.ok(fleet.sent.filter(({ atMs }) => atMs > sinceMs + 1500).length > 0);
});

test('two schedulers of one cell', () => {
  // A partition splits six gateways into two halves of three. Each half has a scheduler of its
  // own, and both grant places at the backend server that warms up. Together they keep its
  // warm-up limit.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 500);
  [0, 1, 2].forEach((from) =>
    [3, 4, 5].forEach((to) => {
      gatewayFaults.setPathBlocked(fleet, from, to, true);
      gatewayFaults.setPathBlocked(fleet, to, from, true);
    }),
  );
  gatewayFaults.applyServerEntry(fleet, 'server-0', { ...WARMING, warmUpLeftMs: 6000 });
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 5000);
  const schedulers = new Set(
    fleet.sent.filter(({ atMs }) => atMs > sinceMs + 3000).map(({ scheduler }) => scheduler),
  );
  assert.equal(schedulers.size, 2);
  assert.ok(countMaxPerSecond(fleet, 'server-0', sinceMs) <= MAX_PER_SECOND);
});

test('gateways that receive nothing from any other', () => {
  // All gateways restart, and each receives nothing from the others although its settings
  // name one of them. Each would schedule for itself, and none knows how many others do.
  const fleet = createFleet(FLEET);
  fleet.states.forEach((_, from) =>
    fleet.states.forEach((__, to) => gatewayFaults.setPathBlocked(fleet, from, to, true)),
  );
  fleet.states.forEach((_, index) => gatewayFaults.restartGateway(fleet, index));
  gatewayFaults.applyServerEntry(fleet, 'server-0', { ...WARMING, warmUpLeftMs: 6000 });
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 3000);
  assert.ok(countMaxPerSecond(fleet, 'server-0', sinceMs) <= MAX_PER_SECOND);
  assert.ok(fleet.sent.length > 0);
});
