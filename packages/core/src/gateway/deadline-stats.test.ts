import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as configurationLease from './configuration-lease.js';
import * as deadlineStats from './deadline-stats.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as requestAdmission from './request-admission.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as requestEnd from './request-end.js';

const { test } = nodeTest;
const { buildArrived, buildClocks, buildRoute, createTestGateway } = gatewayFixture;
const MAXIMUM_MS = 15_000;
const TARGET_MS = 500;
const SERVERS = ['a', 'bb', 'ccc', 'dddd', 'eeeee', 'ffffff', 'ggggggg', 'hhhhhhhh'];
/** Runs take from 320 to 480 ms, so sixteen slots serve forty requests a second. */
const SHORTEST_MS = 320;
const RUN_STEP_MS = 40;
const RUN_STEPS = 5;
/** Interval between requests: they arrive at two and a half times that rate. */
const ARRIVAL_MS = 10;
const BURST_MS = 8000;

/** Adds the deadlines of several requests to the statistics. */
function noteAll(
  stats: deadlineStats.DeadlineStats,
  deadlines: readonly number[],
  workspace = 'w',
): void {
  deadlines.forEach((deadlineMs) => deadlineStats.noteDeadline(stats, workspace, deadlineMs));
}

test('elapsed time of a retry is the maximum deadline minus its own', () => {
  const stats = deadlineStats.createDeadlineStats();
  noteAll(
    stats,
    Array.from({ length: 40 }, (_, index) => MAXIMUM_MS - (index % 10) * 200),
  );
  assert.equal(deadlineStats.estimateElapsedMs(stats, 'w', MAXIMUM_MS), 0);
  assert.equal(deadlineStats.estimateElapsedMs(stats, 'w', MAXIMUM_MS - 1800), 0);
  assert.equal(deadlineStats.estimateElapsedMs(stats, 'w', 9000), 6000);
});

test('callers with widely varying deadlines', () => {
  // Deadlines on one route vary from one to fifteen seconds. A short one does not indicate a
  // retry and must not lower the priority of the request.
  const stats = deadlineStats.createDeadlineStats();
  noteAll(
    stats,
    Array.from({ length: 400 }, (_, index) => 1000 + ((index * 7919) % 14_000)),
  );
  assert.equal(deadlineStats.estimateElapsedMs(stats, 'w', 2000), 0);
});

test('one caller with a very long deadline', () => {
  // One caller sends four times the deadline of all others. This must not make the others appear
  // to have been retrying for 45 seconds; no estimate is made until the outlier is discarded.
  const stats = deadlineStats.createDeadlineStats();
  noteAll(stats, Array<number>(40).fill(MAXIMUM_MS));
  noteAll(stats, [60_000]);
  Array.from({ length: 60 }).forEach(() => {
    noteAll(stats, [MAXIMUM_MS]);
    assert.equal(deadlineStats.estimateElapsedMs(stats, 'w', MAXIMUM_MS), 0);
  });
  assert.equal(deadlineStats.estimateElapsedMs(stats, 'w', 9000), 6000);
});

test('a workspace whose callers send shorter deadlines', () => {
  // Callers of one workspace send 8 s, all others 15 s. Taken for retries, their requests would
  // wait behind all others of their urgency in a burst and be refused first.
  const stats = deadlineStats.createDeadlineStats();
  noteAll(stats, Array<number>(40).fill(MAXIMUM_MS));
  Array.from({ length: 12 }).forEach(() => {
    noteAll(stats, [8000], 'hasty');
    noteAll(stats, [MAXIMUM_MS, MAXIMUM_MS]);
  });
  assert.equal(deadlineStats.estimateElapsedMs(stats, 'hasty', 8000), 0);
  assert.equal(deadlineStats.estimateElapsedMs(stats, 'w', 8000), 7000);
});

test('no estimate from too few requests', () => {
  const stats = deadlineStats.createDeadlineStats();
  noteAll(stats, [MAXIMUM_MS, MAXIMUM_MS]);
  assert.equal(deadlineStats.estimateElapsedMs(stats, 'w', 5000), 0);
});

/** A pending retry and the time of the caller's first attempt. */
type PendingRetry = { atMs: number; firstMs: number };

/** State of a simulated burst. */
type Burst = {
  state: gatewayState.GatewayState;
  /** Retries send the remaining time as their deadline. */
  doDeadlinesShrink: boolean;
  pendingRetries: PendingRetry[];
  running: { request: gatewayRequest.GatewayRequest; endMs: number }[];
  firstMsById: Map<string, number>;
  inTime: number;
};

