import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as gateway from '@toucanproxy/core/gateway';
import * as gatewayFaults from './mocks/gateway-faults.js';
import * as gatewayFleet from './mocks/gateway-fleet.js';
import type * as gatewayFleetState from './mocks/gateway-fleet-state.js';
import * as gatewayLoad from './mocks/gateway-load.js';

const { test } = nodeTest;
const { createFleet } = gatewayFleet;
const { countMostWithin, listTimes, runLoad } = gatewayLoad;
const LIMITED = 'server-0';
const PER_SECOND = 1.6;
const FLEET = { gateways: 4, servers: 3, slots: 8, runMs: 200 };
/** Time over which a backend server with a rate limit counts, milliseconds. */
const WINDOW_MS = 4000;
const MS_PER_SECOND = 1000;
/** What it may get beyond the limit in that time: a multiple, and some requests besides. */
const TOLERANCE = { factor: 1.5, extra: 5 };
/** Gateways keep a limit this long after it was first named, milliseconds. */
const LEARNING_MS = 3000;

/** Computes what a backend server may get within the window. */
function computeBound(perSecond: number): number {
  return TOLERANCE.factor * perSecond * (WINDOW_MS / MS_PER_SECOND) + TOLERANCE.extra;
}

/** Counts the most requests that the limited server got since it had named its limit. */
function countMost(fleet: gatewayFleetState.GatewayFleet, sinceMs: number): number {
  return countMostWithin(listTimes(fleet, LIMITED, sinceMs + LEARNING_MS), WINDOW_MS);
}

test('server that names a rate limit gets no more', () => {
  // Guards against requests placed by free places alone: many times what a server takes.
  const fleet = createFleet(FLEET);
  runLoad(fleet, 2000);
  fleet.rateLimits.set(LIMITED, PER_SECOND);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 9000);
  const most = countMost(fleet, sinceMs);
  assert.ok(most > 0 && most <= computeBound(PER_SECOND), String(most));
});

/** Asserts that the limited server got something, and no more than it takes. */
function assertKept(
  fleet: gatewayFleetState.GatewayFleet,
  sinceMs: number,
  perSecond = PER_SECOND,
): void {
  const most = countMost(fleet, sinceMs);
  assert.ok(most > 0 && most <= computeBound(perSecond), String(most));
}

/** Runs a fleet until its gateways know of a limit; gives when it was first named. */
function setLimit(fleet: gatewayFleetState.GatewayFleet, perSecond = PER_SECOND): number {
  runLoad(fleet, 1000);
  fleet.rateLimits.set(LIMITED, perSecond);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1500);
  return sinceMs;
}

test('limit is used up', () => {
  // Guards against a limit that holds a server back far below what it takes.
  const fleet = createFleet(FLEET);
  const sinceMs = setLimit(fleet);
  runLoad(fleet, 8000);
  const got = listTimes(fleet, LIMITED, sinceMs + LEARNING_MS).length;
  assert.ok(got >= 0.8 * PER_SECOND * 6, String(got));
});

test('limit changes', () => {
  const fleet = createFleet(FLEET);
  setLimit(fleet, 10);
  fleet.rateLimits.set(LIMITED, 1);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 8000);
  assertKept(fleet, sinceMs, 1);
});

test('scheduler killed while a server is limited', () => {
  // Guards against a scheduler that begins with a limit unknown or a burst.
  const fleet = createFleet(FLEET);
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const sinceMs = setLimit(fleet);
  runLoad(fleet, 8000, (passedMs) => {
    if (passedMs === 3000) {
      gatewayFaults.stopGateway(fleet, scheduler);
    }
  });
  assertKept(fleet, sinceMs);
});

test('schedulers restarted in turn while a server is limited', () => {
  const fleet = createFleet(FLEET);
  const sinceMs = setLimit(fleet);
  runLoad(fleet, 8000, (passedMs) => {
    if (passedMs % 1000 === 0) {
      gatewayFaults.restartGateway(fleet, (passedMs / 1000) % FLEET.gateways);
    }
  });
  assertKept(fleet, sinceMs);
});

test('scheduler suspended while a server is limited', () => {
  // Guards against grants that a scheduler saved up while it stood still.
  const fleet = createFleet(FLEET);
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const sinceMs = setLimit(fleet);
  runLoad(fleet, 10_000, (passedMs) => {
    if (passedMs === 3000) {
      gatewayFaults.pauseGateway(fleet, scheduler, 3000);
    }
  });
  assertKept(fleet, sinceMs);
});

