/** Hands waiting requests to agents. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as handOver from './hand-over.js';
import * as outcomes from './outcomes.js';
import * as placement from './placement.js';

type Effects = entryEvent.EntryEffect[];

const SHED_RETRY_AFTER_MS = 1000;

/** Lists the agents of a service that may be given new work. */
export function listUsable(state: entryState.EntryState, service: string): entryState.AgentView[] {
  return [...state.agents.values()].filter(
    (agent) => agent.service === service && agent.linked && agent.kept && !agent.leaving,
  );
}

/** Describes an agent for a choice. */
function toCandidate(agent: entryState.AgentView): placement.Candidate {
  const { load } = agent;
  return {
    backendServerId: agent.backendServerId,
    outstandingTokens: agent.outstandingTokens,
    reportedTokens: (load?.queuedTokens ?? 0) + (load?.runningTokens ?? 0),
    tokensPerSecond: load?.tokensPerSecond ?? 0,
  };
}

/** Places one waiting request, or leaves it waiting where no agent is linked. */
export function place(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const usable = listUsable(state, request.arrived.service);
  if (usable.length === 0 || entryState.isBehind(state, request.arrived.service, now)) {
    return [];
  }
  const open = usable.filter((agent) => !request.refusedBy.has(agent.backendServerId));
  if (open.length === 0) {
    const failure = outcomes.buildNotRun(schema.ResultCode.SHED, SHED_RETRY_AFTER_MS);
    return outcomes.fail(state, request, failure, now);
  }
  const candidates = open.map(toCandidate);
  const chosen = state.policy.chooseBackendServer(candidates, state.policy.drawRandom);
  const agent = open.find((one) => one.backendServerId === chosen.backendServerId);
  if (agent === undefined) {
    return [];
  }
  const line = effect.logDecision('placement', {
    request: request.requestId,
    attempt: request.attempts + 1,
    service: request.arrived.service,
    tier: request.tierName,
    candidates: candidates.map((one) => one.backendServerId),
    chosen: chosen.backendServerId,
    outstandingTokens: chosen.outstandingTokens,
  });
  return [line, ...handOver.offerTo(state, request, agent, now)];
}

/** Places every waiting request of a service, the most urgent first. */
export function placeWaiting(state: entryState.EntryState, service: string, now: number): Effects {
  const waiting = [...state.requests.values()].filter(
    (request) =>
      request.status === entryState.RequestStatus.WAITING && request.arrived.service === service,
  );
  waiting.sort((a, b) => a.tierRank - b.tierRank);
  return waiting.flatMap((request) => place(state, request, now));
}

/** Puts a request that was not run, or may be repeated, back to waiting. */
export function placeAgain(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  if (request.target !== undefined) {
    request.refusedBy.add(request.target.backendServerId);
    request.replaceable.push(request.target.ref);
  }
  outcomes.releaseTarget(state, request);
  request.status = entryState.RequestStatus.WAITING;
  request.head = undefined;
  request.collected = [];
  return place(state, request, now);
}
