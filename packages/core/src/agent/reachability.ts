/** Tells what can be done in time, and when to come back, at the measured speed. */
import * as schema from '@toucanproxy/schema';
import * as suspects from '../shared/suspects.js';
import * as agentState from './agent-state.js';
import * as engineSpeed from './engine-speed.js';
import * as startQueue from '../shared/start-queue.js';

/** What has to end by a deadline. */
type TimedDemand = {
  tierRank: number;
  workspace: string;
  estimatedTokens: number;
  deadlineMs: number;
};

const UNKNOWN_RETRY_MS = 1000;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 30_000;

/** Tells whether a run that starts now can end by its deadline. */
export function isRunReachable(
  state: agentState.AgentState,
  demand: TimedDemand,
  waitMs: number,
  now: number,
): boolean {
  if (now >= demand.deadlineMs) {
    return false;
  }
  // An idle engine takes whatever comes: a measure from slow times would else
  // refuse everything and never be corrected.
  if (state.running.size === 0) {
    return true;
  }
  const runMs = engineSpeed.estimateRunMs(state.speed, demand.estimatedTokens);
  return now + waitMs + runMs <= demand.deadlineMs;
}

/** Tells whether a demand that is queued now can end by its deadline. */
export function isQueuedReachable(
  state: agentState.AgentState,
  demand: TimedDemand,
  now: number,
): boolean {
  const ahead = startQueue.estimateTokensAhead(
    state.queue,
    demand.tierRank,
    demand.workspace,
    demand.estimatedTokens,
  );
  const waitMs = engineSpeed.estimateWaitMs(state.speed, ahead);
  return isRunReachable(state, demand, waitMs, now);
}

/** Estimates when it is worth asking again, milliseconds from now. */
export function estimateRetryMs(state: agentState.AgentState, code: schema.ResultCode): number {
  if (code === schema.ResultCode.CONTENT_REFUSED) {
    return suspects.SUSPECT_KEEP_MS;
  }
  const tokens = startQueue.countTokens(state.queue);
  const waitMs = engineSpeed.estimateWaitMs(state.speed, tokens);
  const known = waitMs > 0 ? Math.ceil(waitMs) : UNKNOWN_RETRY_MS;
  return Math.min(Math.max(known, MIN_RETRY_MS), MAX_RETRY_MS);
}
