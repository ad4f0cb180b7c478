/** Late binding: what agents say of the places they were asked for. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as agentHealth from './agent-health.js';
import * as assignment from './assignment.js';
import * as candidates from './candidates.js';
import * as dispatch from './dispatch.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as reservations from './reservations.js';

type Effects = entryEvent.EntryEffect[];

/** Refusals for want of room in the agent's queue. */
const FULL_CODES = new Set([schema.ResultCode.QUEUE_FULL, schema.ResultCode.EVICTED]);

/** Finds a request that waits and is not in the pause before a repeat. */
function findWaiting(
  state: entryState.EntryState,
  requestId: string,
  now: number,
): entryState.EntryRequest | undefined {
  const request = state.requests.get(requestId);
  const waits = request?.status === entryState.RequestStatus.WAITING && now >= request.retryAtMs;
  return waits ? request : undefined;
}

/** Tells whether a granted place should go unused. */
function isUnwanted(
  request: entryState.EntryRequest,
  agent: entryState.AgentView,
  now: number,
): boolean {
  const others = [...request.reservedAt].some((id) => id !== agent.backendServerId);
  return !candidates.isUsable(agent) || (others && agentHealth.isEjected(agent.health, now));
}

/** Takes a reservation as refused and asks further agents where none is left. */
function handleSlotRefused(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  backendServerId: string,
  now: number,
): Effects {
  reservations.removeReservation(state, request, backendServerId);
  request.refusedBy.add(backendServerId);
  return dispatch.place(state, request, now);
}

/**
 * Hands a request to the first agent that has a place for it.
 *
 * A grant may come late: its request may be with another agent or have ended.
 * The place is given back then; only an offer can start anything.
 */
export function handleGrant(
  state: entryState.EntryState,
  backendServerId: string,
  grant: schema.Grant,
  now: number,
): Effects {
  const agent = state.agents.get(backendServerId);
  const request = findWaiting(state, grant.requestId, now);
  if (agent === undefined || request === undefined) {
    return [reservations.sendRelease(backendServerId, grant.requestId)];
  }
  if (isUnwanted(request, agent, now)) {
    return [
      reservations.sendRelease(backendServerId, grant.requestId),
      ...handleSlotRefused(state, request, backendServerId, now),
    ];
  }
  const line = effect.logDecision('placement', {
    request: request.requestId,
    attempt: request.attempts + 1,
    service: request.arrived.service,
    tier: request.tierName,
    candidates: [...request.reservedAt],
    chosen: [backendServerId],
    waitedMs: now - request.arrivedMs,
  });
  return [line, ...assignment.assignTo(state, request, agent, now)];
}

/** Notes that an agent has no room for a tier, until its next report. */
function markFull(
  state: entryState.EntryState,
  agent: entryState.AgentView,
  tierRank: number,
): void {
  const { maxQueued } = entryState.getLimits(state, agent.service);
  const queuedByTier = (agent.load?.queuedByTier ?? []).slice(0, tierRank + 1);
  const known = agent.load ?? schema.create(schema.AgentLoadSchema);
  agent.load = { ...known, queued: Math.max(known.queued, maxQueued), queuedByTier };
}

/** Asks further agents after a refusal. */
export function handleReserveRefused(
  state: entryState.EntryState,
  backendServerId: string,
  refused: schema.ReserveRefused,
  now: number,
): Effects {
  const request = findWaiting(state, refused.requestId, now);
  if (!request?.reservedAt.has(backendServerId)) {
    return [effect.observe({ kind: 'dropped', reason: effect.DropReason.UNKNOWN_REQUEST })];
  }
  if (refused.code === schema.ResultCode.DEADLINE_UNREACHABLE) {
    request.deadlineRefusedBy.add(backendServerId);
  }
  const agent = state.agents.get(backendServerId);
  if (agent !== undefined && FULL_CODES.has(refused.code)) {
    markFull(state, agent, request.tierRank);
  }
  const line = effect.logDecision('reserve-refused', {
    request: request.requestId,
    backendServer: backendServerId,
    result: schema.ResultCode[refused.code],
  });
  return [line, ...handleSlotRefused(state, request, backendServerId, now)];
}
