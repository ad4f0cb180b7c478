import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as rateLimit from './rate-limit.js';

const { test } = nodeTest;
const SERVER = 'a';
const ALL_HEARD = 1;

/** Creates limits in which one has been told of just now. */
function createLimits(perSecond: number, now: number): rateLimit.RateLimits {
  const limits: rateLimit.RateLimits = new Map();
  rateLimit.applyTold(limits, { serverId: SERVER, perSecond, toldMs: now }, now);
  return limits;
}

test('scheduler that takes over begins with an empty bucket', () => {
  // Guards against two schedulers in turn that each give out a second's worth at once.
  const limit = createLimits(4, 1000).get(SERVER);
  assert.equal(rateLimit.countStartsLeft(limit, ALL_HEARD, 1000), 0);
  assert.equal(rateLimit.countStartsLeft(limit, ALL_HEARD, 1250), 1);
  assert.equal(rateLimit.countStartsLeft(limit, ALL_HEARD, 9000), 4);
});

test('limit told later goes first', () => {
  const limits = createLimits(4, 1000);
  rateLimit.applyTold(limits, { serverId: SERVER, perSecond: 9, toldMs: 900 }, 1100);
  assert.equal(limits.get(SERVER)?.perSecond, 4);
  rateLimit.applyTold(limits, { serverId: SERVER, perSecond: undefined, toldMs: 1050 }, 1100);
  assert.equal(rateLimit.countStartsLeft(limits.get(SERVER), ALL_HEARD, 1100), Infinity);
});
