import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as storeFollower from './store-follower.js';

const { test } = nodeTest;
/** Timeout of a call without a response, and the longest pause after it, milliseconds. */
const CALL_TIMEOUT_MS = 1000;
const MAX_FIRST_PAUSE_MS = 100;
const LONG_BOUNDS = { configurationMs: 10_000, evacuationMs: 10_000 };

test('one lost call fits in the time allowed for changes', () => {
  // A backend server begins to leave right after a response of the store. The next call is lost,
  // and the one after it returns the change. If that took longer than allowed, the backend server
  // would get new work while it shuts down.
  const cases = [2000, 3000, 10_000].map((leavingMs) => ({
    leavingMs,
    intervalMs: storeFollower.computeIntervalMs({ leavingMs, ...LONG_BOUNDS }),
  }));
  cases.forEach(({ leavingMs, intervalMs }) =>
    assert.ok(intervalMs + CALL_TIMEOUT_MS + MAX_FIRST_PAUSE_MS < leavingMs, String(intervalMs)),
  );
});

test('the shortest time allowed decides the interval', () => {
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

test('longest common prefix of keys is found', () => {
  assert.equal(storeFollower.findSharedPrefix('op/config', 'servers/'), '');
  assert.equal(storeFollower.findSharedPrefix('a/config', 'a/servers/'), 'a/');
  assert.equal(storeFollower.findSharedPrefix('a/', 'a/servers/'), 'a/');
  assert.equal(storeFollower.findSharedPrefix('a/config', 'a/servers/', 'b/evacuate/'), '');
});
