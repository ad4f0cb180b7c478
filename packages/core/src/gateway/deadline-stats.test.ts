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
const { buildArrived, buildClocks, buildRoute, createTestGateway: createBench } = gatewayFixture;
const FULL_MS = 15_000;
const TARGET_MS = 500;
const SERVERS = ['a', 'bb', 'ccc', 'dddd', 'eeeee', 'ffffff', 'ggggggg', 'hhhhhhhh'];
/** Runs last from 320 to 480 ms: sixteen places serve forty a second. */
const SHORTEST_MS = 320;
const RUN_STEP_MS = 40;
const RUN_STEPS = 5;
/** Nearly three times as much arrives. */
const ARRIVAL_MS = 10;
const BURST_MS = 8000;

/** Takes in the deadlines of some requests. */
function noteAll(
  usual: deadlineStats.UsualDeadline,
  deadlines: readonly number[],
  workspace = 'w',
): void {
  deadlines.forEach((deadlineMs) => deadlineStats.noteDeadline(usual, workspace, deadlineMs));
}

test('one that comes back has tried for as long as it has less time', () => {
  const usual = deadlineStats.createUsualDeadline();
  noteAll(
    usual,
    Array.from({ length: 40 }, (_, index) => FULL_MS - (index % 10) * 200),
  );
  assert.equal(deadlineStats.estimateTriedMs(usual, 'w', FULL_MS), 0);
  assert.equal(deadlineStats.estimateTriedMs(usual, 'w', FULL_MS - 1800), 0);
  assert.equal(deadlineStats.estimateTriedMs(usual, 'w', 9000), 6000);
});

test('callers that each have a time of their own', () => {
  // Callers of one route allow anything from one to fifteen seconds. Who allows little has
  // not tried for long; nobody may be put behind the others for it.
  const usual = deadlineStats.createUsualDeadline();
  noteAll(
    usual,
    Array.from({ length: 400 }, (_, index) => 1000 + ((index * 7919) % 14_000)),
  );
  assert.equal(deadlineStats.estimateTriedMs(usual, 'w', 2000), 0);
});

test('one caller with a very long time', () => {
  // One caller allows four times as long as all others. These have not tried for 45
  // seconds; nothing is concluded until its deadline is forgotten.
  const usual = deadlineStats.createUsualDeadline();
  noteAll(usual, Array<number>(40).fill(FULL_MS));
  noteAll(usual, [60_000]);
  Array.from({ length: 60 }).forEach(() => {
    noteAll(usual, [FULL_MS]);
    assert.equal(deadlineStats.estimateTriedMs(usual, 'w', FULL_MS), 0);
  });
  assert.equal(deadlineStats.estimateTriedMs(usual, 'w', 9000), 6000);
});

test('a workspace whose callers allow less', () => {
  // Callers of one workspace allow 8 s, all others 15 s. They have not tried before; in a
  // burst they would wait behind everybody of their urgency, and be turned away first.
  const usual = deadlineStats.createUsualDeadline();
  noteAll(usual, Array<number>(40).fill(FULL_MS));
  Array.from({ length: 12 }).forEach(() => {
    noteAll(usual, [8000], 'hasty');
    noteAll(usual, [FULL_MS, FULL_MS]);
  });
  assert.equal(deadlineStats.estimateTriedMs(usual, 'hasty', 8000), 0);
  assert.equal(deadlineStats.estimateTriedMs(usual, 'w', 8000), 7000);
});

test('nothing is known at first', () => {
  const usual = deadlineStats.createUsualDeadline();
  noteAll(usual, [FULL_MS, FULL_MS]);
  assert.equal(deadlineStats.estimateTriedMs(usual, 'w', 5000), 0);
});

/** A caller that comes back, and when it first tried. */
type Return = { atMs: number; firstMs: number };

/** What is under way in a burst. */
type Burst = {
  state: gatewayState.GatewayState;
  doDeadlinesTell: boolean;
  returns: Return[];
  running: { request: gatewayRequest.GatewayRequest; endMs: number }[];
  firstMsById: Map<string, number>;
  inTime: number;
};

/** Takes in a call of somebody who first tried at a time. */
function addCall(burst: Burst, firstMs: number, now: number): void {
  const attemptId = String(burst.firstMsById.size);
  burst.firstMsById.set(attemptId, firstMs);
  const triedMs = burst.doDeadlinesTell ? now - firstMs : 0;
  const arrived = buildArrived(attemptId, { deadlineMs: FULL_MS - triedMs });
  requestAdmission.admitRequest(burst.state, arrived, buildClocks(now));
}

/** Ends what has run for its time. */
function endRuns(burst: Burst, now: number): void {
  burst.running
    .filter(({ endMs }) => now >= endMs)
    .forEach(({ request }) => requestEnd.endRequest(burst.state, request));
  burst.running = burst.running.filter(({ endMs }) => now < endMs);
}

/** Sends what was given a place; who is turned away for the first time comes back. */
function applyDecisions(burst: Burst, now: number): void {
  gatewayFixture.assignWaiting(burst.state, buildClocks(now)).forEach((one) => {
    const { request } = one;
    const firstMs = burst.firstMsById.get(request.arrived.attemptId) ?? 0;
    if (one.kind === 'send') {
      const runMs = SHORTEST_MS + (request.serial % RUN_STEPS) * RUN_STEP_MS;
      burst.running.push({ request, endMs: now + runMs });
      burst.inTime += Number(now + request.idleFirstMs < firstMs + TARGET_MS);
    } else if (one.kind === 'refuse' && request.arrivedMs === firstMs) {
      burst.returns.push({ atMs: now + (one.refusal.retryAfterMs ?? Infinity), firstMs });
    }
  });
}

/**
 * Runs a burst of nearly three times what all places can do. Who is turned away comes
 * back once, when told. Gives the calls that were sent before their target.
 */
function countInTime(doDeadlinesTell: boolean): number {
  const state = createBench(SERVERS, [buildRoute({ targetMs: TARGET_MS })]);
  const flow = { returns: [], running: [], firstMsById: new Map<string, number>(), inTime: 0 };
  const burst: Burst = { state, doDeadlinesTell, ...flow };
  for (let now = 0; now < BURST_MS; now += 5) {
    configurationLease.noteConfirmed(state.lease, buildClocks(now));
    endRuns(burst, now);
    if (now % ARRIVAL_MS === 0) {
      addCall(burst, now, now);
    }
    const due = burst.returns.filter(({ atMs }) => atMs <= now);
    burst.returns = burst.returns.filter(({ atMs }) => atMs > now);
    due.forEach(({ firstMs }) => addCall(burst, firstMs, now));
    applyDecisions(burst, now);
  }
  return burst.inTime;
}

test('who comes back late takes no place of one who can be on time', () => {
  // Callers who were turned away come back while others arrive for the first time. Places
  // go to those who can still be on time; without a word of the time that is left, who
  // comes back late gets a part of them.
  assert.ok(countInTime(true) > countInTime(false));
});

test('who comes back goes before the less urgent', () => {
  const routes = [buildRoute(), buildRoute({ name: 'later', prefix: '/b/', urgency: 1 })];
  const state = createBench(['a'], routes);
  Array.from({ length: 20 }).forEach((_, index) =>
    requestAdmission.admitRequest(state, buildArrived(`usual ${index}`), buildClocks(0)),
  );
  gatewayFixture.assignWaiting(state, buildClocks(0));
  state.requests.forEach((request) => requestEnd.abandonRequest(state, request, false));
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