test('schedulers of both halves of a partition', () => {
  // Guards against two schedulers that each give out the whole limit.
  const fleet = createFleet(FLEET);
  const perSecond = 10;
  runLoad(fleet, 500);
  [0, 1].forEach((from) =>
    [2, 3].forEach((to) => {
      gatewayFaults.setCut(fleet, from, to, true);
      gatewayFaults.setCut(fleet, to, from, true);
    }),
  );
  const sinceMs = setLimit(fleet, perSecond);
  runLoad(fleet, 8000);
  const schedulers = new Set(
    fleet.sent.filter(({ atMs }) => atMs > sinceMs + 5000).map(({ scheduler }) => scheduler),
  );
  assert.equal(schedulers.size, 2);
  assertKept(fleet, sinceMs, perSecond);
});

test('a third of the datagrams are lost', () => {
  const fleet = createFleet({ ...FLEET, lossShare: 0.33 });
  const sinceMs = setLimit(fleet);
  runLoad(fleet, 8000);
  assertKept(fleet, sinceMs);
});

test('lifted limit ends', () => {
  // Guards against a server that stays held back for good after its overload is over.
  const fleet = createFleet(FLEET);
  setLimit(fleet);
  runLoad(fleet, 3000);
  fleet.rateLimits.clear();
  runLoad(fleet, 2000);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1000);
  const got = listTimes(fleet, LIMITED, sinceMs).length;
  assert.ok(got > 10 * PER_SECOND, String(got));
});

test('limit is lifted after the gateway that was told has gone', () => {
  // Guards against a limit that only gateways which were told of it could lift.
  const fleet = createFleet(FLEET);
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const told = (scheduler + 1) % FLEET.gateways;
  runLoad(fleet, 500);
  const { sent, states, nowMs } = fleet;
  const request = sent.find((one) => one.serverId === LIMITED)?.request;
  assert.ok(request !== undefined);
  const stated = { ...gateway.EMPTY_STATEMENT, perSecond: PER_SECOND, isSigned: true };
  const answered = { ...request, serverId: LIMITED };
  gateway.noteResponseStatement(states[told], answered, stated, nowMs);
  runLoad(fleet, 100);
  gatewayFaults.stopGateway(fleet, told);
  runLoad(fleet, 3000);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1000);
  const got = listTimes(fleet, LIMITED, sinceMs).length;
  assert.ok(got > 10 * PER_SECOND, String(got));
});

test('limit of nothing is asked for again', () => {
  // Guards against a server that never gets a request again, as only answers lift a limit.
  const fleet = createFleet(FLEET);
  const sinceMs = setLimit(fleet, 0);
  runLoad(fleet, 8000);
  assertKept(fleet, sinceMs, 0);
  fleet.rateLimits.clear();
  runLoad(fleet, 6000);
  const laterMs = fleet.nowMs;
  runLoad(fleet, 1000);
  assert.ok(listTimes(fleet, LIMITED, laterMs).length > 10);
});

test('server that starts again under its id is not limited', () => {
  const fleet = createFleet(FLEET);
  setLimit(fleet);
  fleet.rateLimits.clear();
  gatewayFaults.applyServer(fleet, LIMITED, {
    bornMs: fleet.nowMs,
    revision: { epoch: 0, count: 5 },
  });
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 1000);
  assert.ok(listTimes(fleet, LIMITED, sinceMs).length > 10 * PER_SECOND);
});

test('all servers of a cell are limited', () => {
  // Guards against limits that do not fit one ask: a new scheduler would not know them all.
  const servers = 30;
  const fleet = createFleet({ ...FLEET, servers, slots: 2 });
  const ids = Array.from({ length: servers }, (_, index) => `server-${index}`);
  runLoad(fleet, 1000);
  ids.forEach((id) => fleet.rateLimits.set(id, PER_SECOND));
  const scheduler = gatewayFleet.findScheduler(fleet, 0);
  const sinceMs = fleet.nowMs;
  runLoad(fleet, 9000, (passedMs) => {
    if (passedMs === 4000) {
      gatewayFaults.stopGateway(fleet, scheduler);
    }
  });
  ids.forEach((id) => {
    const most = countMostWithin(listTimes(fleet, id, sinceMs + LEARNING_MS), WINDOW_MS);
    assert.ok(most <= computeBound(PER_SECOND), `${id} ${most}`);
  });
});
