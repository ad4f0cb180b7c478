import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import type * as assignment from './assignment.js';
import * as attemptEnd from './attempt-end.js';
import * as configuration from './configuration.js';
import type * as gatewayState from './gateway-state.js';
import * as requestAdmission from './request-admission.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const { AttemptFault } = attemptEnd;
const NOT_BEGUN = { hasBegun: false, canResume: true };

/** Sends one request and lets its attempts end with faults until it is settled. */
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

/** Lets all assignments end with a fault and lists the codes of those refused. */
function listEnds(
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

test('unreachable costs the caller nothing', () => {
  const { UNSAFE } = configuration.RouteKind;
  const ended = runFaults({ kind: UNSAFE }, [AttemptFault.UNREACHABLE]);
  assert.deepEqual(ended, { verdict: 'again', code: '', sends: 2 });
});

test('broken off once may have run', () => {
  // The connection broke after the request was sent. A request that may run once
  // only is not sent again, and its caller is not told that it was not run.
  const { UNSAFE } = configuration.RouteKind;
  const ended = runFaults({ kind: UNSAFE }, [AttemptFault.BROKEN]);
  assert.deepEqual(ended, { verdict: 'refuse', code: 'ANSWER_BROKEN', sends: 1 });
});

test('refused everywhere was not run', () => {
  // Every backend server refuses, again and again. The request is sent a few
  // times at most and is then refused as not run.
  const route = gatewayFixture.buildRoute({ kind: configuration.RouteKind.UNSAFE });
  const state = gatewayFixture.createTestGateway(['a', 'b', 'c'], [route]);
  requestAdmission.admitRequest(
    state,
    gatewayFixture.buildArrived('1'),
    gatewayFixture.buildClocks(0),
  );
  const told: string[] = [];
  let sends = 0;
  for (let now = 0; now < 2900 && told.length === 0; now += 50) {
    const assigned = gatewayFixture.assignWaiting(state, gatewayFixture.buildClocks(now));
    sends += assigned.filter(({ kind }) => kind === 'send').length;
    told.push(...listEnds(state, assigned, AttemptFault.REFUSED, now));
  }
  assert.ok(sends >= 3 && sends <= 4, String(sends));
  assert.ok(['NO_BACKEND_SERVER', 'DEADLINE_UNREACHABLE'].includes(told[0]), told[0]);
});

test('run, then refused: not told as not run', () => {
  // A repeatable request fails at one backend server and is then refused by the
  // others. It has run once; "not run" would be untrue.
  const { SAFE } = configuration.RouteKind;
  const faults = [
    AttemptFault.BROKEN,
    ...Array<attemptEnd.AttemptFault>(4).fill(AttemptFault.REFUSED),
  ];
  const ended = runFaults({ kind: SAFE, maxAttempts: 3 }, faults);
  assert.equal(ended.code, 'ENGINE_FAILED');
});

test('runs of a request are bounded', () => {
  const { SAFE } = configuration.RouteKind;
  const ended = runFaults({ kind: SAFE, maxAttempts: 2 }, Array(5).fill(AttemptFault.FAILED));
  assert.deepEqual(ended, { verdict: 'passFailure', code: '', sends: 2 });
});

test('stream that may not be resumed runs once', () => {
  assert.equal(runFaults({}, [AttemptFault.FAILED]).verdict, 'passFailure');
  const resumable = { resumable: true, maxAttempts: 2 };
  assert.equal(runFaults(resumable, [AttemptFault.FAILED]).verdict, 'again');
});

test('repeats are bounded over all requests', () => {
  // All backend servers fail everything. Each request repeated would double the
  // load on them; the budget lets a fifth through, and ten besides.
  const route = gatewayFixture.buildRoute({ kind: configuration.RouteKind.SAFE, maxAttempts: 2 });
  const state = gatewayFixture.createTestGateway(['a', 'b', 'c'], [route]);
  let sends = 0;
  for (let index = 0; index < 200; index += 1) {
    const clocks = gatewayFixture.buildClocks(index * 10);
    requestAdmission.admitRequest(state, gatewayFixture.buildArrived(String(index)), clocks);
    const first = gatewayFixture.assignWaiting(state, clocks);
    listEnds(state, first, AttemptFault.FAILED, clocks.steadyMs);
    const second = gatewayFixture.assignWaiting(state, clocks);
    listEnds(state, second, AttemptFault.FAILED, clocks.steadyMs);
    sends += first.length + second.length;
  }
  const repeats = sends - 200;
  assert.ok(repeats >= 10 && repeats <= 52, String(repeats));
});
