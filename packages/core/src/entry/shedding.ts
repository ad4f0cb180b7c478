/** Keeps the number of waiting requests of a service within its limit. */
import * as schema from '@toucanproxy/schema';
import * as startQueue from '../shared/start-queue.js';
import * as effect from '../shared/effect.js';
import * as requestAccounting from './request-accounting.js';
import * as assignment from './assignment.js';
import * as candidates from './candidates.js';
import * as queueThroughput from '../shared/queue-throughput.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import * as outcomes from './outcomes.js';
import * as serviceState from './service-state.js';

type Effects = entryEvent.EntryEffect[];
type Step = { effects: Effects; madeRoom: boolean };

/** Draws a retry-after for callers of a tier, milliseconds. */
export function drawRetryAfter(
  state: entryState.EntryState,
  service: serviceState.ServiceState,
  tierRank: number,
): number {
  const ahead = requestAccounting.countAhead(service, tierRank);
  return queueThroughput.drawRetryAfter(service.throughput, ahead, state.policy.drawRandom);
}

/** Sheds a waiting request to make room for others. */
export function shed(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const service = requestAccounting.getRequestService(state, request);
  const broken: Effects = requestAccounting.hasLessUrgent(service, request.tierRank)
    ? [effect.observe({ kind: 'invariantBroken', name: 'shed-before-less-urgent' })]
    : [];
  const retryAfterMs = drawRetryAfter(state, service, request.tierRank);
  const failure = outcomes.buildNotRun(schema.ResultCode.SHED, retryAfterMs);
  return [...broken, ...outcomes.fail(state, request, failure, now)];
}

/** Asks an agent to withdraw a request that it may not have started. */
function withdrawOffer(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  target: entryState.Target,
  now: number,
): Effects {
  requestAccounting.removeUnstarted(state, request);
  requestAccounting.getRequestService(state, request).withdrawnIds.add(request.requestId);
  target.withdrawnMs = now;
  const body = entryMessages.buildWithdraw(target);
  return [entryMessages.sendToAgent(target.backendServerId, body)];
}

/** Whether less urgent work is queued at an agent, by its last report. */
function hasLessUrgent(agent: entryState.AgentView, tierRank: number): boolean {
  return (agent.load?.queuedByTier ?? []).slice(tierRank + 1).some((count) => count > 0);
}

/**
 * Returns an agent that has less urgent work queued and has not refused a
 * request.
 *
 * The agent evicts that work for this request. If this request were shed before
 * the agent was asked, an urgent request would be lost while a less urgent one
 * runs.
 */
function findEvicting(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): entryState.AgentView | undefined {
  return candidates
    .listUsable(state, request.arrived.service, now)
    .filter((agent) => !request.refusedBy.has(agent.backendServerId))
    .find((agent) => hasLessUrgent(agent, request.tierRank));
}

/** Sheds one waiting request, unless there is still an agent to ask. */
function shedWaiting(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Step {
  const agent = findEvicting(state, request, now);
  if (agent === undefined) {
    return { effects: shed(state, request, now), madeRoom: true };
  }
  const asked = request.reservedAt.has(agent.backendServerId);
  const effects = asked
    ? []
    : assignment.askAgent(state, request, agent, assignment.AssignmentReason.EVICTS, now);
  const service = requestAccounting.getRequestService(state, request);
  return { effects, madeRoom: !service.waitingIds.has(request.requestId) };
}

/** Makes room for one request by shedding the newest one of the least urgent tier. */
function makeRoom(
  state: entryState.EntryState,
  service: serviceState.ServiceState,
  now: number,
): Step {
  const victim = startQueue.findEvictionCandidate(service.unstarted, -1);
  const request = victim && state.requests.get(victim.id);
  if (request === undefined) {
    return { effects: [], madeRoom: false };
  }
  return request.target === undefined
    ? shedWaiting(state, request, now)
    : { effects: withdrawOffer(state, request, request.target, now), madeRoom: true };
}

/** Sheds requests until the number of waiting ones is within the document's limit. */
export function shedOverflow(
  state: entryState.EntryState,
  service: serviceState.ServiceState,
  now: number,
): Effects {
  const { maxWaiting } = entryState.getLimits(state, service.service);
  const effects: Effects = [];
  let excess = service.waitingIds.size - service.withdrawnIds.size - maxWaiting;
  while (excess > 0) {
    const step = makeRoom(state, service, now);
    effects.push(...step.effects);
    excess = step.madeRoom ? excess - 1 : 0;
  }
  return effects;
}
