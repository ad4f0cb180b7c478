/**
 * How many requests a backend server may be started with now.
 *
 * One that has just started bears a few requests a second and crashes when it gets many
 * more. Load patterns: a failure domain returns, or half a service is replaced, while
 * calls wait. A dozen backend servers are empty then, nothing is known of their pace, and
 * all that waits would go to them at once.
 *
 * - While it warms up its requests are spaced evenly. A scheduler that takes the cell over
 *   goes on at the same rate, so that two in turn do not add up to two bursts.
 * - Two schedulers of one cell may give out places at the same time, each to those who
 *   ask it. Each keeps to half of the bound.
 * - Where part of the gateways is not heard, they may be asking a scheduler of their own:
 *   the bound is divided by the part that is heard.
 * - One that warms up before anybody has heard of it looks warm and empty; its entry is
 *   late. So the requests of one that is taken as warm no more than double from one second
 *   to the next, from the bound on. Bounded outright, a service of short requests could
 *   not be used to the full.
 */
import * as places from './places.js';

/** What a backend server that warms up bears, from all gateways together. */
export type WarmUpLimit = {
  /** Requests a second. */
  perSecond: number;
  /** Requests in any one second above which it may crash. */
  maxInOneSecond: number;
  /** How long it warms up, milliseconds. */
  durationMs: number;
};

/** When requests were given to backend servers lately, by id, milliseconds, in order. */
export type RecentStarts = Map<string, number[]>;

/** What is known of a backend server when the next request is to be started there. */
export type WarmUpView = {
  isWarming: boolean;
  /** Part of the gateways that this scheduler hears, 0 to 1. */
  heardShare: number;
};

const MS_PER_SECOND = 1000;
/**
 * Grants of this time may all be used in one second, milliseconds: a gateway that stands
 * still uses a grant up to `GRANT_USE_MS` after it was given.
 */
const WINDOW_MS = MS_PER_SECOND + places.GRANT_USE_MS;
/** Schedulers of one cell that may give out places at the same time. */
const SCHEDULERS = 2;

/** What a backend server that is warm may get, as a multiple of what it got just before. */
const GROWTH = 2;

/** Computes how many requests may be started within the window while it warms up. */
function computeMostWarming({ maxInOneSecond }: WarmUpLimit, heardShare: number): number {
  return Math.floor(maxInOneSecond * Math.min(1 / SCHEDULERS, heardShare));
}

/** Computes the same for one that is taken as warm. */
function computeMostWarm({ maxInOneSecond }: WarmUpLimit, startsBefore: number): number {
  return Math.max(Math.floor(maxInOneSecond), GROWTH * startsBefore);
}

/** Leaves out starts that count no more. */
function trimStarts(starts: readonly number[], now: number): number[] {
  return starts.filter((startMs) => now - startMs < 2 * WINDOW_MS);
}

/** Notes that a request is given to a backend server. */
export function noteStart(starts: RecentStarts, serverId: string, now: number): void {
  starts.set(serverId, [...trimStarts(starts.get(serverId) ?? [], now), now]);
}

/** Forgets the starts of all backend servers that count no more. */
export function expireStarts(starts: RecentStarts, now: number): void {
  starts.forEach((times, serverId) => {
    const kept = trimStarts(times, now);
    if (kept.length === 0) {
      starts.delete(serverId);
    } else if (kept.length < times.length) {
      starts.set(serverId, kept);
    }
  });
}

/**
 * Counts the requests that a backend server may be started with now.
 *
 * @param starts when requests were given to it lately, milliseconds, in order
 */
export function countStartsLeft(
  starts: readonly number[],
  limit: WarmUpLimit | undefined,
  view: WarmUpView,
  now: number,
): number {
  if (limit === undefined) {
    return Infinity;
  }
  const recent = starts.filter((startMs) => now - startMs < WINDOW_MS).length;
  if (!view.isWarming) {
    const before = trimStarts(starts, now).length - recent;
    return Math.max(computeMostWarm(limit, before) - recent, 0);
  }
  const most = computeMostWarming(limit, view.heardShare);
  const spacingMs = Math.max(WINDOW_MS / most, MS_PER_SECOND / limit.perSecond);
  const lastMs = starts.at(-1) ?? -Infinity;
  return recent < most && now - lastMs >= spacingMs ? 1 : 0;
}
