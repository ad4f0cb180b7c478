/**
 * Tracks which agents were asked for a slot for which requests.
 *
 * A slot is one request's share of a backend server's concurrency, called a place
 * in other parts of the code.
 */
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';

type Effects = entryEvent.EntryEffect[];

/** Asks an agent for a slot. */
export function addReservation(
  request: entryState.EntryRequest,
  agent: entryState.AgentView,
): Effects {
  request.reservedAt.add(agent.backendServerId);
  agent.reservedIds.add(request.requestId);
  const body = entryMessages.buildReserve(request);
  return [entryMessages.sendToAgent(agent.backendServerId, body)];
}

/** Removes a reservation that its agent has ended. */
export function removeReservation(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  backendServerId: string,
): void {
  request.reservedAt.delete(backendServerId);
  state.agents.get(backendServerId)?.reservedIds.delete(request.requestId);
}

/** Builds the message that releases a slot at an agent. */
export function sendRelease(backendServerId: string, requestId: string): entryEvent.EntryEffect {
  return entryMessages.sendToAgent(backendServerId, entryMessages.buildRelease(requestId));
}

/** Releases every reservation of a request except the one that is used. */
export function releaseReservations(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  usedAt = '',
): Effects {
  const asked = [...request.reservedAt];
  asked.forEach((id) => removeReservation(state, request, id));
  return asked
    .filter((id) => id !== usedAt && state.agents.get(id)?.linked === true)
    .map((id) => sendRelease(id, request.requestId));
}
