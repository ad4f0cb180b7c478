/**
 * Slots of the engine: how many are in use and whether one is free.
 *
 * A place, as identifiers and messages call it, is such a slot: one request's
 * share of the engine's concurrency.
 */
import * as agentState from './agent-state.js';
import * as engineLimit from './engine-limit.js';
import * as engineSpeed from './engine-speed.js';
import * as startQueue from '../shared/start-queue.js';

/** What an attempt or a reservation needs of the engine. */
export type PlaceDemand = {
  tierRank: number;
  estimatedTokens: number;
  /** Whether it is a suspect, beside which nothing else may run. */
  alone: boolean;
};

/** Counts the slots in use: running attempts, and slots held for requests. */
export function countUsed(state: agentState.AgentState): number {
  return state.running.size + state.holds.size;
}

/** Counts the estimated tokens of the slots in use. */
export function countUsedTokens(state: agentState.AgentState): number {
  return state.runningTokens + state.heldTokens;
}

/** Adds the time since the last call to the measurement if the engine ran with work queued. */
export function recordTime(state: agentState.AgentState, now: number): void {
  const queued = startQueue.countQueued(state.queue) > 0;
  engineSpeed.recordTime(state.speed, queued && state.running.size > 0, now);
}

/** Returns how many requests the engine is given concurrently at present. */
export function getEnginePlaces(state: agentState.AgentState): number {
  return engineLimit.getPlaces(state.limit, agentState.getLimits(state));
}

/** Returns the engine's throughput, tokens per second; 0 while unknown. */
export function getTokensPerSecond(state: agentState.AgentState): number {
  return engineSpeed.getTokensPerSecond(state.speed, getEnginePlaces(state));
}

/** Subtracts the headroom of the most urgent tier from a limit of the other tiers. */
function reserveHeadroom(limit: number, tierRank: number, headroomPercent: number): number {
  return tierRank === 0 ? limit : limit - Math.floor((limit * headroomPercent) / 100);
}

/** Whether the engine has a free slot for a demand; records the limit that holds it back. */
export function hasCapacity(state: agentState.AgentState, demand: PlaceDemand): boolean {
  const limits = agentState.getLimits(state);
  if (!state.engineAvailable || state.exclusiveRefKey !== '') {
    return false;
  }
  const used = countUsed(state);
  if (used === 0) {
    return true;
  }
  if (demand.alone) {
    return false;
  }
  const percent = limits.urgentHeadroomPercent;
  const { limit } = state;
  const places = reserveHeadroom(engineLimit.getPlaces(limit, limits), demand.tierRank, percent);
  const tokens = reserveHeadroom(engineLimit.getTokens(limit, limits), demand.tierRank, percent);
  const limitedByPlaces = used >= places;
  const limitedByTokens = countUsedTokens(state) + demand.estimatedTokens > tokens;
  limit.limitedByPlaces = limit.limitedByPlaces || limitedByPlaces;
  limit.limitedByTokens = limit.limitedByTokens || limitedByTokens;
  return !limitedByPlaces && !limitedByTokens;
}
