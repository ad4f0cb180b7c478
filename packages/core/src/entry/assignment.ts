/** Assigns one request to one agent, or asks the agent for a slot, depending on the policy. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as suspects from '../shared/suspects.js';
import * as requestAccounting from './request-accounting.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as attemptStart from './attempt-start.js';
import * as outcomes from './outcomes.js';
import * as prefixLocations from './prefix-locations.js';
import * as reservations from './reservations.js';
import * as retryBudget from '../shared/retry-budget.js';
import * as serviceState from './service-state.js';

type Effects = entryEvent.EntryEffect[];

const PERCENT = 100;

/** Assigns a waiting request to one agent. */
export function assignTo(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  agent: entryState.AgentView,
  now: number,
): Effects {
  const { contentDigest, prefixHashes } = request.arrived;
  // The content may have crashed a second engine while this request waited.
  if (suspects.isBlocked(state.suspects, contentDigest)) {
    const failure = outcomes.buildNotRun(schema.ResultCode.CONTENT_REFUSED);
    return outcomes.fail(state, request, failure, now);
  }
  const service = requestAccounting.getRequestService(state, request);
  if (request.attempts === 0) {
    const { retryBudgetPercent } = entryState.getLimits(state, service.service);
    retryBudget.noteFirstAttempt(service.retryBudget, {
      perAttempt: retryBudgetPercent / PERCENT,
      burst: serviceState.MIN_RETRIES,
    });
  }
  service.placements += 1;
  const { backendServerId } = agent;
  prefixLocations.recordPrefix(
    service.prefixes,
    request.workspace,
    prefixHashes,
    backendServerId,
    now,
  );
  requestAccounting.endWaiting(state, request);
  const released = reservations.releaseReservations(state, request, backendServerId);
  const offered = attemptStart.startAttempt(state, request, agent, now);
  // A request whose key is being claimed can no longer be withdrawn by load
  // shedding.
  if (request.status !== entryState.RequestStatus.OFFERED) {
    requestAccounting.removeUnstarted(state, request);
  }
  requestAccounting.updateDueTime(state, request, now);
  return [...released, ...offered];
}

/** Why one agent is asked without a choice among several. */
export enum AssignmentReason {
  /** The agent has room for a request that waited for it. */
  ROOM = 'room',
  /** The agent has less urgent work in its queue, which it evicts. */
  EVICTS = 'evicts',
}

/** Asks one agent to take a waiting request. */
export function askAgent(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  agent: entryState.AgentView,
  reason: AssignmentReason,
  now: number,
): Effects {
  const line = effect.logDecision('ask', {
    request: request.requestId,
    attempt: request.attempts + 1,
    service: request.arrived.service,
    tier: request.tierName,
    chosen: [agent.backendServerId],
    reason,
  });
  const asked =
    state.policy.strategy.kind === 'push'
      ? assignTo(state, request, agent, now)
      : reservations.addReservation(request, agent);
  return [line, ...asked];
}
