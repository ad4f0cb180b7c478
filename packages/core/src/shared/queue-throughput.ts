/**
 * Measures the throughput of a queue: the requests and tokens that leave it.
 *
 * Only time in which a request waited is counted. At low load there are few starts, but they do not
 * show how fast a backlog would be processed.
 */

export type QueueThroughput = {
  /** Number of starts so far, not decayed. */
  starts: number;
  /** Recent starts; older ones count less. */
  requests: number;
  /** Tokens of these requests. */
  tokens: number;
  /** Time before these starts in which a request waited, milliseconds. */
  busyMs: number;
  lastStartMs: number;
};

/** Decay of the measured values with each start. */
const DECAY_FACTOR = 0.95;
/** Retry delay if nothing waits or too little was measured, milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000;
const MIN_RETRY_AFTER_MS = 500;
const MAX_RETRY_AFTER_MS = 60_000;
/** Lower bound and width of the random factor that keeps callers from retrying all at once. */
const MIN_JITTER = 0.8;
const JITTER_RANGE = 0.4;
/** Minimum number of starts before the measured throughput is used. */
const MIN_STARTS = 5;

/** Creates a record without measurements. */
export function createQueueThroughput(): QueueThroughput {
  return { starts: 0, requests: 0, tokens: 0, busyMs: 0, lastStartMs: 0 };
}

/** Records the start of a request that had waited since `arrivedMs`. */
export function noteStart(
  throughput: QueueThroughput,
  tokens: number,
  arrivedMs: number,
  now: number,
): void {
  throughput.starts += 1;
  throughput.requests = DECAY_FACTOR * throughput.requests + 1;
  throughput.tokens = DECAY_FACTOR * throughput.tokens + tokens;
  throughput.busyMs =
    DECAY_FACTOR * throughput.busyMs + now - Math.max(throughput.lastStartMs, arrivedMs);
  throughput.lastStartMs = now;
}

/** Estimates the wait behind the given tokens, milliseconds; 0 if too little was measured. */
export function estimateWaitMs(throughput: QueueThroughput, tokensAhead: number): number {
  return throughput.starts < MIN_STARTS ? 0 : (tokensAhead / throughput.tokens) * throughput.busyMs;
}

/** Draws the delay after which a caller should retry, based on the requests ahead, ms. */
export function drawRetryAfter(
  throughput: QueueThroughput,
  requestsAhead: number,
  drawRandom: () => number,
): number {
  const waitMs =
    throughput.starts < MIN_STARTS || requestsAhead === 0
      ? DEFAULT_RETRY_AFTER_MS
      : (requestsAhead / throughput.requests) * throughput.busyMs;
  const spread = waitMs * (MIN_JITTER + JITTER_RANGE * drawRandom());
  return Math.round(Math.min(Math.max(spread, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS));
}
