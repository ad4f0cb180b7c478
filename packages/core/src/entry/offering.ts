/**
 * Sends offers. Once an offer is sent, only the agent's reports decide what
 * became of the attempt.
 */
import * as schema from '@toucanproxy/schema';
import * as requestAccounting from './request-accounting.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';

/** Makes an attempt the current one of a request, and adds it to the accounting of its agent. */
export function setTarget(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  target: entryState.Target,
): void {
  request.status = entryState.RequestStatus.OFFERED;
  requestAccounting.addTarget(state, request, target);
}

/** Offers a request to one agent under its own attempt number. */
export function sendOffer(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  agent: entryState.AgentView,
  ref: schema.AttemptRef,
): entryEvent.EntryEffect[] {
  const target: entryState.Target = {
    backendServerId: agent.backendServerId,
    agentLife: agent.agentLife,
    ref,
    // The arrival time, not the time of sending: an entry that pauses between its
    // decision and the offer must not make a stale offer look fresh.
    issuedMs: request.arrivedMs,
    joined: false,
    nextSequence: 0,
    started: false,
    withdrawnMs: 0,
  };
  setTarget(state, request, target);
  const body = entryMessages.buildOffer(request, target);
  return [entryMessages.sendToAgent(agent.backendServerId, body)];
}
