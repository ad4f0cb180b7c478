import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import type * as assignment from './assignment.js';
import * as attemptEnd from './attempt-end.js';
import * as configuration from './configuration.js';
import * as gatewayState from './gateway-state.js';
import * as recentUse from './recent-use.js';
import * as requestAdmission from './request-admission.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const { AttemptFault } = attemptEnd;
const NOT_BEGUN = { hasBegun: false, canResume: true };

/** Sends one request and lets its attempts fail with the given faults until it ends. */
function runFaults(
  route: Partial<configuration.Route>,
  faults: attemptEnd.AttemptFault[],
): { verdict: attemptEnd.AttemptVerdict['kind']; code: string; sends: number } {
  const state = gatewayFixture.createTestGateway(
    ['a', 'b', 'c'],
    [gatewayFixture.buildRoute(route)],
  );
  const clocks = gatewayFixture.buildClocks(10);
  const taken = requestAdmission.admitRequest(state, gatewayFixture.buildArrived('1'), clocks);
  assert.equal(taken.kind, 'admitted');
  const [sent] = gatewayFixture.assignWaiting(state, clocks);
  const { request } = sent;
  let verdict: attemptEnd.AttemptVerdict = { kind: 'again' };
  faults.forEach((fault, index) => {
    if (verdict.kind === 'again') {
      verdict = attemptEnd.handleAttemptFault(
        state,
        request,
        fault,
        NOT_BEGUN,
        gatewayFixture.buildClocks(20 + index),
      );
      gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(20 + index));
    }
  });
  const settled = verdict as attemptEnd.AttemptVerdict;
  const code = settled.kind === 'refuse' ? schema.ResultCode[settled.refusal.code] : '';
  return { verdict: settled.kind, code, sends: request.sends };
}

/** Lets all assigned attempts fail and lists the result codes of the refused requests. */
function failAttempts(
  state: gatewayState.GatewayState,
  assigned: assignment.Assignment[],
  fault: attemptEnd.AttemptFault,
  now: number,
): string[] {
  return assigned.flatMap((one) => {
    const verdict =
      one.kind === 'refuse'
        ? one
        : attemptEnd.handleAttemptFault(
            state,
            one.request,
            fault,
            NOT_BEGUN,
            gatewayFixture.buildClocks(now),
          );
    return verdict.kind === 'refuse' ? [schema.ResultCode[verdict.refusal.code]] : [];
  });
}

test('request to an unreachable server is sent again', () => {
  const { UNSAFE } = configuration.RouteKind;
  const ended = runFaults({ kind: UNSAFE }, [AttemptFault.UNREACHABLE]);
  assert.deepEqual(ended, { verdict: 'again', code: '', sends: 2 });
});

test('request whose connection broke may have run', () => {
  // The connection broke after the request was sent. A request that must not run twice is not
  // sent again, and the caller must not be told that it was not run.
  const { UNSAFE } = configuration.RouteKind;
  const ended = runFaults({ kind: UNSAFE }, [AttemptFault.BROKEN]);
  assert.deepEqual(ended, { verdict: 'refuse', code: 'ANSWER_BROKEN', sends: 1 });
});

test('request refused by all servers was not run', () => {
  // All backend servers keep refusing. The request is sent a few times at most and then refused
  // as not run.
  const route = gatewayFixture.buildRoute({ kind: configuration.RouteKind.UNSAFE });
  const state = gatewayFixture.createTestGateway(['a', 'b', 'c'], [route]);
  requestAdmission.admitRequest(
    state,
    gatewayFixture.buildArrived('1'),
    gatewayFixture.buildClocks(0),
  );
  const codes: string[] = [];
  let sends = 0;
  for (let now = 0; now < 2900 && codes.length === 0; now += 50) {
    const assigned = gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(now));
    sends += assigned.filter(({ kind }) => kind === 'send').length;
    codes.push(...failAttempts(state, assigned, AttemptFault.REFUSED, now));
  }
  assert.ok(sends >= 3 && sends <= 4, String(sends));
  assert.ok(['NO_BACKEND_SERVER', 'DEADLINE_UNREACHABLE'].includes(codes[0]), codes[0]);
});

