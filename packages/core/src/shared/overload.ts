/**
 * Tracks how long a service has been refusing requests, and computes when callers should retry.
 *
 * In a burst of several seconds, most refused requests would be refused again if they were retried
 * after half a second. The length of a burst is not known in advance, so an overload is expected
 * to continue for as long as it has already lasted. Retries are spread so that they do not cause
 * another burst.
 */

export type Overload = {
  /** When the latest overload began, milliseconds. */
  beganMs: number;
  /** When a request was last refused, milliseconds. */
  lastRefusalMs: number;
};

/** An overload ends when no request was refused for this time, milliseconds. */
const OVERLOAD_END_MS = 2000;
/**
 * Shortest retry delay before the random spread, milliseconds. A caller that retries within the
 * first second of a burst is refused again, and most callers retry only once.
 */
const MIN_RETRY_AFTER_MS = 1200;
/** Longest delay before the spread, ms: a third of the typical 15 s deadline of long requests. */
const MAX_RETRY_AFTER_MS = 5000;
/** Retries are spread from one to two times the expected time. */
const JITTER_RANGE = 1;

/** Creates the record of a service that has refused no request. */
export function createOverload(): Overload {
  return { beganMs: 0, lastRefusalMs: -Infinity };
}

/** Records that a request is refused. */
export function noteRefusal(overload: Overload, now: number): void {
  if (now - overload.lastRefusalMs > OVERLOAD_END_MS) {
    overload.beganMs = now;
  }
  overload.lastRefusalMs = now;
}

/**
 * Draws the delay after which a refused caller should retry, milliseconds.
 *
 * @param drainMs expected time until the present queue is empty
 */
export function drawRetryAfter(
  overload: Overload,
  drainMs: number,
  drawRandom: () => number,
  now: number,
): number {
  const elapsedMs = Math.max(now - overload.beganMs, 0);
  const expectedMs = Math.max(elapsedMs, drainMs, MIN_RETRY_AFTER_MS);
  return Math.min(expectedMs, MAX_RETRY_AFTER_MS) * (1 + JITTER_RANGE * drawRandom());
}
