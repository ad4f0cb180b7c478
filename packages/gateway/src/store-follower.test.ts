import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as storeFollower from './store-follower.js';

const { test } = nodeTest;
/** Time until a call that got no answer is given up, and the longest pause after it, ms. */
const GIVEN_UP_MS = 1000;
const FIRST_PAUSE_MS = 100;
const LONG_BOUNDS = { configurationMs: 10_000, evacuationMs: 10_000 };

test('one lost call fits in the bounds', () => {
  // A backend server begins to leave right after an answer of the store. The next
  // call is lost; the one after it tells. Known later than the bound, the backend
  // server would get new work while it ends.
  const pauses = [2000, 3000, 10_000].map((leavingMs) => ({
    leavingMs,
    intervalMs: storeFollower.computeIntervalMs({ leavingMs, ...LONG_BOUNDS }),
  }));
  pauses.forEach(({ leavingMs, intervalMs }) =>
    assert.ok(intervalMs + GIVEN_UP_MS + FIRST_PAUSE_MS < leavingMs, String(intervalMs)),
  );
});

test('interval of the shortest bound', () => {
  const bounds = { leavingMs: 3000, configurationMs: 3000, evacuationMs: 3000 };
  const intervals = [
    storeFollower.computeIntervalMs({ ...bounds, leavingMs: 2000 }),
    storeFollower.computeIntervalMs({ ...bounds, configurationMs: 2000 }),
    storeFollower.computeIntervalMs({ ...bounds, evacuationMs: 2000 }),
  ];
  assert.deepEqual(intervals, [intervals[0], intervals[0], intervals[0]]);
  assert.ok(intervals[0] < storeFollower.computeIntervalMs(bounds));
  const shortest = { leavingMs: 500, configurationMs: 500, evacuationMs: 500 };
  assert.ok(storeFollower.computeIntervalMs(shortest) > 0);
});

test('prefix that two keys share', () => {
  assert.equal(storeFollower.findSharedPrefix('op/config', 'servers/'), '');
  assert.equal(storeFollower.findSharedPrefix('a/config', 'a/servers/'), 'a/');
  assert.equal(storeFollower.findSharedPrefix('a/', 'a/servers/'), 'a/');
  assert.equal(storeFollower.findSharedPrefix('a/config', 'a/servers/', 'b/evacuate/'), '');
});
