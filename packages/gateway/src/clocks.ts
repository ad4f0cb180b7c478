/** Reads the clocks of the VM. */
import * as os from 'node:os';
import * as perfHooks from 'node:perf_hooks';
import type * as gateway from '@toucanproxy/core/gateway';

const MS_PER_SECOND = 1000;

/** Reads the steady clock, milliseconds. */
export function readSteadyMs(): number {
  return perfHooks.performance.now();
}

/** Function that reads all clocks at once. */
export type ReadClocks = () => gateway.ClockReading;

/**
 * Change of the offset between the wall clock and the steady clock, ms, at which we assume that one
 * of them was stopped or set.
 */
const CLOCK_STEP_MS = 20;

/**
 * Creates a function that reads all clocks.
 *
 * Reading the uptime costs a file read. It is therefore read again only if the offset between the
 * steady clock and the wall clock has changed, which happens when the VM was suspended.
 */
export function createClockReader(): ReadClocks {
  let wallOffsetMs = NaN;
  let uptimeOffsetMs = 0;
  return () => {
    const steadyMs = readSteadyMs();
    const wallMs = Date.now();
    if (!(Math.abs(wallMs - steadyMs - wallOffsetMs) < CLOCK_STEP_MS)) {
      wallOffsetMs = wallMs - steadyMs;
      uptimeOffsetMs = os.uptime() * MS_PER_SECOND - steadyMs;
    }
    return { steadyMs, wallMs, uptimeMs: steadyMs + uptimeOffsetMs };
  };
}