test('request that failed once and was then refused is not reported as not run', () => {
  // A request that may run again fails at one backend server and is then refused by the others.
  // It has run once, so reporting it as not run would be wrong.
  const { SAFE } = configuration.RouteKind;
  const faults = [
    AttemptFault.BROKEN,
    ...Array<attemptEnd.AttemptFault>(4).fill(AttemptFault.REFUSED),
  ];
  const ended = runFaults({ kind: SAFE, maxAttempts: 3 }, faults);
  assert.equal(ended.code, 'ENGINE_FAILED');
});

test('number of runs of a request is limited', () => {
  const { SAFE } = configuration.RouteKind;
  const ended = runFaults({ kind: SAFE, maxAttempts: 2 }, Array(5).fill(AttemptFault.FAILED));
  assert.deepEqual(ended, { verdict: 'passFailure', code: '', sends: 2 });
});

test('stream that is not resumable runs once', () => {
  assert.equal(runFaults({}, [AttemptFault.FAILED]).verdict, 'passFailure');
  const resumable = { resumable: true, maxAttempts: 2 };
  assert.equal(runFaults(resumable, [AttemptFault.FAILED]).verdict, 'again');
});

test('retries are limited over all requests', () => {
  // All backend servers fail all requests. Retrying each request would double the load; the
  // budget allows retries for a fifth of the requests, plus ten.
  const route = gatewayFixture.buildRoute({ kind: configuration.RouteKind.SAFE, maxAttempts: 2 });
  const state = gatewayFixture.createTestGateway(['a', 'b', 'c'], [route]);
  let sends = 0;
  for (let index = 0; index < 200; index += 1) {
    const clocks = gatewayFixture.buildClocks(index * 10);
    requestAdmission.admitRequest(state, gatewayFixture.buildArrived(String(index)), clocks);
    const first = gatewayFixture.assignWaiting(state, clocks);
    failAttempts(state, first, AttemptFault.FAILED, clocks.steadyMs);
    const second = gatewayFixture.assignWaiting(state, clocks);
    failAttempts(state, second, AttemptFault.FAILED, clocks.steadyMs);
    sends += first.length + second.length;
  }
  const retries = sends - 200;
  assert.ok(retries >= 10 && retries <= 52, String(retries));
});

/** Sends a request of 60,000 tokens; returns its workspace's use 10 ms after the given fault. */
function measureUse(fault: attemptEnd.AttemptFault): number {
  const state = gatewayFixture.createTestGateway(['a']);
  const tokens = { prompt: 0, answer: 60_000 };
  const arrived = gatewayFixture.buildArrived('1', { tokens });
  requestAdmission.admitRequest(state, arrived, gatewayFixture.buildClocks(10));
  const [sent] = gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(10));
  const clocks = gatewayFixture.buildClocks(1010);
  attemptEnd.handleAttemptFault(state, sent.request, fault, NOT_BEGUN, clocks);
  const { use } = gatewayState.getServiceState(state, 'one');
  const [reported] = recentUse.listRecentUse(use, undefined, 1020);
  return reported?.tiers.reduce((sum, { workTokens }) => sum + workTokens, 0) ?? 0;
}

test('request that no server ran is no use of its workspace', () => {
  // Guards against a workspace that waits behind others for work that all servers have refused.
  const { REFUSED, UNREACHABLE, WITHDRAWN, MISDIRECTED, FAILED, BROKEN } = AttemptFault;
  [REFUSED, UNREACHABLE, WITHDRAWN, MISDIRECTED].forEach((fault) =>
    assert.equal(measureUse(fault), 0, fault),
  );
  [FAILED, BROKEN].forEach((fault) => assert.ok(measureUse(fault) > 40_000, fault));
});
