/** Joins a call to the attempt that an earlier call with its key has started. */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import * as heldAttempts from './held-attempts.js';
import * as linkOpening from './link-opening.js';
import * as offering from './offering.js';

/**
 * Age of a binding from which on its attempt is asked for, milliseconds.
 *
 * An agent that is asked for an attempt it does not know refuses its offer from
 * then on. Asked too soon, two entries with one key would undo each other's
 * attempts in turn; the pause lets the call that bound the key offer it.
 */
const JOIN_GRACE_MS = 500;

/** A join that waits until the bound attempt has had time to be offered. */
export type PendingJoin = { target: entryState.Target; dueMs: number };

/** Reads the attempt to join from a home's answer; undefined where noAgent can be asked for it. */
export function parseJoin(
  state: entryState.EntryState,
  reply: schema.ClaimReply,
  now: number,
): PendingJoin | undefined {
  const { ref, backendServerId, agentLife, issuedMs } = reply;
  if (ref === undefined || !state.agents.has(backendServerId)) {
    return undefined;
  }
  const target = {
    backendServerId,
    agentLife,
    ref,
    issuedMs,
    joined: true,
    nextSequence: 0,
    started: false,
    withdrawnMs: 0,
  };
  return { target, dueMs: now + Math.max(0, JOIN_GRACE_MS - reply.boundForMs) };
}

/** Asks for the whole answer of the attempt, over a new link where there is none. */
export function startJoin(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  target: entryState.Target,
  now: number,
): entryEvent.EntryEffect[] {
  offering.setTarget(state, request, target);
  heldAttempts.addJoin(state, attemptRef.toRefKey(target.ref), request.requestId);
  const agent = state.agents.get(target.backendServerId);
  if (agent === undefined) {
    return [];
  }
  // Where the link is still to open, the agent's hello brings the question.
  const body = entryMessages.buildResume(request, target);
  const resume = agent.linked ? [entryMessages.sendToAgent(agent.backendServerId, body)] : [];
  return [...linkOpening.openOnDemand(agent, now), ...resume];
}
