/** Pauses processes of the soak test as a quota of their processor does. */
import type * as childProcess from 'node:child_process';
import * as timers from 'node:timers/promises';

/** A process is paused for half of each period, milliseconds. */
export const PERIOD_MS = 100;
const PAUSED_MS = 50;

/** Pauses a process in each period until it exits; the first pause begins after a time. */
export async function applyQuota(child: childProcess.ChildProcess, firstMs: number): Promise<void> {
  let nextMs = performance.now() + firstMs;
  while (child.exitCode === null && child.signalCode === null) {
    await timers.setTimeout(Math.max(nextMs - performance.now(), 0));
    child.kill('SIGSTOP');
    await timers.setTimeout(PAUSED_MS);
    child.kill('SIGCONT');
    nextMs += PERIOD_MS;
  }
}
