import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as hardLoad from './hard-load.js';

/** Callers of long prompts leave at about this time, milliseconds. */
const LEAVE_MS = 3200;

nodeTest.test('prompts of very unequal length before full engines', () => {
  // Engines read one prompt after the other, and all have their slots in use. Placed by count,
  // requests queue behind prompts of tens of thousands of tokens: a tenth or more are late, and
  // the longest waits of long prompts are several times their target. A prompt that a slow engine
  // reads for a second would also pause the streams of that engine.
  const results = [1, 2].map((seed) => hardLoad.runHardLoad(hardLoad.HARD_PATTERNS[0], seed));
  ['long', 'middle'].forEach((kind) => {
    const count = (field: 'asked' | 'inTime' | 'paused') =>
      hardLoad.countCalls(results, field, [kind]);
    const share = (count('inTime') - count('paused')) / count('asked');
    assert.ok(share > 0.9, `${kind}: ${share}`);
  });
  const tailMs = hardLoad.findTail(results, 'long');
  assert.ok(tailMs < LEAVE_MS, String(tailMs));
});
