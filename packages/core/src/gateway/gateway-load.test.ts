import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as gatewayLoad from './gateway-load.js';

const { test } = nodeTest;
const TARGET_MS = 400;
/** Far longer than a process counts as new. */
const LATER_MS = 10_000;

/** Creates the load of a gateway that has run for long and gets as many requests of each urgency. */
function createLoad(urgencies: number[], now = LATER_MS): gatewayLoad.GatewayLoad {
  const load = gatewayLoad.createGatewayLoad();
  admitEach(load, urgencies, 0);
  admitEach(load, urgencies, now);
  return load;
}

/** Offers ten requests of each urgency; returns how many of each were admitted. */
function admitEach(load: gatewayLoad.GatewayLoad, urgencies: number[], now: number): number[] {
  const admitted = urgencies.map(() => 0);
  for (let index = 0; index < 10; index += 1) {
    urgencies.forEach((urgency, at) => {
      const claim = { urgency, targetMs: TARGET_MS };
      const refusal = gatewayLoad.findOverloadRefusal(load, claim, () => (index + 0.5) / 10, now);
      admitted[at] += refusal === undefined ? 1 : 0;
    });
  }
  return admitted;
}

/** Records turns of the same duration; returns the changes, and the time after the last turn. */
function runTurns(load: gatewayLoad.GatewayLoad, count: number, ms: number, startMs: number) {
  const changes: (gatewayLoad.LoadChange | undefined)[] = [];
  let now = startMs;
  for (let index = 0; index < count; index += 1) {
    now += Math.max(ms, 20);
    changes.push(gatewayLoad.noteDelay(load, ms, now));
  }
  return { changes: changes.filter((change) => change !== undefined), now };
}

test('turns of normal length change nothing', () => {
  const load = createLoad([0, 1]);
  assert.deepEqual(runTurns(load, 100, 40, LATER_MS).changes, []);
  assert.equal(load.admittedShare, 1);
});

test('a single stall changes nothing', () => {
  // Guards against refusing requests after a long turn that applied a configuration.
  const load = createLoad([0, 1]);
  const { now } = runTurns(load, 2, 1500, LATER_MS);
  assert.deepEqual(runTurns(load, 10, 5, now).changes, []);
});

test('a new process refuses nothing', () => {
  // Guards against refusing all requests in the first second on a fraction of a core.
  const load = createLoad([0, 1], 0);
  runTurns(load, 5, 200, 0);
  assert.deepEqual(admitEach(load, [0, 1], 1000), [10, 10]);
});

test('the least urgent requests are refused first, and the most urgent ones never all', () => {
  // Guards against refusing a more urgent request while less urgent ones are admitted.
  const load = createLoad([0, 1, 2]);
  const first = runTurns(load, 3, 300, LATER_MS);
  assert.deepEqual(first.changes, ['overloaded']);
  const reduced = admitEach(load, [0, 1, 2], first.now);
  assert.equal(reduced[0], 10);
  assert.equal(reduced[2], 0);
  const { now } = runTurns(load, 30, 300, first.now);
  admitEach(load, [0, 1, 2], now);
  const least = admitEach(load, [0, 1, 2], now);
  assert.ok(least[0] > 0 && least[0] < 10);
  assert.deepEqual(least.slice(1), [0, 0]);
});

test('between the two limits the share does not change', () => {
  // Guards against alternating between refusing and admitting at every turn.
  const load = createLoad([0]);
  const { now } = runTurns(load, 3, 300, LATER_MS);
  const share = load.admittedShare;
  runTurns(load, 20, 100, now);
  assert.equal(load.admittedShare, share);
});

test('turns that are neither long nor short end an overload in time', () => {
  // Failure: a gateway that uses all of its processor time keeps refusing requests after a burst.
  const load = createLoad([0]);
  const { now } = runTurns(load, 3, 300, LATER_MS);
  runTurns(load, 400, 100, now);
  assert.equal(load.admittedShare, 1);
});

test('a route without a target sets no limit', () => {
  // Failure: its target of 0 makes normal turns count as too long, for all routes.
  const load = createLoad([0]);
  gatewayLoad.findOverloadRefusal(load, { urgency: 0, targetMs: 0 }, () => 0.5, LATER_MS);
  runTurns(load, 20, 90, LATER_MS);
  assert.equal(load.admittedShare, 1);
});

test('after short turns all requests are admitted again', () => {
  const load = createLoad([0]);
  const { now } = runTurns(load, 3, 300, LATER_MS);
  const { changes, now: endMs } = runTurns(load, 100, 10, now);
  assert.deepEqual(changes, ['recovered']);
  assert.deepEqual(admitEach(load, [0], endMs), [10]);
});

test('a refusal says when the gateway is expected to have recovered', () => {
  const load = createLoad([0]);
  const { now } = runTurns(load, 30, 300, LATER_MS);
  const claim = { urgency: 0, targetMs: TARGET_MS };
  const refusal = gatewayLoad.findOverloadRefusal(load, claim, () => 0.99, now);
  assert.equal(refusal?.code, schema.ResultCode.GATEWAY_OVERLOADED);
  const lastedMs = now - load.beganMs;
  const { retryAfterMs = 0 } = refusal;
  assert.ok(retryAfterMs >= Math.min(lastedMs, 5000) && retryAfterMs <= 10_000);
});

test('an idempotent request has waited no longer than its caller would', () => {
  assert.equal(gatewayLoad.computeWaitedMs(2000, 6000, true), 1000);
  assert.equal(gatewayLoad.computeWaitedMs(2000, 900, true), 300);
  assert.equal(gatewayLoad.computeWaitedMs(2000, 900, false), 2000);
  assert.equal(gatewayLoad.computeUnreadMs(20), 0);
});

test('a gateway is saturated after seconds, not at a peak', () => {
  // Guards against cells that change their scheduler at every peak.
  const load = gatewayLoad.createGatewayLoad();
  assert.equal(gatewayLoad.noteUtilization(load, 1, 1000), false);
  assert.ok(gatewayLoad.computeLoadPercent(load) < 100);
  gatewayLoad.noteUtilization(load, 1, 5000);
  assert.equal(gatewayLoad.computeLoadPercent(load), 100);
  gatewayLoad.noteUtilization(load, 0.8, 5000);
  assert.equal(gatewayLoad.computeLoadPercent(load), 100);
  gatewayLoad.noteUtilization(load, 0.1, 5000);
  assert.equal(gatewayLoad.isSaturatedPercent(gatewayLoad.computeLoadPercent(load)), false);
});
