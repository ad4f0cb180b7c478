/** Reads the clocks of the VM. */
import * as os from 'node:os';
import * as perfHooks from 'node:perf_hooks';
import type * as gateway from '@toucanproxy/core/gateway';

const MS_PER_SECOND = 1000;

/** Reads the steady clock, milliseconds. */
export function readSteadyMs(): number {
  return perfHooks.performance.now();
}

/** Reads all clocks at once. */
export type ReadClocks = () => gateway.ClockReading;

/** Difference of two clocks that shows that one of them was stopped or set, ms. */
const NOTICED_STEP_MS = 20;

/**
 * Creates a reader of all clocks.
 *
 * The uptime costs a file read. It is read anew only when the steady clock and
 * the time of day have moved apart, which a suspension of the VM causes.
 */
export function createClockReader(): ReadClocks {
  let wallAheadMs = NaN;
  let uptimeAheadMs = 0;
  return () => {
    const steadyMs = readSteadyMs();
    const wallMs = Date.now();
    if (!(Math.abs(wallMs - steadyMs - wallAheadMs) < NOTICED_STEP_MS)) {
      wallAheadMs = wallMs - steadyMs;
      uptimeAheadMs = os.uptime() * MS_PER_SECOND - steadyMs;
    }
    return { steadyMs, wallMs, uptimeMs: steadyMs + uptimeAheadMs };
  };
}
