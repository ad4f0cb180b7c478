import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as rateLimit from './rate-limit.js';

const { test } = nodeTest;
const SERVER = 'a';
const ALL_HEARD = 1;

/** Creates limits of which one has just been reported. */
function createLimits(perSecond: number, now: number): rateLimit.RateLimits {
  const limits: rateLimit.RateLimits = new Map();
  rateLimit.applyReportedLimit(limits, { serverId: SERVER, perSecond, statedMs: now }, now);
  return limits;
}

test('scheduler that takes over begins with an empty bucket', () => {
  // Guards against two consecutive schedulers that each grant a second's worth of requests at once.
  const limit = createLimits(4, 1000).get(SERVER);
  assert.equal(rateLimit.countStartsLeft(limit, ALL_HEARD, 1000), 0);
  assert.equal(rateLimit.countStartsLeft(limit, ALL_HEARD, 1250), 1);
  assert.equal(rateLimit.countStartsLeft(limit, ALL_HEARD, 9000), 4);
});

test('most recently stated limit wins', () => {
  const limits = createLimits(4, 1000);
  rateLimit.applyReportedLimit(limits, { serverId: SERVER, perSecond: 9, statedMs: 900 }, 1100);
  assert.equal(limits.get(SERVER)?.perSecond, 4);
  rateLimit.applyReportedLimit(
    limits,
    { serverId: SERVER, perSecond: undefined, statedMs: 1050 },
    1100,
  );
  assert.equal(rateLimit.countStartsLeft(limits.get(SERVER), ALL_HEARD, 1100), Infinity);
});
