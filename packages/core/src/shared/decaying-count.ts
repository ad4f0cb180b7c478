/** Counts in which the past fades: recent amounts without a list of times. */

export type DecayingCount = {
  value: number;
  /** When `value` was last brought up to date, milliseconds. */
  updatedMs: number;
};

/** Creates a count of nothing. */
export function createDecayingCount(): DecayingCount {
  return { value: 0, updatedMs: 0 };
}

/** Gets the faded count; `tauMs` is the time in which it falls to 1/e. */
export function getCount(count: DecayingCount, now: number, tauMs: number): number {
  return count.value * Math.exp(-Math.max(now - count.updatedMs, 0) / tauMs);
}

/** Adds an amount. */
export function addCount(count: DecayingCount, amount: number, now: number, tauMs: number): void {
  count.value = getCount(count, now, tauMs) + amount;
  count.updatedMs = now;
}
