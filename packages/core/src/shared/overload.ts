/**
 * How long a service has been turning requests away, and when to return.
 *
 * Load pattern: bursts of seconds in which most of what is turned away would be
 * turned away again after half a second. Nothing tells how long a burst lasts; an
 * overload that has lasted for some time is expected to last as long again. The
 * returns are spread over that time, so that they do not make a burst themselves.
 */

export type Overload = {
  /** When the present overload began, and when a request was last turned away, ms. */
  beganMs: number;
  lastMs: number;
};

/** Without a refusal for this time an overload is over, milliseconds. */
const OVER_MS = 2000;
/**
 * Shortest advice, milliseconds. A caller that returns within the first second of a
 * burst is turned away again, and most callers return once.
 */
const MIN_RETRY_AFTER_MS = 1200;
/** Callers of long requests have some 15 s; a third of that may pass before they return. */
const MAX_RETRY_AFTER_MS = 5000;
/** Returns are spread from once to twice the expected time. */
const SPREAD = 1;

/** Creates the record of a service that has turned nothing away. */
export function createOverload(): Overload {
  return { beganMs: 0, lastMs: -Infinity };
}

/** Notes that a request is turned away. */
export function noteRefusal(overload: Overload, now: number): void {
  if (now - overload.lastMs > OVER_MS) {
    overload.beganMs = now;
  }
  overload.lastMs = now;
}

/**
 * Draws when a caller that is turned away should return, milliseconds.
 *
 * @param drainMs time that what waits now needs
 */
export function drawRetryAfter(
  overload: Overload,
  drainMs: number,
  drawRandom: () => number,
  now: number,
): number {
  const lastedMs = Math.max(now - overload.beganMs, 0);
  const expectedMs = Math.max(lastedMs, drainMs, MIN_RETRY_AFTER_MS);
  return Math.min(expectedMs, MAX_RETRY_AFTER_MS) * (1 + SPREAD * drawRandom());
}
