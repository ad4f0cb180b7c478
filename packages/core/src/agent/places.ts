/** Tells whether the engine has a place. */
import * as agentState from './agent-state.js';

type Sized = { tierRank: number; estimatedTokens: number };

/** Counts places in use: running attempts and those held for requests on their way. */
export function countUsed(state: agentState.AgentState): number {
  return state.running.size + state.holds.size;
}

/** Counts tokens in use, in the same sense. */
export function countUsedTokens(state: agentState.AgentState): number {
  return state.runningTokens + state.heldTokens;
}

/** Keeps part of a limit free for the most urgent tier. */
function keepHeadroom(limit: number, tierRank: number, headroomPercent: number): number {
  return tierRank === 0 ? limit : limit - Math.floor((limit * headroomPercent) / 100);
}

/** Tells whether the engine has a place for one more. */
export function hasRoom(state: agentState.AgentState, item: Sized): boolean {
  const limits = agentState.getLimits(state);
  if (!state.engineAvailable) {
    return false;
  }
  const used = countUsed(state);
  if (used === 0) {
    return true;
  }
  const percent = limits.urgentHeadroomPercent;
  const maxPlaces = keepHeadroom(limits.maxRunning, item.tierRank, percent);
  const maxTokens = keepHeadroom(limits.maxRunningTokens, item.tierRank, percent);
  return used < maxPlaces && countUsedTokens(state) + item.estimatedTokens <= maxTokens;
}
