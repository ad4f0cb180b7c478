import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as loopReplay from './loop-replay.js';

const { test } = nodeTest;

/** Replays a burst with a policy, and computes the share of a kind that was sent on in time. */
function computeInTime(
  createPolicy: loopReplay.LoopOptions['createPolicy'],
  burst: number,
  kind: string,
): number {
  const results = loopReplay.runLoopReplay({ createPolicy, burst, burstMs: 10_000, seed: 1 });
  const { inTime = 0, asked = 0 } = results.get(kind) ?? {};
  return inTime / asked;
}

test('in a burst the most urgent requests are sent on in time', () => {
  // Two and a half times the usual load for ten seconds. Without refusals nearly all requests of
  // the burst are late, whatever their urgency.
  const { createOpenPolicy, createSharePolicy } = loopReplay;
  const share = computeInTime(createSharePolicy, 2.5, 'long');
  assert.ok(share > 0.9, String(share));
  assert.ok(share > 1.5 * computeInTime(createOpenPolicy, 2.5, 'long'));
  assert.ok(share > computeInTime(createSharePolicy, 2.5, 'short'));
});

test('without a burst nothing is refused', () => {
  // Guards against refusals by a gateway that is loaded normally.
  const { createSharePolicy: createPolicy } = loopReplay;
  const results = loopReplay.runLoopReplay({ createPolicy, burst: 1, burstMs: 10_000, seed: 1 });
  [...results.values()].forEach(({ refused, asked, inTime }) => {
    assert.equal(refused, 0);
    assert.equal(inTime, asked);
  });
});
