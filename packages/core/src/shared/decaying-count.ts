/** Exponentially decaying counts: they measure recent amounts without storing a list of times. */

export type DecayingCount = {
  value: number;
  /** When `value` was last updated, milliseconds. */
  updatedMs: number;
};

/** Creates a count of zero. */
export function createDecayingCount(): DecayingCount {
  return { value: 0, updatedMs: 0 };
}

/** Returns the decayed count; `tauMs` is the time in which it decays to 1/e. */
export function getCount(count: DecayingCount, now: number, tauMs: number): number {
  return count.value * Math.exp(-Math.max(now - count.updatedMs, 0) / tauMs);
}

/** Adds an amount to the decayed count. */
export function addCount(count: DecayingCount, amount: number, now: number, tauMs: number): void {
  count.value = getCount(count, now, tauMs) + amount;
  count.updatedMs = now;
}
