/**
 * Late binding: queues reservations and gives up those no longer needed.
 *
 * Nothing here starts a request. A reservation, grant or release that is lost,
 * late or doubled costs one place for `HOLD_MS` at most.
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

/** Queues a reservation, or refuses it where an offer would be refused. */
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

/** Decides on a reservation; a copy renews the link that the grant goes to. */
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

/** Takes a reservation out of the queue. */
export function dropQueued(state: agentState.AgentState, requestId: string): void {
  state.reservations.delete(requestId);
  startQueue.removeItem(state.queue, startQueue.QueuedKind.RESERVATION, requestId);
}

/** Gives up what an entry no longer needs. */
export function release(state: agentState.AgentState, requestId: string, now: number): Effects {
  const queued = startQueue.findItem(state.queue, startQueue.QueuedKind.RESERVATION, requestId);
  if (queued !== undefined) {
    engineSpeed.noteDrained(state.speed, queued.estimatedTokens);
  }
  dropQueued(state, requestId);
  holds.dropHold(state, requestId);
  return runs.startQueued(state, now);
}

/** Gives up the reservations and places of an entry whose link has gone. */
export function dropLink(state: agentState.AgentState, linkId: number, now: number): Effects {
  [...state.reservations.values()]
    .filter((one) => one.linkId === linkId)
    .forEach((one) => dropQueued(state, one.reserve.requestId));
  [...state.holds.values()]
    .filter((hold) => hold.linkId === linkId)
    .forEach((hold) => holds.dropHold(state, hold.requestId));
  return runs.startQueued(state, now);
}
