/** Records what this entry observes of its agents: durations, costs, successes and failures. */
import * as effect from '../shared/effect.js';
import * as requestAccounting from './request-accounting.js';
import * as agentHealth from './agent-health.js';
import * as candidates from './candidates.js';
import * as costModel from './cost-model.js';
import * as durationModel from './duration-model.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';

type Effects = entryEvent.EntryEffect[];

/** Ejects an agent whose health has become bad, and logs the ejection. */
function ejectIfUnhealthy(
  state: entryState.EntryState,
  agent: entryState.AgentView,
  now: number,
): Effects {
  const peers = candidates.listPeerHealth(state, agent.service);
  const cause = agentHealth.ejectOutlier(agent.health, peers, now);
  return cause === undefined
    ? []
    : [
        effect.logDecision('ejected', {
          backendServer: agent.backendServerId,
          cause,
          untilMs: agent.health.ejectedUntilMs,
        }),
      ];
}

/** Returns the agent that serves a request; undefined for a joined attempt. */
function findServingAgent(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
): entryState.AgentView | undefined {
  const { target } = request;
  // The durations of a joined attempt are those of another call.
  return target?.joined === false ? state.agents.get(target.backendServerId) : undefined;
}

/** Records how long a started request took to reach a stage. */
export function recordDuration(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  stage: agentHealth.Stage,
  now: number,
): Effects {
  const agent = findServingAgent(state, request);
  if (agent === undefined || request.startedMs === 0) {
    return [];
  }
  const { durations } = requestAccounting.getRequestService(state, request);
  const { estimatedTokens } = request.arrived;
  const { className } = request;
  const ms = now - request.startedMs;
  const expectedMs = durationModel.estimateDuration(durations, stage, className, estimatedTokens);
  durationModel.recordDuration(durations, stage, className, estimatedTokens, ms);
  if (expectedMs === 0) {
    return [];
  }
  agentHealth.recordRatio(agent.health, stage, ms / expectedMs, now);
  return ejectIfUnhealthy(state, agent, now);
}

/** Records that the agent of a request failed it. */
export function recordFailure(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const agent = findServingAgent(state, request);
  if (agent === undefined) {
    return [];
  }
  agentHealth.recordFailure(agent.health);
  return ejectIfUnhealthy(state, agent, now);
}

/** Records the cost and the duration of a request whose response is complete. */
export function recordCompletion(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  if (request.target?.joined === true) {
    return [];
  }
  const { costs } = requestAccounting.getRequestService(state, request);
  costModel.recordResponse(costs, request.className, request.answerTokens);
  const agent = findServingAgent(state, request);
  if (agent !== undefined) {
    agentHealth.recordSuccess(agent.health);
  }
  return recordDuration(state, request, agentHealth.Stage.COMPLETION, now);
}
