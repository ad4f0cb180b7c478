import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as hardLoad from './hard-load.js';

const SEEDS = [1, 2, 3, 4];
const [CALM] = hardLoad.HARD_PATTERNS;
const [, MIDDLE] = hardLoad.HARD_KINDS;

nodeTest.test('medium requests do not queue behind long prompts', () => {
  // Engines read one prompt after the other, and their slots are nearly all in use. Guards against
  // placement by count: medium requests go to engines that read a prompt of tens of thousands of
  // tokens, while others would answer at once, and one in a hundred waits longer than its target.
  const told = SEEDS.map((seed) => hardLoad.runHardLoad(CALM, seed));
  const untold = SEEDS.map((seed) => hardLoad.runHardLoad(CALM, seed, { hidesWork: true }));
  const tailMs = hardLoad.findTail(told, MIDDLE.name);
  const untoldMs = hardLoad.findTail(untold, MIDDLE.name);
  assert.ok(tailMs <= MIDDLE.targetMs, String(tailMs));
  assert.ok(tailMs < untoldMs, `${tailMs} and ${untoldMs}`);
  // Streams are not paused either by prompts that a slow engine reads for long.
  const count = (field: 'asked' | 'inTime' | 'paused') =>
    hardLoad.countCalls(told, field, [MIDDLE.name]);
  const share = (count('inTime') - count('paused')) / count('asked');
  assert.ok(share > 0.9, String(share));
});
