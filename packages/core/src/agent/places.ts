/** Places on the engine: how many are in use and whether one is free. */
import * as agentState from './agent-state.js';
import * as engineLimit from './engine-limit.js';
import * as engineSpeed from './engine-speed.js';
import * as startQueue from '../shared/start-queue.js';

/** What an attempt or reservation asks of the engine. */
export type PlaceDemand = {
  tierRank: number;
  estimatedTokens: number;
  /** A suspect: nothing else may run beside it. */
  alone: boolean;
};

/** Counts places in use: running attempts and those held for requests on their way. */
export function countUsed(state: agentState.AgentState): number {
  return state.running.size + state.holds.size;
}

/** Counts tokens in use, in the same sense. */
export function countUsedTokens(state: agentState.AgentState): number {
  return state.runningTokens + state.heldTokens;
}

/** Accounts for the time that the engine has worked with more work queued. */
export function noteTime(state: agentState.AgentState, now: number): void {
  const queued = startQueue.countQueued(state.queue) > 0;
  engineSpeed.noteTime(state.speed, queued && state.running.size > 0, now);
}

/** Gets the requests that the engine is given at once at present. */
export function getEnginePlaces(state: agentState.AgentState): number {
  return engineLimit.getPlaces(state.limit, agentState.getLimits(state));
}

/** Gets the engine's measured speed, tokens per second; 0 while unknown. */
export function getTokensPerSecond(state: agentState.AgentState): number {
  return engineSpeed.getTokensPerSecond(state.speed, getEnginePlaces(state));
}

/** Keeps part of a limit free for the most urgent tier. */
function keepHeadroom(limit: number, tierRank: number, headroomPercent: number): number {
  return tierRank === 0 ? limit : limit - Math.floor((limit * headroomPercent) / 100);
}

/** Tells whether the engine has a place for one more, and notes what holds it back. */
export function hasRoom(state: agentState.AgentState, demand: PlaceDemand): boolean {
  const limits = agentState.getLimits(state);
  if (!state.engineAvailable || state.soloRefKey !== '') {
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
  const places = keepHeadroom(engineLimit.getPlaces(limit, limits), demand.tierRank, percent);
  const tokens = keepHeadroom(engineLimit.getTokens(limit, limits), demand.tierRank, percent);
  const heldByPlaces = used >= places;
  const heldByTokens = countUsedTokens(state) + demand.estimatedTokens > tokens;
  limit.heldByPlaces = limit.heldByPlaces || heldByPlaces;
  limit.heldByTokens = limit.heldByTokens || heldByTokens;
  return !heldByPlaces && !heldByTokens;
}
