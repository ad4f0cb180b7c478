/** How fast a service takes requests off this entry, as measured. */
import * as decayingCount from '../shared/decaying-count.js';

export type DrainRate = {
  requests: decayingCount.DecayingCount;
  tokens: decayingCount.DecayingCount;
};

const RATE_TAU_MS = 10_000;
const MS_PER_SECOND = 1000;
/** Advice where nothing has been measured, milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000;
const MIN_RETRY_AFTER_MS = 500;
const MAX_RETRY_AFTER_MS = 60_000;
/** Spread of the advice, so that callers do not all come back at once. */
const MIN_SPREAD = 0.8;
const SPREAD = 0.4;
/** Starts before the rate is trusted to refuse work. */
const MIN_STARTS = 5;

/** Creates a rate with nothing measured. */
export function createDrainRate(): DrainRate {
  return {
    requests: decayingCount.createDecayingCount(),
    tokens: decayingCount.createDecayingCount(),
  };
}

/** Notes that a backend server started a request. */
export function noteStart(rate: DrainRate, tokens: number, now: number): void {
  decayingCount.addCount(rate.requests, 1, now, RATE_TAU_MS);
  decayingCount.addCount(rate.tokens, tokens, now, RATE_TAU_MS);
}

/** Estimates the wait behind some tokens, milliseconds; 0 where too little is known. */
export function estimateWaitMs(rate: DrainRate, tokensAhead: number, now: number): number {
  if (decayingCount.getCount(rate.requests, now, RATE_TAU_MS) < MIN_STARTS) {
    return 0;
  }
  const perSecond = decayingCount.computeRate(rate.tokens, now, RATE_TAU_MS);
  return perSecond > 0 ? (tokensAhead / perSecond) * MS_PER_SECOND : 0;
}

/** Advises when to come back, milliseconds, from the requests ahead. */
export function drawRetryAfter(
  rate: DrainRate,
  requestsAhead: number,
  now: number,
  drawRandom: () => number,
): number {
  const perSecond = decayingCount.computeRate(rate.requests, now, RATE_TAU_MS);
  const waitMs =
    perSecond > 0 ? ((requestsAhead + 1) / perSecond) * MS_PER_SECOND : DEFAULT_RETRY_AFTER_MS;
  const spread = waitMs * (MIN_SPREAD + SPREAD * drawRandom());
  return Math.round(Math.min(Math.max(spread, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS));
}
