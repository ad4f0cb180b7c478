/** Slots of the engine that are held for requests whose offers are expected. */
import * as effect from '../shared/effect.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as reservation from './reservation.js';

type Effects = agentEvent.AgentEffect[];

/** Grants an entry the slot that is held for its request, for the rest of the hold. */
export function sendGrant(hold: reservation.Hold, now: number): agentEvent.AgentEffect {
  const holdMs = Math.max(Math.ceil(hold.untilMs - now), 0);
  return agentMessages.sendToEntry(hold.linkId, agentMessages.buildGrant(hold.requestId, holdMs));
}

/** Holds a slot for a reservation; it counts as used until it is dropped. */
export function holdPlace(
  state: agentState.AgentState,
  queued: reservation.Reservation,
  estimatedTokens: number,
  now: number,
): Effects {
  const { linkId, reserve } = queued;
  const { requestId, tierRank } = reserve;
  const hold = { requestId, linkId, tierRank, estimatedTokens, untilMs: now + reservation.HOLD_MS };
  state.holds.set(requestId, hold);
  state.heldTokens += estimatedTokens;
  return [
    effect.logDecision('grant', {
      request: requestId,
      tierRank,
      waitedMs: now - queued.queuedMs,
      held: state.holds.size,
      running: state.running.size,
    }),
    sendGrant(hold, now),
  ];
}

/** Frees a held slot and returns its hold; undefined where none was held. */
export function dropHold(
  state: agentState.AgentState,
  requestId: string,
): reservation.Hold | undefined {
  const hold = state.holds.get(requestId);
  if (hold !== undefined) {
    state.holds.delete(requestId);
    state.heldTokens -= hold.estimatedTokens;
  }
  return hold;
}

/** Frees slots whose requests were not offered in time. */
export function expireHolds(state: agentState.AgentState, now: number): Effects {
  const expired = [...state.holds.values()].filter((hold) => now >= hold.untilMs);
  return expired.map((hold) => {
    dropHold(state, hold.requestId);
    return effect.logDecision('hold-lapsed', { request: hold.requestId });
  });
}
