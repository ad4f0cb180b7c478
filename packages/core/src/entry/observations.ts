/** Takes what this entry sees of its agents into their health. */
import * as effect from '../shared/effect.js';
import * as accounts from './accounts.js';
import * as agentHealth from './agent-health.js';
import * as candidates from './candidates.js';
import * as costModel from './cost-model.js';
import * as durationModel from './duration-model.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';

type Effects = entryEvent.EntryEffect[];

/** Ejects an agent whose health has become bad, and logs it. */
function ejectWhereBad(
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

/** Finds the agent that holds a request. */
function findAgent(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
): entryState.AgentView | undefined {
  const { target } = request;
  // The times of a joined attempt are those of another call.
  return target?.joined === false ? state.agents.get(target.backendServerId) : undefined;
}

/** Notes how long a started request took to a stage. */
export function noteDuration(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  stage: agentHealth.Stage,
  now: number,
): Effects {
  const agent = findAgent(state, request);
  if (agent === undefined || request.startedMs === 0) {
    return [];
  }
  const { durations } = accounts.getServiceOf(state, request);
  const { estimatedTokens } = request.arrived;
  const { className } = request;
  const ms = now - request.startedMs;
  const usualMs = durationModel.getDuration(durations, stage, className, estimatedTokens);
  durationModel.recordDuration(durations, stage, className, estimatedTokens, ms);
  if (usualMs === 0) {
    return [];
  }
  agentHealth.recordRatio(agent.health, stage, ms / usualMs, now);
  return ejectWhereBad(state, agent, now);
}

/** Notes that the agent of a request failed it. */
export function noteFailure(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const agent = findAgent(state, request);
  if (agent === undefined) {
    return [];
  }
  agentHealth.recordFailure(agent.health);
  return ejectWhereBad(state, agent, now);
}

/** Learns what a request cost whose whole answer has come. */
export function noteCompleted(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  if (request.target?.joined === true) {
    return [];
  }
  const { costs } = accounts.getServiceOf(state, request);
  costModel.recordAnswer(costs, request.className, request.answerTokens);
  const agent = findAgent(state, request);
  if (agent !== undefined) {
    agentHealth.recordSuccess(agent.health);
  }
  return noteDuration(state, request, agentHealth.Stage.COMPLETION, now);
}
