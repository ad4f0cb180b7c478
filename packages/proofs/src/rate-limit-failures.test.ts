import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gateway from '@toucanproxy/core/gateway';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import type * as gatewayFleetState from './mocks/gateway-fleet-state.js';
import * as gatewayLoad from './mocks/gateway-load.js';

const { test } = nodeTest;
const { createFleet } = gatewayFleet;
const { countMaxInWindow, listSendTimes, runLoad } = gatewayLoad;
const LIMITED_SERVER = 'server-0';
const PER_SECOND = 1.6;
const FLEET = { gateways: 4, servers: 3, slots: 8, runMs: 200 };
/** Window in which requests to a backend server with a rate limit are counted, milliseconds. */
const WINDOW_MS = 4000;
const MS_PER_SECOND = 1000;
/** How far the requests of a window may exceed the limit: a factor, and a number of requests. */
const TOLERANCE = { factor: 1.5, extra: 5 };
/** Gateways must keep a limit from this long after it was first reported, milliseconds. */
const LEARNING_MS = 3000;

/** Returns the maximum number of requests that a backend server may get within one window. */
function computeMaxRequests(perSecond: number): number {
  return TOLERANCE.factor * perSecond * (WINDOW_MS / MS_PER_SECOND) + TOLERANCE.extra;
}

/** Returns the largest number of requests to the limited server in any window, once it is known. */
function countMaxInAnyWindow(fleet: gatewayFleetState.GatewayFleet, sinceMs: number): number {
  return countMaxInWindow(listSendTimes(fleet, LIMITED_SERVER, sinceMs + LEARNING_MS), WINDOW_MS);
}

test('server that reports a rate limit gets no more than that', () => {
  // Guards against placing requests only by free places, which allows many times the limit.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 2000);
  fleet.rateLimits.set(LIMITED_SERVER, PER_SECOND);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 9000);
  const most = countMaxInAnyWindow(fleet, sinceMs);
  assert.ok(most > 0 && most <= computeMaxRequests(PER_SECOND), String(most));
});

/** Asserts that the limited server got requests, and no more than its limit allows. */
function assertLimitKept(
  fleet: gatewayFleetState.GatewayFleet,
  sinceMs: number,
  perSecond = PER_SECOND,
): void {
  const most = countMaxInAnyWindow(fleet, sinceMs);
  assert.ok(most > 0 && most <= computeMaxRequests(perSecond), String(most));
}

/** Sets a rate limit and runs until the gateways know it; returns the time at which it was set. */
function setRateLimit(fleet: gatewayFleetState.GatewayFleet, perSecond = PER_SECOND): number {
  runLoad(fleet, 1000);
  fleet.rateLimits.set(LIMITED_SERVER, perSecond);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1500);
  return sinceMs;
}

test('limit is used up', () => {
  // Guards against a limit that throttles a server far below the rate it accepts.
  const fleet = createFleet(FLEET);
  const sinceMs = setRateLimit(fleet);
  runLoad(fleet, 8000);
  const got = listSendTimes(fleet, LIMITED_SERVER, sinceMs + LEARNING_MS).length;
  assert.ok(got >= 0.8 * PER_SECOND * 6, String(got));
});

test('limit changes', () => {
  const fleet = createFleet(FLEET);
  setRateLimit(fleet, 10);
  fleet.rateLimits.set(LIMITED_SERVER, 1);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 8000);
  assertLimitKept(fleet, sinceMs, 1);
});

test('scheduler killed while a server is limited', () => {
  // Guards against a new scheduler that does not know the limit, or begins with a burst.
  const fleet = createFleet(FLEET);
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const sinceMs = setRateLimit(fleet);
  runLoad(fleet, 8000, (elapsedMs) => {
    if (elapsedMs === 3000) {
      gatewayFaults.stopGateway(fleet, scheduler);
    }
  });
  assertLimitKept(fleet, sinceMs);
});

test('schedulers restarted in turn while a server is limited', () => {
  const fleet = createFleet(FLEET);
  const sinceMs = setRateLimit(fleet);
  runLoad(fleet, 8000, (elapsedMs) => {
    if (elapsedMs % 1000 === 0) {
      gatewayFaults.restartGateway(fleet, (elapsedMs / 1000) % FLEET.gateways);
    }
  });
  assertLimitKept(fleet, sinceMs);
});

test('scheduler suspended while a server is limited', () => {
  // Guards against grants that a scheduler accumulates while it is suspended.
  const fleet = createFleet(FLEET);
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const sinceMs = setRateLimit(fleet);
  runLoad(fleet, 10_000, (elapsedMs) => {
    if (elapsedMs === 3000) {
      gatewayFaults.pauseGateway(fleet, scheduler, 3000);
    }
  });
  assertLimitKept(fleet, sinceMs);
});

