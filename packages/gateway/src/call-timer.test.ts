import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as callTimer from './call-timer.js';

const { test } = nodeTest;

/** Starts a timer that is stopped when the test ends; returns it and whether it has expired. */
function startTimer(context: nodeTest.TestContext, limits: callTimer.CallLimits) {
  let hasExpired = false;
  const timer = callTimer.startCallTimer(limits, () => {
    hasExpired = true;
  });
  context.after(() => timer.stop());
  return { timer, hasExpired: () => hasExpired };
}

test('response that makes progress is not idle', async (context) => {
  const { timer, hasExpired } = startTimer(context, { idleMs: 200, totalMs: 60_000 });
  for (let part = 0; part < 10; part += 1) {
    timer.noteProgress();
    await timers.setTimeout(50);
  }
  assert.equal(hasExpired(), false);
  await timers.setTimeout(300);
  assert.equal(hasExpired(), true);
});

test('response that never ends exceeds the total time', async (context) => {
  const { timer, hasExpired } = startTimer(context, { idleMs: 60_000, totalMs: 100 });
  for (let part = 0; part < 10; part += 1) {
    timer.noteProgress();
    await timers.setTimeout(50);
  }
  assert.equal(hasExpired(), true);
});

test('response that was not read because of a stall', async (context) => {
  // Guards against a time-out of a call whose response lies unread in the socket.
  const { timer, hasExpired } = startTimer(context, { idleMs: 50, totalMs: 60_000 });
  fs.stat('.', () => timer.noteProgress());
  const untilMs = performance.now() + 100;
  while (performance.now() < untilMs) {
    // Keeps the event loop busy.
  }
  await timers.setTimeout(20);
  assert.equal(hasExpired(), false);
});
