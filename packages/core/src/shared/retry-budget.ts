/**
 * Bounds the repeats of an entry for one service.
 *
 * When engines fail under load, repeats add load and make more of them fail. A
 * budget in percent of first attempts keeps a burst from multiplying itself.
 */
import * as decayingCount from './decaying-count.js';

export type RetryBudget = {
  firstAttempts: decayingCount.DecayingCount;
  repeats: decayingCount.DecayingCount;
};

/** Time over which attempts and repeats are compared, milliseconds. */
const BUDGET_TAU_MS = 10_000;
/** Repeats that a quiet service may always make in that time. */
const FLOOR_REPEATS = 3;
const PERCENT = 100;

const BACKOFF_BASE_MS = 50;
const BACKOFF_CAP_MS = 2000;

/** Creates an unused budget. */
export function createRetryBudget(): RetryBudget {
  return {
    firstAttempts: decayingCount.createDecayingCount(),
    repeats: decayingCount.createDecayingCount(),
  };
}

/** Notes a request that is placed for the first time. */
export function noteFirstAttempt(budget: RetryBudget, now: number): void {
  decayingCount.addCount(budget.firstAttempts, 1, now, BUDGET_TAU_MS);
}

/**
 * Takes one repeat from the budget; false where it is spent.
 *
 * @param floor repeats that a quiet service may always make
 */
export function takeRetry(
  budget: RetryBudget,
  percent: number,
  now: number,
  floor = FLOOR_REPEATS,
): boolean {
  const first = decayingCount.getCount(budget.firstAttempts, now, BUDGET_TAU_MS);
  const made = decayingCount.getCount(budget.repeats, now, BUDGET_TAU_MS);
  if (made + 1 > floor + (first * percent) / PERCENT) {
    return false;
  }
  decayingCount.addCount(budget.repeats, 1, now, BUDGET_TAU_MS);
  return true;
}

/** Draws the pause before a repeat, milliseconds; the bound doubles each time. */
export function drawBackoff(repeats: number, drawRandom: () => number): number {
  return drawRandom() * Math.min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2 ** repeats);
}
