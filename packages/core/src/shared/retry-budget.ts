/**
 * Limits the retries of requests to a service.
 *
 * When engines fail under load, retries add load and cause more failures. A budget in percent of
 * the first attempts keeps a burst from amplifying itself.
 */
import * as decayingCount from './decaying-count.js';

export type RetryBudget = {
  firstAttempts: decayingCount.DecayingCount;
  retries: decayingCount.DecayingCount;
};

/** Time constant over which first attempts and retries are counted, milliseconds. */
const BUDGET_TAU_MS = 10_000;
/** Retries that are always allowed within that time, also at low load. */
const MIN_RETRIES = 3;
const PERCENT = 100;

const BACKOFF_BASE_MS = 50;
const BACKOFF_CAP_MS = 2000;

/** Creates an unused budget. */
export function createRetryBudget(): RetryBudget {
  return {
    firstAttempts: decayingCount.createDecayingCount(),
    retries: decayingCount.createDecayingCount(),
  };
}

/** Records the first attempt of a request. */
export function noteFirstAttempt(budget: RetryBudget, now: number): void {
  decayingCount.addCount(budget.firstAttempts, 1, now, BUDGET_TAU_MS);
}

/**
 * Takes one retry from the budget; returns false if it is exhausted.
 *
 * @param floor retries that are always allowed, also at low load
 */
export function takeRetry(
  budget: RetryBudget,
  percent: number,
  now: number,
  floor = MIN_RETRIES,
): boolean {
  const first = decayingCount.getCount(budget.firstAttempts, now, BUDGET_TAU_MS);
  const made = decayingCount.getCount(budget.retries, now, BUDGET_TAU_MS);
  if (made + 1 > floor + (first * percent) / PERCENT) {
    return false;
  }
  decayingCount.addCount(budget.retries, 1, now, BUDGET_TAU_MS);
  return true;
}

/** Draws the backoff before a retry, milliseconds; its upper bound doubles with each retry. */
export function drawBackoff(retries: number, drawRandom: () => number): number {
  return drawRandom() * Math.min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2 ** retries);
}
