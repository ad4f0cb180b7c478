/** Late binding: handles agents' grants and refusals of slots. */
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

/** Refusals because the agent's queue is full. */
const FULL_CODES = new Set([schema.ResultCode.QUEUE_FULL, schema.ResultCode.EVICTED]);

/** Returns a request that is waiting and not in backoff before a retry. */
function findWaiting(
  state: entryState.EntryState,
  requestId: string,
  now: number,
): entryState.EntryRequest | undefined {
  const request = state.requests.get(requestId);
  const waits = request?.status === entryState.RequestStatus.WAITING && now >= request.retryAtMs;
  return waits ? request : undefined;
}

/** Whether a granted slot should be released unused. */
function isUnwanted(
  request: entryState.EntryRequest,
  agent: entryState.AgentView,
  now: number,
): boolean {
  const others = [...request.reservedAt].some((id) => id !== agent.backendServerId);
  return !candidates.isUsable(agent) || (others && agentHealth.isEjected(agent.health, now));
}

/** Records a refused slot, and asks further agents where needed. */
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
 * Assigns a request to the first agent that grants a slot.
 *
 * A grant may arrive late, when its request is at another agent or has ended. Its
 * slot is released then. Only an offer can start an attempt.
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

/** Records that an agent has no room for a tier until its next report. */
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
