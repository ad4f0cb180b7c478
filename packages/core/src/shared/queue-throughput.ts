/**
 * How fast a service takes requests off this entry, as measured.
 *
 * Only time in which a request waited is counted: few starts in a quiet time
 * say nothing of how fast a queue would drain.
 */

export type QueueThroughput = {
  /** Starts so far. */
  starts: number;
  /** Recent starts, their tokens and the time they took; older ones fade. */
  requests: number;
  tokens: number;
  busyMs: number;
  lastStartMs: number;
};

/** What is kept of the past with each start. */
const KEPT_SHARE = 0.95;
/** Advice where nothing waits or nothing has been measured, milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000;
const MIN_RETRY_AFTER_MS = 500;
const MAX_RETRY_AFTER_MS = 60_000;
/** Spread of the advice, so that callers do not all come back at once. */
const MIN_SPREAD = 0.8;
const SPREAD = 0.4;
/** Starts before the rate is trusted. */
const MIN_STARTS = 5;

/** Creates a rate with nothing measured. */
export function createQueueThroughput(): QueueThroughput {
  return { starts: 0, requests: 0, tokens: 0, busyMs: 0, lastStartMs: 0 };
}

/** Notes that a backend server started a request that had waited since `arrivedMs`. */
export function noteStart(
  rate: QueueThroughput,
  tokens: number,
  arrivedMs: number,
  now: number,
): void {
  rate.starts += 1;
  rate.requests = KEPT_SHARE * rate.requests + 1;
  rate.tokens = KEPT_SHARE * rate.tokens + tokens;
  rate.busyMs = KEPT_SHARE * rate.busyMs + now - Math.max(rate.lastStartMs, arrivedMs);
  rate.lastStartMs = now;
}

/** Estimates the wait behind some tokens, milliseconds; 0 where too little is known. */
export function estimateWaitMs(rate: QueueThroughput, tokensAhead: number): number {
  return rate.starts < MIN_STARTS ? 0 : (tokensAhead / rate.tokens) * rate.busyMs;
}

/** Advises when to come back, milliseconds, from the requests that wait ahead. */
export function drawRetryAfter(
  rate: QueueThroughput,
  requestsAhead: number,
  drawRandom: () => number,
): number {
  const waitMs =
    rate.starts < MIN_STARTS || requestsAhead === 0
      ? DEFAULT_RETRY_AFTER_MS
      : (requestsAhead / rate.requests) * rate.busyMs;
  const spread = waitMs * (MIN_SPREAD + SPREAD * drawRandom());
  return Math.round(Math.min(Math.max(spread, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS));
}
