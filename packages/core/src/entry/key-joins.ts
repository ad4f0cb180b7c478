/** Joins a call to the attempt that an earlier call with the same key started. */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import * as heldAttempts from './held-attempts.js';
import * as linkOpening from './link-opening.js';
import * as offering from './offering.js';

/**
 * Minimum age of a binding before its attempt is requested from the agent,
 * milliseconds.
 *
 * An agent that is asked for an attempt it does not know refuses its offer from
 * then on. If the agent were asked too early, two entries with the same key would
 * keep undoing each other's attempts. The delay gives the call that bound the key
 * time to offer its attempt.
 */
const JOIN_GRACE_MS = 500;

/** A join that waits until the bound attempt has had time to be offered. */
export type PendingJoin = { target: entryState.Target; dueMs: number };

/** Reads the attempt to join from a home's reply; undefined if the reply names no known agent. */
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

/** Requests the complete response of the attempt, over a new link if there is none. */
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
  // If the link still has to open, the message is sent when the agent's hello
  // arrives.
  const body = entryMessages.buildResume(request, target);
  const resume = agent.linked ? [entryMessages.sendToAgent(agent.backendServerId, body)] : [];
  return [...linkOpening.openOnDemand(agent, now), ...resume];
}
