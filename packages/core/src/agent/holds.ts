/** Places that are kept free for requests on their way. */
import * as effect from '../shared/effect.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as reservation from './reservation.js';

type Effects = agentEvent.AgentEffect[];

/** Tells an entry that a place is held for its request. */
export function sendGrant(hold: reservation.Hold, now: number): agentEvent.AgentEffect {
  const holdMs = Math.max(Math.ceil(hold.untilMs - now), 0);
  return agentMessages.sendToEntry(hold.linkId, agentMessages.buildGrant(hold.requestId, holdMs));
}

/** Holds a place for a reservation; it counts as used until given up. */
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

/** Frees a held place; undefined where none was held. */
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

/** Gives up places whose requests have not come in time. */
export function expireHolds(state: agentState.AgentState, now: number): Effects {
  const lapsed = [...state.holds.values()].filter((hold) => now >= hold.untilMs);
  return lapsed.map((hold) => {
    dropHold(state, hold.requestId);
    return effect.logDecision('hold-lapsed', { request: hold.requestId });
  });
}
