/** The agent's decisions: one event in, the effects it calls for out. */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as documentStore from '../shared/document-store.js';
import * as effect from '../shared/effect.js';
import * as agentEvent from './agent-event.js';
import * as agentState from './agent-state.js';
import * as answers from './answers.js';
import * as claims from './claims.js';
import * as engineRuns from './engine-runs.js';
import * as entryLinks from './entry-links.js';
import * as offers from './offers.js';
import * as runRecord from './run-record.js';
import * as runs from './runs.js';

type Effects = agentEvent.AgentEffect[];
type EventOf<K extends agentEvent.AgentEvent['kind']> = Extract<agentEvent.AgentEvent, { kind: K }>;

/** Routes one message of an entry to its decision. */
function handleEntryMessage(
  state: agentState.AgentState,
  event: EventOf<'entryMessage'>,
  now: number,
): Effects {
  const { linkId } = event;
  const { body } = event.message;
  entryLinks.noteHeard(state, linkId, now);
  switch (body.case) {
    case 'hello':
      return entryLinks.acceptHello(state, linkId, body.value);
    case 'heartbeat':
      return entryLinks.handleHeartbeat(state, linkId, body.value, now);
    case 'offer':
      return offers.acceptOffer(state, linkId, body.value, now);
    case 'withdraw':
      return offers.withdraw(state, linkId, body.value, now);
    case 'resume':
      return offers.resume(state, linkId, body.value, now);
    case 'cancel':
      return offers.cancel(state, linkId, body.value, now);
    case 'acknowledge':
      if (body.value.ref !== undefined) {
        answers.acknowledge(state, attemptRef.toRefKey(body.value.ref), body.value.nextSequence);
      }
      return [];
    case 'claim':
      return claims.replyClaim(state, linkId, body.value, now);
    case 'documentRequest':
      return entryLinks.replyDocument(state, linkId, body.value);
    case 'documentBody':
      return [{ kind: 'documentReceived', json: body.value.json }];
    default:
      return [];
  }
}

/** Takes a newer document into force. */
function applyDocument(state: agentState.AgentState, event: EventOf<'documentRead'>): Effects {
  const { document } = event.stored;
  if (document.service !== state.service) {
    return [];
  }
  if (!documentStore.storeDocument(state.documents, event.stored)) {
    return documentStore.noteRefused(state.documents, event.stored);
  }
  const own = document.backendServers.find((server) => server.id === state.backendServerId);
  const leaving = own === undefined || own.state >= schema.BackendServerState.LEAVING;
  state.leaving = state.leaving || leaving;
  return [
    effect.logDecision('document', {
      service: document.service,
      version: document.version,
      leaving,
    }),
  ];
}

/** Forgets attempts whose late copies would be refused as stale anyway. */
function expireRecords(state: agentState.AgentState, now: number): void {
  const timing = agentState.getTiming(state);
  const keepMs = timing.keyWindowMs + 2 * timing.clockSkewMs;
  [...state.runs.values()]
    .filter((record) => runRecord.isEnded(record) && now - record.changedMs > keepMs)
    .forEach((record) => state.runs.delete(record.refKey));
}

/** Refuses queued attempts whose deadline has passed. */
function refuseOverdue(state: agentState.AgentState, now: number): Effects {
  return state.queue.items
    .map((item) => state.runs.get(item.refKey))
    .filter((record) => record?.offer !== undefined && now >= record.offer.deadlineMs)
    .flatMap((record) =>
      record === undefined
        ? []
        : runs.refuse(state, record, schema.ResultCode.DEADLINE_UNREACHABLE, now),
    );
}

/** Stops once leaving, with nothing queued or running. */
function stopWhenIdle(state: agentState.AgentState): Effects {
  const idle = state.queue.items.length === 0 && state.running.size === 0;
  if (!state.shutdownStarted || state.stopped || !idle) {
    return [];
  }
  state.stopped = true;
  return [{ kind: 'stopped' }];
}

/** Does what is due by time alone. */
function handleTick(state: agentState.AgentState, now: number): Effects {
  expireRecords(state, now);
  return [
    ...refuseOverdue(state, now),
    ...entryLinks.sendDueHeartbeats(state, now),
    ...runs.startQueued(state, now),
    ...stopWhenIdle(state),
  ];
}

/** Refuses what has not started; what runs is left to end. */
function startShutdown(state: agentState.AgentState, now: number): Effects {
  state.leaving = true;
  state.shutdownStarted = true;
  const refused = state.queue.items
    .map((item) => state.runs.get(item.refKey))
    .flatMap((record) =>
      record === undefined ? [] : runs.refuse(state, record, schema.ResultCode.SHUTTING_DOWN, now),
    );
  return [...refused, ...entryLinks.sendHeartbeats(state, now), ...stopWhenIdle(state)];
}

/**
 * Applies one event to the agent's state.
 *
 * @param now present time, milliseconds since the Unix epoch
 */
export function handleAgentEvent(
  state: agentState.AgentState,
  event: agentEvent.AgentEvent,
  now: number,
): Effects {
  switch (event.kind) {
    case 'linkOpened':
      return entryLinks.openLink(state, event.linkId, now);
    case 'linkClosed':
      entryLinks.closeLink(state, event.linkId);
      return [];
    case 'entryMessage':
      return handleEntryMessage(state, event, now);
    case 'engineHead':
    case 'engineData':
    case 'engineEnd':
    case 'engineFailed':
      return engineRuns.handleEngineEvent(state, event, now);
    case 'engineAvailable':
      state.engineAvailable = event.available;
      return runs.startQueued(state, now);
    case 'documentRead':
      return applyDocument(state, event);
    case 'ticked':
      return handleTick(state, now);
    case 'shutdownStarted':
      return startShutdown(state, now);
    default:
      return [];
  }
}
