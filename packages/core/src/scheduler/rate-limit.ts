/**
 * Enforces the rate limits that backend servers announce.
 *
 * There is one token bucket for each backend server with a limit. Gateways repeat the limits they
 * know in every `ScheduleAsk`, so a scheduler that takes over a cell knows them before its first
 * grant. It begins with an empty bucket because its predecessor may just have granted a second's
 * worth of requests.
 */

/** The limit of one backend server as reported by a gateway. */
export type ReportedLimit = {
  serverId: string;
  /** Requests per second from all gateways together; undefined once the limit is lifted. */
  perSecond: number | undefined;
  /** When a response of the backend server stated the limit, milliseconds. */
  statedMs: number;
};

export type RateLimit = {
  perSecond: number | undefined;
  statedMs: number;
  /** Requests that could be started at `creditUpdatedMs`; may include a fraction. */
  credit: number;
  /** When `credit` was last computed, milliseconds. */
  creditUpdatedMs: number;
};

/** Limits by backend server id. */
export type RateLimits = Map<string, RateLimit>;

const MS_PER_SECOND = 1000;
/**
 * Minimum rate granted to a limited backend server, requests per second. The scheduler needs
 * responses from it to learn that the limit was lifted.
 */
const MIN_PER_SECOND = 0.2;
/** Size of the bucket as the time in which it fills at the limit, seconds. */
const BURST_S = 1;

/** Applies a limit reported by a gateway, unless a more recent statement is known. */
export function applyReportedLimit(
  limits: RateLimits,
  { serverId, perSecond, statedMs }: ReportedLimit,
  now: number,
): void {
  const known = limits.get(serverId);
  if (known === undefined) {
    limits.set(serverId, { perSecond, statedMs, credit: 0, creditUpdatedMs: now });
  } else if (statedMs > known.statedMs) {
    known.perSecond = perSecond;
    known.statedMs = statedMs;
  }
}

/** Reports whether a rate limit is in effect. */
export function isLimited(
  limit: RateLimit | undefined,
): limit is RateLimit & { perSecond: number } {
  return limit?.perSecond !== undefined;
}

/** Computes the requests that could be started now, including a fraction of one. */
function computeCredit(
  { credit, creditUpdatedMs }: RateLimit,
  perSecond: number,
  reachableShare: number,
  now: number,
): number {
  const rate = Math.max(perSecond * reachableShare, MIN_PER_SECOND);
  const most = Math.max(rate * BURST_S, 1);
  return Math.min(credit + (rate * (now - creditUpdatedMs)) / MS_PER_SECOND, most);
}

/**
 * Counts the requests that may be started at a backend server now.
 *
 * @param reachableShare share of the gateways that are reachable, 0 to 1. The others may be using a
 *   scheduler of their own, so each scheduler uses only its share of the limit.
 */
export function countStartsLeft(
  limit: RateLimit | undefined,
  reachableShare: number,
  now: number,
): number {
  return isLimited(limit)
    ? Math.floor(computeCredit(limit, limit.perSecond, reachableShare, now))
    : Infinity;
}

/** Deducts one granted request from the bucket of a backend server. */
export function noteStart(limit: RateLimit | undefined, reachableShare: number, now: number): void {
  if (isLimited(limit)) {
    limit.credit = computeCredit(limit, limit.perSecond, reachableShare, now) - 1;
    limit.creditUpdatedMs = now;
  }
}
