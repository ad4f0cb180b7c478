/** Starts an attempt of a request on the agent that was chosen for it. */
import * as attemptRef from '../shared/attempt-ref.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as keyClaims from './key-claims.js';
import * as offering from './offering.js';

/**
 * Offers a request to one agent under a new attempt number. If the request has a
 * key, the key is claimed first, and the offer follows once its homes have
 * granted the claim.
 */
export function startAttempt(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  agent: entryState.AgentView,
  now: number,
): entryEvent.EntryEffect[] {
  if (request.arrived.key !== '' && !request.claimSkipped) {
    return keyClaims.startBind(state, request, agent, now);
  }
  request.attempts += 1;
  const ref = attemptRef.buildRef(request.requestId, request.attempts);
  return offering.sendOffer(state, request, agent, ref);
}
