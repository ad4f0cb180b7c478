/** Records when the event loop of the soak test itself stands still. */
import type * as soakRecords from './soak-records.js';

const TICK_MS = 5;
/** Delay of a tick from which it counts as a stall, milliseconds. */
const MIN_STALL_MS = 2;

/** Records stalls until the returned function is called. */
export function watchStalls(records: soakRecords.SoakRecords, readNow: () => number): () => void {
  let dueMs = readNow() + TICK_MS;
  const timer = setInterval(() => {
    const now = readNow();
    if (now > dueMs + MIN_STALL_MS) {
      records.stalls.push({ fromMs: dueMs - TICK_MS, untilMs: now });
    }
    dueMs = now + TICK_MS;
  }, TICK_MS);
  timer.unref();
  return () => clearInterval(timer);
}

/** Computes the part of a period in which the event loop ran, milliseconds. */
export function computeAwakeMs(
  { stalls }: soakRecords.SoakRecords,
  { fromMs, untilMs }: { fromMs: number; untilMs: number },
): number {
  return stalls.reduce((sum, stall) => {
    const stalledMs = Math.min(stall.untilMs, untilMs) - Math.max(stall.fromMs, fromMs);
    return sum - Math.max(stalledMs, 0);
  }, untilMs - fromMs);
}
