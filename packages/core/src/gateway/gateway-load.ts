/**
 * Decides what a gateway does whose event loop stalls.
 *
 * A gateway with a fraction of a core reads requests late: at its start, on a burst of
 * configurations or of requests. Their callers may have left meanwhile, and those that have not
 * have less time left than their headers state.
 */

/**
 * Shortest stall that is taken into account, milliseconds. Shorter ones are part of normal
 * operation on a fraction of a core, and well below any target.
 */
const MIN_STALL_MS = 50;
/**
 * Callers abandon an idempotent request that is not read for this time, milliseconds, or for this
 * share of their time if that is shorter.
 */
const ABANDON_MS = 1000;
const ABANDON_SHARE = 1 / 3;

/** Computes how long data may have waited to be read, from the delay of the event loop. */
export function computeUnreadMs(delayMs: number): number {
  return delayMs < MIN_STALL_MS ? 0 : delayMs;
}

/**
 * Computes the time for which a request counts as having waited to be read, milliseconds, from the
 * longest time that is possible. The connection of its
 * caller is still open, so an idempotent request has not waited for longer than its caller would.
 */
export function computeWaitedMs(
  unreadMs: number,
  timeoutMs: number,
  isIdempotent: boolean,
): number {
  return isIdempotent ? Math.min(unreadMs, ABANDON_MS, timeoutMs * ABANDON_SHARE) : unreadMs;
}
