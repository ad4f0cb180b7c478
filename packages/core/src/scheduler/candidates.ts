/** What is weighed of the backend servers of a cell when a request is placed. */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as cells from './cell.js';
import * as enginePace from './engine-pace.js';
import * as firstDelay from './first-delay.js';
import * as rateLimit from './rate-limit.js';
import type * as serverChoice from './server-choice.js';
import * as serverHealth from './server-health.js';
import * as warmUp from './warm-up.js';

/** The backend servers of a cell, as the scheduler's gateway knows them. */
export type CellServers = {
  /** Those that may get new work. */
  entries: readonly backendServerEntry.BackendServerEntry[];
  tokensPerEvent: number;
  /** Part of the places that may be given out. */
  placeShare: number;
  /** Part of the gateways that are heard, this one included; 0 where that is unknown. */
  reachableShare: number;
  /** There are other gateways, which may have something in flight. */
  hasPeers: boolean;
  /** Undefined where backend servers bear their full load from the start on. */
  warmUp: warmUp.WarmUpLimit | undefined;
  /** Until when each backend server warms up, by id, milliseconds. */
  warmUpEndMs: ReadonlyMap<string, number>;
  /** Entries that other gateways may not have read yet, by id. */
  recentEntries: ReadonlyMap<string, backendServerEntry.BackendServerEntry>;
};

/**
 * Where fewer than this share of the backend servers would be left, none is ejected
 * for failures: then the requests are at fault, and waiting helps none of them.
 */
const MIN_SOUND_SHARE = 0.5;
/** Places of a plain service whose entry names none. */
const DEFAULT_SLOTS = 4;

/** Gets the requests that a backend server works on at once. */
export function getSlots({ slots }: backendServerEntry.BackendServerEntry): number {
  return slots || DEFAULT_SLOTS;
}

/**
 * Tells whether a backend server warms up, or may do so since it could not be reached: it
 * may come back as late as the next try, which is the longest pause away.
 */
function isWarming(
  cell: cells.Cell,
  { warmUp: limit, warmUpEndMs: warmUntilMs }: CellServers,
  serverId: string,
  now: number,
): boolean {
  const { unreachableMs } = cells.getServerHealth(cell, serverId);
  const suspectedMs = serverHealth.LONGEST_PAUSE_MS + (limit?.durationMs ?? 0);
  const suspectedUntilMs = unreachableMs + suspectedMs;
  return now < Math.max(warmUntilMs.get(serverId) ?? -Infinity, suspectedUntilMs);
}

/** Counts the requests that a backend server may be started with now. */
export function countStartsLeft(
  cell: cells.Cell,
  servers: CellServers,
  serverId: string,
  now: number,
): number {
  const { reachableShare: heardShare } = servers;
  const view = { isWarming: isWarming(cell, servers, serverId, now), heardShare };
  const starts = cell.starts.get(serverId) ?? [];
  return Math.min(
    warmUp.countStartsLeft(starts, servers.warmUp, view, now),
    rateLimit.countStartsLeft(cell.rateLimits.get(serverId), heardShare, now),
  );
}

/**
 * Counts the places of a cell. A backend server that is held back while it warms up, or by
 * its rate limit, has only those that it uses, and those that it may be given now: callers
 * who are told of more would wait.
 */
export function countPlaces(
  cell: cells.Cell,
  servers: CellServers,
  taken: ReadonlyMap<string, number>,
  now: number,
): number {
  return servers.entries.reduce((sum, entry) => {
    const reachable = (taken.get(entry.id) ?? 0) + countStartsLeft(cell, servers, entry.id, now);
    return sum + Math.min(getSlots(entry), reachable);
  }, 0);
}

/** Lists the backend servers of a cell that may get work now. */
export function listCandidates(
  cell: cells.Cell,
  servers: CellServers,
  taken: ReadonlyMap<string, number>,
  now: number,
): serverChoice.Candidate[] {
  const usable = servers.entries.map((entry) => ({
    entry,
    load: cells.getServerHealth(cell, entry.id),
    inFlight: taken.get(entry.id) ?? 0,
  }));
  const usualMs = firstDelay.estimateExtraMs(cell.firstDelay, now);
  const fastest = enginePace.findFastest(usable.map(({ load }) => load.pace));
  const reachable = usable.filter(({ load }) => !serverHealth.isPaused(load, now));
  const sound = reachable.filter(
    ({ load, inFlight }) => !serverHealth.isEjected(load, inFlight, now),
  );
  const isCapped = sound.length < MIN_SOUND_SHARE * usable.length;
  return (isCapped ? reachable : sound).map(({ entry, load, inFlight }) => {
    const slowness = enginePace.estimateSlowness(load.pace, fastest, now);
    return {
      id: entry.id,
      failureDomain: entry.failureDomain,
      slots: getSlots(entry),
      inFlight,
      startsLeft: countStartsLeft(cell, servers, entry.id, now),
      isRateLimited: rateLimit.isLimited(cell.rateLimits.get(entry.id)),
      slowness,
      unitMs: fastest * slowness,
      firstExtraMs: firstDelay.estimateExtraMs(load.firstDelay, now, usualMs),
      failureShare: serverHealth.computeFailureShare(load),
    };
  });
}