/** Admits an attempt of a caller whose first attempt was at the given time. */
function admitAttempt(burst: Burst, firstMs: number, now: number): void {
  const attemptId = String(burst.firstMsById.size);
  burst.firstMsById.set(attemptId, firstMs);
  const elapsedMs = burst.doDeadlinesShrink ? now - firstMs : 0;
  const arrived = buildArrived(attemptId, { deadlineMs: MAXIMUM_MS - elapsedMs });
  requestAdmission.admitRequest(burst.state, arrived, buildClocks(now));
}

/** Ends the requests whose run time is over. */
function endRuns(burst: Burst, now: number): void {
  burst.running
    .filter(({ endMs }) => now >= endMs)
    .forEach(({ request }) => requestEnd.endRequest(burst.state, request));
  burst.running = burst.running.filter(({ endMs }) => now < endMs);
}

/** Runs the requests that got a slot; a caller whose first attempt is refused retries. */
function applyDecisions(burst: Burst, now: number): void {
  gatewayFixture.assignWaiting(burst.state, buildClocks(now)).forEach((one) => {
    const { request } = one;
    const firstMs = burst.firstMsById.get(request.arrived.attemptId) ?? 0;
    if (one.kind === 'send') {
      const runMs = SHORTEST_MS + (request.serial % RUN_STEPS) * RUN_STEP_MS;
      burst.running.push({ request, endMs: now + runMs });
      burst.inTime += Number(now + request.idleFirstMs < firstMs + TARGET_MS);
    } else if (one.kind === 'refuse' && request.arrivedMs === firstMs) {
      burst.pendingRetries.push({ atMs: now + (one.refusal.retryAfterMs ?? Infinity), firstMs });
    }
  });
}

/**
 * Simulates a burst of two and a half times the capacity of all slots. A caller whose request is
 * refused retries once, after the advised delay. Returns the number of requests that were on time.
 */
function countInTime(doDeadlinesShrink: boolean): number {
  const state = createTestGateway(SERVERS, [buildRoute({ targetMs: TARGET_MS })]);
  const flow = {
    pendingRetries: [],
    running: [],
    firstMsById: new Map<string, number>(),
    inTime: 0,
  };
  const burst: Burst = { state, doDeadlinesShrink, ...flow };
  for (let now = 0; now < BURST_MS; now += 5) {
    configurationLease.noteConfirmed(state.lease, buildClocks(now));
    endRuns(burst, now);
    if (now % ARRIVAL_MS === 0) {
      admitAttempt(burst, now, now);
    }
    const due = burst.pendingRetries.filter(({ atMs }) => atMs <= now);
    burst.pendingRetries = burst.pendingRetries.filter(({ atMs }) => atMs > now);
    due.forEach(({ firstMs }) => admitAttempt(burst, firstMs, now));
    applyDecisions(burst, now);
  }
  return burst.inTime;
}

test('late retry takes no slot from a request that can be on time', () => {
  // Refused callers retry while new requests arrive. The slots go to requests that can still be
  // on time. If the deadlines of retries did not reveal the elapsed time, late retries would get
  // some of the slots.
  assert.ok(countInTime(true) > countInTime(false));
});

test('retry goes before less urgent requests', () => {
  const routes = [buildRoute(), buildRoute({ name: 'later', prefix: '/b/', urgency: 1 })];
  const state = createTestGateway(['a'], routes);
  Array.from({ length: 20 }).forEach((_, index) =>
    requestAdmission.admitRequest(state, buildArrived(`typical ${index}`), buildClocks(0)),
  );
  gatewayFixture.assignWaiting(state, buildClocks(0));
  state.requests.forEach((request) => requestEnd.abandonRequest(state, request, false, 0));
  gatewayFixture.setInFlight(state, 'a', 2);
  requestAdmission.admitRequest(state, buildArrived('later', { path: '/b/x' }), buildClocks(10));
  requestAdmission.admitRequest(state, buildArrived('back', { deadlineMs: 9000 }), buildClocks(11));
  requestAdmission.admitRequest(state, buildArrived('new'), buildClocks(12));
  gatewayFixture.assignWaiting(state, buildClocks(12));
  const sent = [1, 0].flatMap((inFlight) => {
    gatewayFixture.setInFlight(state, 'a', inFlight);
    return gatewayFixture.assignWaiting(state, buildClocks(13 + inFlight));
  });
  assert.deepEqual(
    sent.filter(({ kind }) => kind === 'send').map(({ request }) => request.arrived.attemptId),
    ['new', 'back', 'later'].slice(0, sent.length),
  );
  assert.ok(sent.length >= 2);
});
