/** Estimates from the measured throughput whether work meets its deadline, and when to retry. */
import * as schema from '@toucanproxy/schema';
import * as suspects from '../shared/suspects.js';
import * as agentState from './agent-state.js';
import * as engineSpeed from './engine-speed.js';
import * as startQueue from '../shared/start-queue.js';

/** Work that has to complete by a deadline. */
type TimedDemand = {
  tierRank: number;
  workspace: string;
  estimatedTokens: number;
  deadlineMs: number;
};

const DEFAULT_RETRY_MS = 1000;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 30_000;

/** Whether a run that starts after `waitMs` can complete by its deadline. */
export function isRunFeasible(
  state: agentState.AgentState,
  demand: TimedDemand,
  waitMs: number,
  now: number,
): boolean {
  if (now >= demand.deadlineMs) {
    return false;
  }
  // An idle engine accepts everything: otherwise an outdated measurement of a
  // slow engine would refuse all work and never be corrected.
  if (state.running.size === 0) {
    return true;
  }
  const runMs = engineSpeed.estimateRunMs(state.speed, demand.estimatedTokens);
  return now + waitMs + runMs <= demand.deadlineMs;
}

/** Whether a demand that is queued now can complete by its deadline. */
export function isQueuedFeasible(
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
  return isRunFeasible(state, demand, waitMs, now);
}

/** Estimates when a retry is worthwhile, milliseconds from now. */
export function estimateRetryMs(state: agentState.AgentState, code: schema.ResultCode): number {
  if (code === schema.ResultCode.CONTENT_REFUSED) {
    return suspects.SUSPECT_KEEP_MS;
  }
  const tokens = startQueue.countTokens(state.queue);
  const waitMs = engineSpeed.estimateWaitMs(state.speed, tokens);
  const known = waitMs > 0 ? Math.ceil(waitMs) : DEFAULT_RETRY_MS;
  return Math.min(Math.max(known, MIN_RETRY_MS), MAX_RETRY_MS);
}
