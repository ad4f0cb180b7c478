import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as askMessages from './ask-messages.js';
import * as assignment from './assignment.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as requestAdmission from './request-admission.js';
import * as runTimes from './run-times.js';
import * as serverEntries from './server-entries.js';
import * as shutdownLimits from './shutdown-limits.js';

const { test } = nodeTest;

const GRACE_MS = 8000;
const SHORT_RUNS = Array<number>(10).fill(30);
const { SHUTTING_DOWN, ANSWER_BROKEN } = schema.ResultCode;

/** Admits a request whose caller waits for the given time; undefined if it is refused. */
function admit(
  state: gatewayState.GatewayState,
  now: number,
  deadlineMs = 15_000,
): gatewayRequest.GatewayRequest | undefined {
  const clocks = gatewayFixture.buildClocks(now);
  state.lease.confirmed = clocks;
  const arrived = {
    attemptId: `attempt-${state.nextSerial}`,
    host: 'a.example',
    path: '/a/x',
    credential: gatewayFixture.KEY,
    deadlineMs,
    tokens: undefined,
    answerGuess: undefined,
    hashContent: () => '',
  };
  const admission = requestAdmission.admitRequest(state, arrived, clocks);
  return admission.kind === 'admitted' ? admission.request : undefined;
}

/** Creates a gateway whose runs took the given times, with a shutdown that began at time 0. */
function createStopping(runs: number[]): gatewayState.GatewayState {
  const state = gatewayFixture.createTestGateway([]);
  const { route } = admit(state, 1) as gatewayRequest.GatewayRequest;
  state.requests.clear();
  runs.forEach((ms) => runTimes.noteRunTime(state.runTimes, { route, sentMs: 0 }, ms));
  shutdownLimits.beginShutdown(state, GRACE_MS, 1);
  return state;
}

/** Finds when a waiting request is refused, milliseconds; checked every 100 ms. */
function findRefusedMs(state: gatewayState.GatewayState): number | undefined {
  return Array.from({ length: GRACE_MS / 100 }, (_, index) => index * 100 + 1).find(
    (now) => shutdownLimits.refuseLate(state, now).length > 0,
  );
}

test('waiting request is refused while a long run still fits', () => {
  const state = createStopping([...SHORT_RUNS, 1000, 1000]);
  admit(state, 1);
  assert.equal(findRefusedMs(state), 6601);
});

test('waiting request whose runs are unknown is refused early', () => {
  const state = createStopping([]);
  admit(state, 1);
  assert.equal(findRefusedMs(state), 3101);
});

test('request is refused at once if a typical run does not fit', () => {
  assert.equal(admit(createStopping([9000, 9000, 9000]), 100), undefined);
});

test('single long run does not shorten the wait of short ones', () => {
  const state = createStopping([...Array.from({ length: 12 }, () => 100), 4000]);
  admit(state, 1);
  assert.equal(findRefusedMs(state), 7501);
});

test('request with a few long runs is sent early in a shutdown', () => {
  const state = createStopping([100, 100, 100, 100, 9000]);
  admit(state, 1);
  assert.equal(findRefusedMs(state), 3101);
});

test('refused caller has time for another gateway', () => {
  const state = createStopping(SHORT_RUNS);
  admit(state, 1, 7600);
  assert.equal(findRefusedMs(state), 7101);
});

test('request that ends by its own deadline is not refused earlier', () => {
  const state = createStopping(SHORT_RUNS);
  admit(state, 1, 7000);
  assert.equal(findRefusedMs(state), 7501);
});

test('waiting request that has run is not refused as not run', () => {
  // Guards against the promise that a request which waits for its retry has not run.
  const state = createStopping([]);
  const request = admit(state, 1) as gatewayRequest.GatewayRequest;
  request.runs = 1;
  const [late]: Pick<assignment.Assignment & { kind: 'refuse' }, 'refusal'>[] =
    shutdownLimits.refuseLate(state, 5000);
  assert.equal(late.refusal.code, ANSWER_BROKEN);
  assert.equal(state.requests.size, 0);
});

test('caller returns at once if there are other gateways', () => {
  const state = createStopping([]);
  admit(state, 1);
  gatewayFixture.receivePeerReport(state, '10.0.0.2:1', 1);
  const [{ refusal }] = shutdownLimits.refuseLate(state, 5000);
  assert.deepEqual(refusal, { code: SHUTTING_DOWN, retryAfterMs: 150 });
});

test('caller of the only gateway returns after its restart', () => {
  const state = createStopping([]);
  admit(state, 1);
  const [{ refusal }] = shutdownLimits.refuseLate(state, 5001);
  assert.deepEqual(refusal, { code: SHUTTING_DOWN, retryAfterMs: 4050 });
});

test('second request for shutdown changes nothing', () => {
  const state = createStopping([]);
  assert.equal(shutdownLimits.beginShutdown(state, 1000, 5000), false);
  assert.deepEqual([state.shutdownMs, state.shutdownGraceMs], [1, GRACE_MS]);
});

test('requests are refused once callers know that the gateway stops', () => {
  // Guards against admission that lasts as long as short runs fit.
  const state = createStopping(SHORT_RUNS);
  assert.notEqual(admit(state, 2400), undefined);
  assert.equal(admit(state, 2600), undefined);
});

test('grant that comes too late is not used', () => {
  // Guards against a send between two checks of the waiting requests.
  const state = createStopping([]);
  serverEntries.applyEntry(state.servers, gatewayFixture.buildEntry('a'), 1);
  const { serial, cell = '' } = admit(state, 1) as gatewayRequest.GatewayRequest;
  askMessages.collectAsks(state, 3050);
  const reply = schema.create(schema.ScheduleReplySchema, {
    address: gatewayFixture.ADDRESS,
    cell,
    echo: state.links.get(cell)?.sequence,
    grants: [{ number: 1, serial, serverId: 'a' }],
  });
  const clocks = gatewayFixture.buildClocks(3110);
  state.lease.confirmed = clocks;
  const [applied] = assignment.applyReply(state, reply, clocks);
  assert.equal(applied.kind === 'refuse' && applied.refusal.code, SHUTTING_DOWN);
  assert.equal(state.inFlight.get('a'), undefined);
});

test('ask of a refused request is withdrawn', () => {
  // Guards against a slot that is granted to a request that has ended.
  const state = createStopping([]);
  const { serial, cell = '' } = admit(state, 1) as gatewayRequest.GatewayRequest;
  shutdownLimits.refuseLate(state, 5000);
  assert.deepEqual(state.links.get(cell)?.withdrawn, [serial]);
});

test('caller returns at once if other gateways are only known as seeds', () => {
  const state = createStopping([]);
  Object.assign(state, { seeds: ['10.0.0.2:1'] });
  admit(state, 1);
  const [{ refusal }] = shutdownLimits.refuseLate(state, 5000);
  assert.equal(refusal.retryAfterMs, 150);
});
