/** Pauses processes of the soak test as a quota of their processor does. */
import type * as childProcess from 'node:child_process';
import * as timers from 'node:timers/promises';

/** A process is paused for half of each period, milliseconds. */
export const PERIOD_MS = 100;
const PAUSED_MS = 50;

/** Pauses a process in each period for a time, or until it exits; the first pause comes after a time. */
export async function applyQuota(
  child: childProcess.ChildProcess,
  firstMs: number,
  forMs = Infinity,
): Promise<void> {
  let nextMs = performance.now() + firstMs;
  const endMs = nextMs + forMs;
  while (child.exitCode === null && child.signalCode === null && nextMs < endMs) {
    await timers.setTimeout(Math.max(nextMs - performance.now(), 0));
    child.kill('SIGSTOP');
    await timers.setTimeout(PAUSED_MS);
    child.kill('SIGCONT');
    nextMs += PERIOD_MS;
  }
}
