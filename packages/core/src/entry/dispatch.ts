/** Places waiting requests on agents. */
import * as effect from '../shared/effect.js';
import * as requestAccounting from './request-accounting.js';
import * as assignment from './assignment.js';
import * as candidates from './candidates.js';
import * as entryEvent from './entry-event.js';
import * as entryPolicy from './entry-policy.js';
import * as entryState from './entry-state.js';
import * as parking from './parking.js';
import * as placement from './placement.js';
import * as reservations from './reservations.js';
import * as shedding from './shedding.js';

type Effects = entryEvent.EntryEffect[];
type StrategyOf<K extends entryPolicy.PlacementStrategy['kind']> = Extract<
  entryPolicy.PlacementStrategy,
  { kind: K }
>;

/** Logs a placement decision together with its inputs. */
function logPlacement(
  event: string,
  request: entryState.EntryRequest,
  considered: readonly placement.Candidate[],
  chosen: string[],
): entryEvent.EntryEffect {
  const describe = (one: placement.Candidate) => ({
    id: one.backendServerId,
    delayMs: Math.round(placement.estimateDelay(one, request.arrived.estimatedTokens)),
    cachedTokens: one.cachedTokens,
  });
  return effect.logDecision(event, {
    request: request.requestId,
    attempt: request.attempts + 1,
    service: request.arrived.service,
    tier: request.tierName,
    candidates: considered.map(describe),
    chosen,
  });
}

/** Builds the inputs of a placement other than the candidates. */
function buildContext(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
): placement.PlacementContext {
  return {
    drawRandom: state.policy.drawRandom,
    serial: requestAccounting.getRequestService(state, request).placements,
    estimatedTokens: request.arrived.estimatedTokens,
  };
}

/** Pushes a request to one of the agents that have not refused it. */
function pushRequest(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  eligible: readonly entryState.AgentView[],
  strategy: StrategyOf<'push'>,
  now: number,
): Effects {
  if (eligible.length === 0) {
    return parking.waitForRoom(state, request, now);
  }
  const considered = candidates.listCandidates(state, request, eligible, now);
  const chosen = strategy.choose(considered, buildContext(state, request));
  const agent = eligible.find((one) => one.backendServerId === chosen.backendServerId);
  if (agent === undefined) {
    return [];
  }
  const line = logPlacement('placement', request, considered, [chosen.backendServerId]);
  return [line, ...assignment.assignTo(state, request, agent, now)];
}

/** Asks agents for a slot. If some have already been asked, one more is asked. */
function reserveSlots(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  eligible: readonly entryState.AgentView[],
  strategy: StrategyOf<'reserve'>,
  now: number,
): Effects {
  if (eligible.length === 0) {
    request.nextAskAtMs = Infinity;
    requestAccounting.updateDueTime(state, request, now);
    return request.reservedAt.size > 0 ? [] : parking.waitForRoom(state, request, now);
  }
  const considered = candidates.listCandidates(state, request, eligible, now);
  const count = Math.max(strategy.reservationCount - request.reservedAt.size, 1);
  const { asked, waitMs } = strategy.plan(considered, buildContext(state, request), count);
  const ids = asked.map((one) => one.backendServerId);
  request.nextAskAtMs = now + waitMs;
  requestAccounting.updateDueTime(state, request, now);
  return [
    logPlacement('ask', request, considered, ids),
    ...eligible
      .filter((agent) => ids.includes(agent.backendServerId))
      .flatMap((agent) => reservations.addReservation(request, agent)),
  ];
}

/** Places one waiting request. */
export function place(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const { service } = request.arrived;
  if (entryState.isDocumentOutdated(state, service, now)) {
    requestAccounting.addParked(state, request, now);
    request.nextAskAtMs = now + parking.ASK_MORE_MS;
    requestAccounting.updateDueTime(state, request, now);
    return [];
  }
  const usable = candidates.listUsable(state, service, now);
  if (usable.length === 0) {
    return parking.handleNoAgent(state, request, now);
  }
  const { strategy } = state.policy;
  const eligible = usable.filter(
    ({ backendServerId: id }) => !request.refusedBy.has(id) && !request.reservedAt.has(id),
  );
  return strategy.kind === 'push'
    ? pushRequest(state, request, eligible, strategy, now)
    : reserveSlots(state, request, parking.listWithRoom(state, eligible, request), strategy, now);
}

/** Adds a new request and places it, after load shedding has made room. */
export function placeNew(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  requestAccounting.addRequest(state, request, now);
  const shed = shedding.shedOverflow(
    state,
    requestAccounting.getRequestService(state, request),
    now,
  );
  const placed = isIdle(state, request) ? place(state, request, now) : [];
  return [...shed, ...placed];
}

/** Asks for another slot in place of one that was lost. */
export function askAgain(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const waits = request.status === entryState.RequestStatus.WAITING && request.retryAtMs === 0;
  return waits ? place(state, request, now) : [];
}

/** Puts a request that was not run back to waiting, and tries other agents. */
export function placeAgain(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  resetToWaiting(state, request, now);
  return [
    ...shedding.shedOverflow(state, requestAccounting.getRequestService(state, request), now),
    ...(isIdle(state, request) ? place(state, request, now) : []),
  ];
}

/** Whether a held request waits without any agent having been asked. */
function isIdle(state: entryState.EntryState, request: entryState.EntryRequest): boolean {
  return (
    state.requests.has(request.requestId) &&
    request.status === entryState.RequestStatus.WAITING &&
    request.reservedAt.size === 0
  );
}

/** Puts a request back to waiting, without its last attempt. */
export function resetToWaiting(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): void {
  if (request.target !== undefined) {
    request.refusedBy.add(request.target.backendServerId);
    request.replaceable.push(request.target.ref);
  }
  requestAccounting.getRequestService(state, request).withdrawnIds.delete(request.requestId);
  requestAccounting.releaseTarget(state, request);
  request.head = undefined;
  request.bufferedParts = [];
  requestAccounting.beginWaiting(state, request, now);
}
