import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as warmUp from './warm-up.js';

const { test } = nodeTest;
const LIMIT = { perSecond: 9, maxInOneSecond: 18, durationMs: 3000 };
const WARM = { isWarming: false, reachableShare: 1 };
const WARMING = { isWarming: true, reachableShare: 1 };
const SECOND_MS = 1000;

/** Starts all requests that are allowed until a time, and lists when each was started. */
function startAll(
  limit: warmUp.WarmUpLimit,
  view: warmUp.WarmUpState,
  forMs: number,
  before: readonly number[] = [],
): number[] {
  const starts = [...before];
  for (let now = before.at(-1) ?? 0; now < forMs; now += 5) {
    const left = Math.min(warmUp.countStartsLeft(starts, limit, view, now), 50);
    starts.push(...Array.from({ length: left }, () => now));
  }
  return starts;
}

/** Counts the starts in the busiest second. */
function countMost(starts: readonly number[]): number {
  const counts = starts.map(
    (from) => starts.filter((one) => one >= from && one < from + SECOND_MS).length,
  );
  return Math.max(...counts, 0);
}

test('starts are evenly spaced during warm-up', () => {
  const starts = startAll(LIMIT, WARMING, 3000);
  const gaps = starts.slice(1).map((one, index) => one - starts[index]);
  assert.ok(Math.min(...gaps) >= 100, String(Math.min(...gaps)));
  assert.ok(countMost(starts) <= LIMIT.maxInOneSecond / 2, String(countMost(starts)));
  assert.ok(starts.length >= 15, String(starts.length));
});

test('two schedulers together keep the limit', () => {
  const one = startAll(LIMIT, WARMING, 3000);
  assert.ok(countMost([...one, ...one]) <= LIMIT.maxInOneSecond);
});

test('partitioned schedulers together keep the limit', () => {
  // The gateways are partitioned into five groups that cannot reach each other. Each group has a
  // scheduler of its own, and all of them can reach the backend server.
  const one = startAll(LIMIT, { isWarming: true, reachableShare: 0.2 }, 3000);
  assert.ok(one.length > 0);
  assert.ok(countMost([...one, ...one, ...one, ...one, ...one]) <= LIMIT.maxInOneSecond);
});

test('scheduler that reaches no gateway starts nothing', () => {
  assert.deepEqual(startAll(LIMIT, { isWarming: true, reachableShare: 0 }, 3000), []);
});

test('scheduler that takes over continues at the same rate', () => {
  const before = startAll(LIMIT, WARMING, 1000);
  const after = startAll(LIMIT, WARMING, 1800).map((one) => one + 1000);
  assert.ok(countMost([...before, ...after]) <= LIMIT.maxInOneSecond);
});

test('server wrongly considered warm is not overloaded in its first second', () => {
  // A backend server has restarted after a crash, and no gateway knows. In the first second it must
  // get no more requests than it can handle.
  const first = startAll(LIMIT, WARM, 1400);
  assert.ok(first.length <= LIMIT.maxInOneSecond, String(first.length));
  const next = startAll(LIMIT, WARMING, 2800, first).filter((one) => one > 500);
  assert.ok(countMost(next) <= LIMIT.maxInOneSecond, String(countMost(next)));
});

test('starts at a warm server at most double per window', () => {
  const starts = startAll(LIMIT, WARM, 5600);
  const counts = [0, 1400, 2800, 4200].map(
    (from) => starts.filter((one) => one >= from && one < from + 1400).length,
  );
  counts.slice(1).forEach((count, index) => {
    assert.ok(count > counts[index], counts.join());
    assert.ok(count <= 2 * counts[index], counts.join());
  });
});

test('delayed grants used within one second keep the limit', () => {
  // A gateway stalls and uses its grants up to 0.4 s late, so that grants made during 1.4 s reach
  // the backend server within one second.
  const late = startAll(LIMIT, WARM, 1400).map((one) => Math.max(one, 400));
  assert.ok(countMost(late) <= LIMIT.maxInOneSecond, String(countMost(late)));
});

test('service that needs no warm-up has no limit', () => {
  assert.equal(warmUp.countStartsLeft([0, 0, 0], undefined, WARMING, 0), Infinity);
});