test('schedulers on both sides of a partition', () => {
  // Guards against two schedulers that each grant the full limit.
  const fleet = createFleet(FLEET);
  const perSecond = 10;
  runLoad(fleet, 500);
  [0, 1].forEach((from) =>
    [2, 3].forEach((to) => {
      gatewayFaults.setPathBlocked(fleet, from, to, true);
      gatewayFaults.setPathBlocked(fleet, to, from, true);
    }),
  );
  const sinceMs = setRateLimit(fleet, perSecond);
  runLoad(fleet, 8000);
  const schedulers = new Set(
    fleet.sent.filter(({ atMs }) => atMs > sinceMs + 5000).map(({ scheduler }) => scheduler),
  );
  assert.equal(schedulers.size, 2);
  assertLimitKept(fleet, sinceMs, perSecond);
});

test('a third of the datagrams are lost', () => {
  const fleet = createFleet({ ...FLEET, lossShare: 0.33 });
  const sinceMs = setRateLimit(fleet);
  runLoad(fleet, 8000);
  assertLimitKept(fleet, sinceMs);
});

test('lifted limit ends', () => {
  // Guards against a server that stays throttled for good after its overload is over.
  const fleet = createFleet(FLEET);
  setRateLimit(fleet);
  runLoad(fleet, 3000);
  fleet.rateLimits.clear();
  runLoad(fleet, 2000);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1000);
  const got = listSendTimes(fleet, LIMITED_SERVER, sinceMs).length;
  assert.ok(got > 10 * PER_SECOND, String(got));
});

test('limit is lifted after the gateway that received it was killed', () => {
  // Guards against a limit that only the gateways that received it could lift.
  const fleet = createFleet(FLEET);
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const receiver = (scheduler + 1) % FLEET.gateways;
  runLoad(fleet, 500);
  const { sent, states, nowMs } = fleet;
  const request = sent.find((one) => one.serverId === LIMITED_SERVER)?.request;
  assert.ok(request !== undefined);
  const statement = { ...gateway.EMPTY_STATEMENT, perSecond: PER_SECOND, isSigned: true };
  const answered = { ...request, serverId: LIMITED_SERVER };
  gateway.noteResponseStatement(states[receiver], answered, statement, nowMs);
  runLoad(fleet, 100);
  gatewayFaults.stopGateway(fleet, receiver);
  runLoad(fleet, 3000);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1000);
  const got = listSendTimes(fleet, LIMITED_SERVER, sinceMs).length;
  assert.ok(got > 10 * PER_SECOND, String(got));
});

test('server with a limit of zero is tried again', () => {
  // Guards against a server that never gets a request again, because only responses lift a limit.
  const fleet = createFleet(FLEET);
  const sinceMs = setRateLimit(fleet, 0);
  runLoad(fleet, 8000);
  assertLimitKept(fleet, sinceMs, 0);
  fleet.rateLimits.clear();
  runLoad(fleet, 6000);
  const laterMs = fleet.nowMs;
  runLoad(fleet, 1000);
  assert.ok(listSendTimes(fleet, LIMITED_SERVER, laterMs).length > 10);
});

test('server that restarts under its id is not limited', () => {
  const fleet = createFleet(FLEET);
  setRateLimit(fleet);
  fleet.rateLimits.clear();
  gatewayFaults.applyServerEntry(fleet, LIMITED_SERVER, {
    bornMs: fleet.nowMs,
    revision: { epoch: 0, count: 5 },
  });
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1000);
  assert.ok(listSendTimes(fleet, LIMITED_SERVER, sinceMs).length > 10 * PER_SECOND);
});

test('all servers of a cell are limited', () => {
  // Guards against limits that do not fit into one ask message: a new scheduler would miss some.
  const servers = 30;
  const fleet = createFleet({ ...FLEET, servers, slots: 2 });
  const ids = Array.from({ length: servers }, (_, index) => `server-${index}`);
  runLoad(fleet, 1000);
  ids.forEach((id) => fleet.rateLimits.set(id, PER_SECOND));
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 9000, (elapsedMs) => {
    if (elapsedMs === 4000) {
      gatewayFaults.stopGateway(fleet, scheduler);
    }
  });
  ids.forEach((id) => {
    const most = countMaxInWindow(listSendTimes(fleet, id, sinceMs + LEARNING_MS), WINDOW_MS);
    assert.ok(most <= computeMaxRequests(PER_SECOND), `${id} ${most}`);
  });
});
