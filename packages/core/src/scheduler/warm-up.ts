/**
 * Limits the rate at which requests are started at a backend server that warms up.
 *
 * A backend server that has just started can handle a few requests per second and crashes if it
 * gets many more. This matters when a failure domain returns, or half of a service is replaced,
 * while requests wait: a dozen backend servers are idle, their speed is unknown, and all waiting
 * requests would go to them at once.
 *
 * - During warm-up the requests are spaced evenly. A scheduler that takes over the cell continues
 *   at the same rate, so the two do not cause two bursts in a row.
 * - Two schedulers of one cell may grant slots at the same time, each to the gateways that ask
 *   it. Each therefore uses half of the limit.
 * - Gateways that are unreachable may be using a scheduler of their own, so a scheduler uses no
 *   more than the share of the limit that corresponds to the reachable gateways.
 * - A backend server may be warming up before its store entry has been read, and then looks warm
 *   and idle. The requests to a server that is considered warm therefore at most double from one
 *   time window to the next, starting from the limit. With a fixed limit instead, a service with
 *   short requests could not reach its full throughput.
 */
import * as places from './places.js';

/** What a backend server can handle during warm-up, from all gateways together. */
export type WarmUpLimit = {
  /** Requests per second. */
  perSecond: number;
  /** Maximum number of requests in any one second; it may crash above this. */
  maxInOneSecond: number;
  /** Duration of the warm-up, milliseconds. */
  durationMs: number;
};

/** Times of recent grants by backend server id, milliseconds, in ascending order. */
export type RecentStarts = Map<string, number[]>;

/** What determines whether another request may be started at a backend server. */
export type WarmUpState = {
  isWarming: boolean;
  /** Share of the gateways that this scheduler can reach, 0 to 1. */
  reachableShare: number;
};

const MS_PER_SECOND = 1000;
/**
 * Grants made within this time may all be used within one second, milliseconds, because a gateway
 * that stalls may use a grant up to `GRANT_USE_MS` after it was made.
 */
const WINDOW_MS = MS_PER_SECOND + places.GRANT_USE_MS;
/** Number of schedulers of one cell that may grant slots at the same time. */
const MAX_SCHEDULERS = 2;

/** Maximum growth of the number of requests to a warm backend server between two windows. */
const MAX_GROWTH_FACTOR = 2;

/** Computes the maximum number of requests per window during warm-up. */
function computeWarmingLimit({ maxInOneSecond }: WarmUpLimit, reachableShare: number): number {
  return Math.floor(maxInOneSecond * Math.min(1 / MAX_SCHEDULERS, reachableShare));
}

/** Computes the maximum number of requests per window for a server that is considered warm. */
function computeWarmLimit({ maxInOneSecond }: WarmUpLimit, startsBefore: number): number {
  return Math.max(Math.floor(maxInOneSecond), MAX_GROWTH_FACTOR * startsBefore);
}

/** Returns the starts of the present and the previous window. */
function filterRecentStarts(starts: readonly number[], now: number): number[] {
  return starts.filter((startMs) => now - startMs < 2 * WINDOW_MS);
}

/** Records that a request was granted a slot at a backend server. */
export function noteStart(starts: RecentStarts, serverId: string, now: number): void {
  starts.set(serverId, [...filterRecentStarts(starts.get(serverId) ?? [], now), now]);
}

/** Removes the starts of all backend servers that are too old to matter. */
export function expireStarts(starts: RecentStarts, now: number): void {
  starts.forEach((times, serverId) => {
    const kept = filterRecentStarts(times, now);
    if (kept.length === 0) {
      starts.delete(serverId);
    } else if (kept.length < times.length) {
      starts.set(serverId, kept);
    }
  });
}

/**
 * Counts the requests that may be started at a backend server now.
 *
 * @param starts times of its recent grants, milliseconds, in ascending order
 */
export function countStartsLeft(
  starts: readonly number[],
  limit: WarmUpLimit | undefined,
  state: WarmUpState,
  now: number,
): number {
  if (limit === undefined) {
    return Infinity;
  }
  const recent = starts.filter((startMs) => now - startMs < WINDOW_MS).length;
  if (!state.isWarming) {
    const before = filterRecentStarts(starts, now).length - recent;
    return Math.max(computeWarmLimit(limit, before) - recent, 0);
  }
  const most = computeWarmingLimit(limit, state.reachableShare);
  const spacingMs = Math.max(WINDOW_MS / most, MS_PER_SECOND / limit.perSecond);
  const lastMs = starts.at(-1) ?? -Infinity;
  return recent < most && now - lastMs >= spacingMs ? 1 : 0;
}
