/**
 * Limits the retries of requests to a service.
 *
 * When engines fail under load, retries add load and cause more failures. The budget is a token
 * bucket: each first attempt adds a part of a retry, each retry takes a whole one, and the bucket
 * holds a limited number. In any span of time, retries therefore stay below that number plus a
 * fixed share of the first attempts within the span. A process that starts with an empty bucket
 * keeps this bound together with its predecessor, whatever that one has spent.
 */

export type RetryBudget = {
  /** Retries that may be made now. */
  credit: number;
  /** Retries that were taken and have not been sent yet; they occupy room in the budget. */
  reserved: number;
};

/** Size of a retry budget. */
export type RetryLimit = {
  /** Retries that each first attempt adds. */
  perAttempt: number;
  /** Maximum number of retries that the budget holds. */
  burst: number;
};

/** Tolerance for sums of fractions of a retry. */
const ROUNDING = 1e-9;

const BACKOFF_BASE_MS = 50;
const BACKOFF_CAP_MS = 2000;

/** Creates a budget that holds a number of retries. */
export function createRetryBudget(credit = 0): RetryBudget {
  return { credit, reserved: 0 };
}

/** Records the first attempt of a request. */
export function noteFirstAttempt(budget: RetryBudget, { perAttempt, burst }: RetryLimit): void {
  const room = Math.max(burst - budget.reserved, 0);
  budget.credit = Math.min(budget.credit, room) + perAttempt;
}

/** Takes one retry from the budget; returns false if the budget is exhausted. */
export function takeRetry(budget: RetryBudget): boolean {
  if (budget.credit < 1 - ROUNDING) {
    return false;
  }
  budget.credit -= 1;
  return true;
}

/** Takes one retry that will be sent later; returns false if the budget is exhausted. */
export function reserveRetry(budget: RetryBudget): boolean {
  const isTaken = takeRetry(budget);
  budget.reserved += isTaken ? 1 : 0;
  return isTaken;
}

/** Records that a reserved retry was sent. */
export function noteRetrySent(budget: RetryBudget): void {
  budget.reserved -= 1;
}

/** Returns a reserved retry that was not sent. */
export function releaseRetry(budget: RetryBudget): void {
  budget.reserved -= 1;
  budget.credit += 1;
}

/** Draws the backoff before a retry, milliseconds; its upper bound doubles with each retry. */
export function drawBackoff(retries: number, drawRandom: () => number): number {
  return drawRandom() * Math.min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2 ** retries);
}
