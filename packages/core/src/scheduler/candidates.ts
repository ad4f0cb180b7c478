/** Builds the placement candidates of a cell from what is known of its backend servers. */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as cells from './cell.js';
import * as enginePace from './engine-pace.js';
import * as addedLatency from './added-latency.js';
import * as rateLimit from './rate-limit.js';
import type * as scheduledRequest from './scheduled-request.js';
import type * as serverChoice from './server-choice.js';
import * as serverHealth from './server-health.js';
import * as serverWork from './server-work.js';
import * as slotTurnaround from './slot-turnaround.js';
import * as warmUp from './warm-up.js';

/** What the gateway that runs the scheduler knows of the backend servers of a cell. */
export type CellServers = {
  /** Store entries of the backend servers that may get new requests. */
  entries: readonly backendServerEntry.BackendServerEntry[];
  tokensPerEvent: number;
  /** The backend servers are engines, which process prompts and responses token by token. */
  areEngines: boolean;
  /** Longest pause between events that all running streams accept, ms; Infinity if undeclared. */
  maxPauseMs: number;
  /** Share of the slots that may be granted, 0 to 1. */
  placeShare: number;
  /** Share of the gateways that are reachable, including this one; 0 if unknown. */
  reachableShare: number;
  /** There are other gateways, which may have requests in flight. */
  hasPeers: boolean;
  /** Failure domains whose loss must be tolerated. */
  toleratedDomainLosses?: number;
  /** Undefined if the backend servers can handle their full load right after their start. */
  warmUp: warmUp.WarmUpLimit | undefined;
  /** End of the warm-up of each backend server that warms up, by id, milliseconds. */
  warmUpEndMs: ReadonlyMap<string, number>;
  /** Store entries that other gateways may not have read yet, by id. */
  recentEntries: ReadonlyMap<string, backendServerEntry.BackendServerEntry>;
};

/**
 * If less than this share of the backend servers would remain, none is ejected for failures. The
 * requests are then the likely cause, and waiting would not help them.
 */
const MIN_HEALTHY_SHARE = 0.5;
/** Slots of a backend server whose store entry gives no number, as in a plain service. */
const DEFAULT_SLOTS = 4;

/** Returns the number of requests that a backend server processes concurrently. */
function getSlots({ slots }: backendServerEntry.BackendServerEntry): number {
  return slots || DEFAULT_SLOTS;
}

/**
 * Creates the function that computes how many requests a backend server of a cell may have in
 * flight.
 */
function createConcurrencyLimit(
  cell: cells.Cell,
  { areEngines }: CellServers,
): (entry: backendServerEntry.BackendServerEntry) => number {
  if (areEngines) {
    return getSlots;
  }
  const turnaroundMs = slotTurnaround.estimateTurnaroundMs(cell);
  return (entry) => {
    const slots = getSlots(entry);
    const { unitMs } = cells.getServerHealth(cell, entry.id).pace;
    return slots + slotTurnaround.countGrantsAhead(slots, turnaroundMs, unitMs);
  };
}

/**
 * Reports whether a backend server warms up, or may do so because it was recently unreachable. It
 * may have restarted at any time up to the next attempt to reach it, which is made after the
 * longest pause at the latest.
 */
function isWarming(
  cell: cells.Cell,
  { warmUp: limit, warmUpEndMs }: CellServers,
  serverId: string,
  now: number,
): boolean {
  const { unreachableMs } = cells.getServerHealth(cell, serverId);
  const suspectedMs = serverHealth.MAX_PAUSE_MS + (limit?.durationMs ?? 0);
  const suspectedUntilMs = unreachableMs + suspectedMs;
  return now < Math.max(warmUpEndMs.get(serverId) ?? -Infinity, suspectedUntilMs);
}

/** Counts the requests that may be started at a backend server now. */
export function countStartsLeft(
  cell: cells.Cell,
  servers: CellServers,
  serverId: string,
  now: number,
): number {
  const { reachableShare } = servers;
  const state = { isWarming: isWarming(cell, servers, serverId, now), reachableShare };
  const starts = cell.starts.get(serverId) ?? [];
  return Math.min(
    warmUp.countStartsLeft(starts, servers.warmUp, state, now),
    rateLimit.countStartsLeft(cell.rateLimits.get(serverId), reachableShare, now),
  );
}

/**
 * Counts the slots of a cell. For a backend server that is restricted by its warm-up or rate
 * limit, only the slots in use and the requests that may be started now count, because requests
 * admitted for any further slots would have to wait.
 */
export function countPlaces(
  cell: cells.Cell,
  servers: CellServers,
  taken: ReadonlyMap<string, number>,
  now: number,
): number {
  const computeLimit = createConcurrencyLimit(cell, servers);
  return servers.entries.reduce((sum, entry) => {
    const startable = (taken.get(entry.id) ?? 0) + countStartsLeft(cell, servers, entry.id, now);
    return sum + Math.min(computeLimit(entry), startable);
  }, 0);
}

/** Adds a request that was granted a slot to the load of its backend server. */
export function addRequest(
  { promptSpeed, askers }: cells.Cell,
  candidate: serverChoice.Candidate,
  { asker, promptTokens, answerTokens }: scheduledRequest.ScheduledRequest,
): void {
  candidate.inFlight += 1;
  if (askers.get(asker)?.reportsWork !== true) {
    return;
  }
  candidate.unreadTokens += promptTokens;
  candidate.answerTokens += answerTokens;
  candidate.aheadMs = serverWork.estimateAheadMs(promptSpeed, candidate);
}

/** Lists the backend servers of a cell that are neither paused nor ejected. */
export function listCandidates(
  cell: cells.Cell,
  servers: CellServers,
  taken: ReadonlyMap<string, number>,
  now: number,
): serverChoice.Candidate[] {
  const usable = servers.entries.map((entry) => ({
    entry,
    health: cells.getServerHealth(cell, entry.id),
    inFlight: taken.get(entry.id) ?? 0,
  }));
  const computeLimit = createConcurrencyLimit(cell, servers);
  const workByServer = serverWork.countWork(cell);
  const cellAddedMs = addedLatency.estimateAddedLatencyMs(cell.addedLatency, now);
  const fastest = enginePace.findShortestUnitMs(usable.map(({ health }) => health.pace));
  const unpaused = usable.filter(({ health }) => !serverHealth.isPaused(health, now));
  const healthy = unpaused.filter(
    ({ health, inFlight }) => !serverHealth.isEjected(health, inFlight, now),
  );
  const isEjectionSuspended = healthy.length < MIN_HEALTHY_SHARE * usable.length;
  return (isEjectionSuspended ? unpaused : healthy).map(({ entry, health, inFlight }) => {
    const slowness = enginePace.estimateSlowness(health.pace, fastest, now);
    const { unreadTokens = 0, answerTokens = 0 } = workByServer.get(entry.id) ?? {};
    return {
      id: entry.id,
      failureDomain: entry.failureDomain,
      softwareVersion: entry.softwareVersion,
      slots: computeLimit(entry),
      inFlight,
      startsLeft: countStartsLeft(cell, servers, entry.id, now),
      isRateLimited: rateLimit.isLimited(cell.rateLimits.get(entry.id)),
      slowness,
      unitMs: fastest * slowness,
      unreadTokens,
      answerTokens,
      aheadMs: serverWork.estimateAheadMs(cell.promptSpeed, { unreadTokens, slowness }),
      addedLatencyMs: addedLatency.estimateAddedLatencyMs(health.addedLatency, now, cellAddedMs),
      failureShare: serverHealth.computeFailureShare(health),
    };
  });
}
