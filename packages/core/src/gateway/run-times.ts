/** Tracks how long requests run at backend servers, by route. */
import type * as gatewayRequest from './gateway-request.js';

/** Durations of the latest complete runs of each route, milliseconds; the oldest first. */
export type RunTimes = Map<string, number[]>;

/** Number of runs that are kept for each route. */
const MAX_RUNS = 32;
/** Maximum number of routes; limits memory use as routes change. */
const MAX_ROUTES = 4096;

/** Shares of the runs that take less than a typical and than a long one. */
const TYPICAL_SHARE = 0.5;
const LONG_SHARE = 0.9;
/** Number of runs from which on they show how long a long one takes. */
const MIN_RUNS = 10;

/** How long runs of a route take, milliseconds. */
export type RunTimeEstimate = { typicalMs: number; longMs: number };

/** Records that a request has its complete response. */
export function noteRunTime(
  times: RunTimes,
  { route, sentMs }: Pick<gatewayRequest.GatewayRequest, 'route' | 'sentMs'>,
  now: number,
): void {
  if (times.size >= MAX_ROUTES && !times.has(route.name)) {
    times.clear();
  }
  const runs = times.get(route.name) ?? [];
  times.set(route.name, runs);
  runs.push(now - sentMs);
  runs.splice(0, runs.length - MAX_RUNS);
}

/**
 * Estimates how long runs of a route take; undefined if none has completed yet. A long one may take
 * any time as long as few runs are known.
 */
export function estimateRunTime(times: RunTimes, routeName: string): RunTimeEstimate | undefined {
  const sorted = [...(times.get(routeName) ?? [])].sort((one, other) => one - other);
  const findQuantile = (share: number) => sorted[Math.floor(sorted.length * share)];
  const longMs = sorted.length < MIN_RUNS ? Infinity : findQuantile(LONG_SHARE);
  return sorted.length === 0 ? undefined : { typicalMs: findQuantile(TYPICAL_SHARE), longMs };
}
