/**
 * Late binding of requests to backend servers: queues reservations and releases
 * those that are no longer needed.
 *
 * Nothing here starts a request. A reservation, grant or release that is lost,
 * delayed or duplicated costs one slot for at most `HOLD_MS`.
 */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as admission from './admission.js';
import * as agentEvent from './agent-event.js';
import * as agentState from './agent-state.js';
import * as engineSpeed from './engine-speed.js';
import * as holds from './holds.js';
import * as refusals from './refusals.js';
import * as runs from './runs.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** Queues a reservation, or refuses it under the same conditions as an offer. */
function enqueueReservation(
  state: agentState.AgentState,
  linkId: number,
  reserve: schema.Reserve,
  now: number,
): Effects {
  const { requestId } = reserve;
  const admitted = admission.admit(state, reserve, now);
  if (admitted.kind === 'refused') {
    const refused = refusals.sendReserveRefused(state, linkId, requestId, admitted.code);
    return [...admitted.effects, ...refused];
  }
  state.reservations.set(requestId, { linkId, reserve, queuedMs: now });
  startQueue.enqueue(state.queue, {
    kind: startQueue.QueuedKind.RESERVATION,
    id: requestId,
    tierRank: reserve.tierRank,
    workspace: reserve.workspace,
    weight: reserve.weight,
    estimatedTokens: reserve.estimatedTokens,
    deadlineMs: reserve.deadlineMs,
  });
  return [...admitted.effects, ...runs.startQueued(state, now)];
}

/** Handles a reservation. A duplicate only updates the link to which the grant is sent. */
export function acceptReserve(
  state: agentState.AgentState,
  linkId: number,
  reserve: schema.Reserve,
  now: number,
): Effects {
  const hold = state.holds.get(reserve.requestId);
  if (hold !== undefined) {
    hold.linkId = linkId;
    return [holds.sendGrant(hold, now)];
  }
  const queued = state.reservations.get(reserve.requestId);
  if (queued !== undefined) {
    queued.linkId = linkId;
    return [effect.observe({ kind: 'dropped', reason: effect.DropReason.DUPLICATE })];
  }
  return enqueueReservation(state, linkId, reserve, now);
}

/** Removes a reservation from the queue. */
export function dropQueued(state: agentState.AgentState, requestId: string): void {
  state.reservations.delete(requestId);
  startQueue.removeItem(state.queue, startQueue.QueuedKind.RESERVATION, requestId);
}

/** Releases the reservation or the held slot of a request that no longer needs it. */
export function release(state: agentState.AgentState, requestId: string, now: number): Effects {
  const queued = startQueue.findItem(state.queue, startQueue.QueuedKind.RESERVATION, requestId);
  if (queued !== undefined) {
    engineSpeed.recordDequeued(state.speed, queued.estimatedTokens);
  }
  dropQueued(state, requestId);
  holds.dropHold(state, requestId);
  return runs.startQueued(state, now);
}

/** Releases the reservations and held slots of an entry whose link has closed. */
export function releaseLink(state: agentState.AgentState, linkId: number, now: number): Effects {
  [...state.reservations.values()]
    .filter((one) => one.linkId === linkId)
    .forEach((one) => dropQueued(state, one.reserve.requestId));
  [...state.holds.values()]
    .filter((hold) => hold.linkId === linkId)
    .forEach((hold) => holds.dropHold(state, hold.requestId));
  return runs.startQueued(state, now);
}
