/** Counts in which the past fades: recent rates without a list of times. */

const MS_PER_SECOND = 1000;
/** Shorter times say nothing of a rate. */
const MIN_FILLED_MS = 200;

export type DecayingCount = {
  value: number;
  /** When `value` was last brought up to date, milliseconds. */
  updatedMs: number;
  /** When counting began; 0 before the first addition. */
  beganMs: number;
};

/** Creates a count of nothing. */
export function createDecayingCount(): DecayingCount {
  return { value: 0, updatedMs: 0, beganMs: 0 };
}

/** Gets the faded count; `tauMs` is the time in which it falls to 1/e. */
export function getCount(count: DecayingCount, now: number, tauMs: number): number {
  return count.value * Math.exp(-Math.max(now - count.updatedMs, 0) / tauMs);
}

/** Adds an amount. */
export function addCount(count: DecayingCount, amount: number, now: number, tauMs: number): void {
  count.value = getCount(count, now, tauMs) + amount;
  count.updatedMs = now;
  count.beganMs = count.beganMs || now;
}

/**
 * Computes the amount per second; 0 before the first addition.
 *
 * A young count has had little time to fill; dividing by the time that it has
 * had keeps the first rates from being far too low.
 */
export function computeRate(count: DecayingCount, now: number, tauMs: number): number {
  if (count.beganMs === 0) {
    return 0;
  }
  const filledMs = tauMs * (1 - Math.exp(-Math.max(now - count.beganMs, 1) / tauMs));
  return (getCount(count, now, tauMs) / Math.max(filledMs, MIN_FILLED_MS)) * MS_PER_SECOND;
}
