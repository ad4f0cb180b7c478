import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timeSlices from './time-slices.js';

const { test } = nodeTest;

/** Runs ten items that take the given time each; returns how many ran before each deferral. */
function runTen(itemMs: number): number[] {
  const counts: number[] = [];
  const ran: number[] = [];
  let now = 0;
  const run = (item: number) => {
    now += itemMs;
    ran.push(item);
  };
  const items = Array.from({ length: 10 }, (_, index) => index);
  timeSlices.runInSlices(
    items,
    run,
    () => now,
    (step) => {
      counts.push(ran.length);
      step();
    },
  );
  assert.deepEqual(ran, items);
  return counts;
}

test('short loops run at once', () => {
  assert.deepEqual(runTen(1), []);
});

test('long loops are divided, and each slice runs at least one item', () => {
  // Guards against sending requests long after the last poll, and against a loop that never ends.
  assert.deepEqual(runTen(20), [3, 6, 9]);
  assert.deepEqual(runTen(200), [1, 2, 3, 4, 5, 6, 7, 8, 9]);
});
