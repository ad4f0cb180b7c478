/**
 * How many requests a backend server that names a rate limit may be started with now.
 *
 * A token bucket for each such backend server. Every gateway repeats what it was told with
 * each ask, so a scheduler that takes the cell over knows the limit before its first grant.
 * It begins with an empty bucket: the one before may have given a second's worth just now.
 */

/** What gateways tell of one backend server's limit. */
export type ToldLimit = {
  serverId: string;
  /** Requests a second from all gateways together; undefined once it is lifted. */
  perSecond: number | undefined;
  /** When an answer said so, milliseconds. */
  toldMs: number;
};

export type RateLimit = {
  perSecond: number | undefined;
  toldMs: number;
  /** Requests that could be started at a time, milliseconds. */
  credit: number;
  countedMs: number;
};

/** By the id of the backend server. */
export type RateLimits = Map<string, RateLimit>;

const MS_PER_SECOND = 1000;
/**
 * Requests a second that a limited backend server is given at least. Only its answers tell
 * that the limit is lifted.
 */
const LEAST_PER_SECOND = 0.2;
/** What may be started at once after a pause, as seconds of the limit. */
const BURST_S = 1;

/** Takes in what a gateway tells; what another one was told later goes first. */
export function applyTold(
  limits: RateLimits,
  { serverId, perSecond, toldMs }: ToldLimit,
  now: number,
): void {
  const known = limits.get(serverId);
  if (known === undefined) {
    limits.set(serverId, { perSecond, toldMs, credit: 0, countedMs: now });
  } else if (toldMs > known.toldMs) {
    known.perSecond = perSecond;
    known.toldMs = toldMs;
  }
}

/** Tells whether a backend server may only be given requests at a rate. */
export function isLimited(
  limit: RateLimit | undefined,
): limit is RateLimit & { perSecond: number } {
  return limit?.perSecond !== undefined;
}

/** Computes the requests that could be started now, parts of one included. */
function computeCredit(
  { credit, countedMs }: RateLimit,
  perSecond: number,
  heardShare: number,
  now: number,
): number {
  const rate = Math.max(perSecond * heardShare, LEAST_PER_SECOND);
  const most = Math.max(rate * BURST_S, 1);
  return Math.min(credit + (rate * (now - countedMs)) / MS_PER_SECOND, most);
}

/**
 * Counts the requests that a backend server may be started with now.
 *
 * @param heardShare part of the gateways that are heard, 0 to 1: where the others ask a
 *   scheduler of their own, each uses its part of the limit
 */
export function countStartsLeft(
  limit: RateLimit | undefined,
  heardShare: number,
  now: number,
): number {
  return isLimited(limit)
    ? Math.floor(computeCredit(limit, limit.perSecond, heardShare, now))
    : Infinity;
}

/** Notes that a request is given to a backend server. */
export function noteStart(limit: RateLimit | undefined, heardShare: number, now: number): void {
  if (isLimited(limit)) {
    limit.credit = computeCredit(limit, limit.perSecond, heardShare, now) - 1;
    limit.countedMs = now;
  }
}
