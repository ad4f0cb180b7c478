/** Applies an event to the entry's state and returns the resulting effects. */
import * as schema from '@toucanproxy/schema';
import * as documentIndex from '../shared/document-index.js';
import * as documentStore from '../shared/document-store.js';
import * as effect from '../shared/effect.js';
import * as requestAccounting from './request-accounting.js';
import * as suspects from '../shared/suspects.js';
import * as admission from './admission.js';
import * as agentLinks from './agent-links.js';
import * as attemptReports from './attempt-reports.js';
import * as deadlines from './deadlines.js';
import * as dispatch from './dispatch.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as grants from './grants.js';
import * as keyClaims from './key-claims.js';
import * as linkOpening from './link-opening.js';
import * as membership from './membership.js';
import * as outcomes from './outcomes.js';
import * as parking from './parking.js';
import * as shutdown from './shutdown.js';

type Effects = entryEvent.EntryEffect[];
type EventOf<K extends entryEvent.EntryEvent['kind']> = Extract<entryEvent.EntryEvent, { kind: K }>;

/** Admits a request, or rejects it immediately. */
function handleArrival(
  state: entryState.EntryState,
  event: EventOf<'requestArrived'>,
  now: number,
): Effects {
  const { request: arrived } = event;
  const decision = admission.admit(state, arrived, now);
  if (decision.kind === 'rejected') {
    const { callerId, service } = arrived;
    const { failure } = decision;
    return [
      effect.logDecision('rejected', { service, result: schema.ResultCode[failure.code] }),
      effect.observe({ kind: 'outcome', service, tier: '', code: failure.code, inTime: false }),
      { kind: 'answerFailure', callerId, requestId: '', ...failure },
    ];
  }
  const { request } = decision;
  if (decision.kind === 'closing') {
    requestAccounting.addRequest(state, request, now);
    return outcomes.fail(state, request, decision.failure, now);
  }
  return dispatch.placeNew(state, request, now);
}

/**
 * Whether a message shows that its agent has room. A refusal does not: a waiting
 * request would immediately be sent again, and be refused again.
 */
function isCapacityFreed({ body }: schema.AgentMessage): boolean {
  switch (body.case) {
    case 'failed':
      return true;
    case 'part':
      return body.value.content.case === 'end';
    case 'notRun':
      return body.value.code === schema.ResultCode.CANCELLED;
    default:
      return false;
  }
}

/** Handles a message of an agent, and retries waiting requests if the agent has room. */
function handleAgentMessage(
  state: entryState.EntryState,
  event: EventOf<'agentMessage'>,
  now: number,
): Effects {
  const effects = routeAgentMessage(state, event, now);
  const view = state.agents.get(event.backendServerId);
  return isCapacityFreed(event.message) && view !== undefined
    ? [...effects, ...parking.retryParked(state, view, now, 1)]
    : effects;
}

/** Dispatches one message of an agent to its handler. */
function routeAgentMessage(
  state: entryState.EntryState,
  event: EventOf<'agentMessage'>,
  now: number,
): Effects {
  const { backendServerId: id } = event;
  const { body } = event.message;
  const view = state.agents.get(id);
  if (view !== undefined) {
    view.lastReceivedMs = now;
  }
  switch (body.case) {
    case 'hello':
      return agentLinks.acceptHello(state, id, body.value, now);
    case 'heartbeat':
      return agentLinks.handleHeartbeat(state, id, body.value, now);
    case 'part':
      return attemptReports.handlePart(state, id, body.value, now);
    case 'started':
      return attemptReports.handleStarted(state, id, body.value, now);
    case 'notRun':
      return attemptReports.handleNotRun(state, id, body.value, now);
    case 'failed':
      return attemptReports.handleRunFailed(state, id, body.value, now);
    case 'grant':
      return grants.handleGrant(state, id, body.value, now);
    case 'reserveRefused':
      return grants.handleReserveRefused(state, id, body.value, now);
    case 'claimReply':
      return keyClaims.handleClaimReply(state, id, body.value, now);
    case 'documentRequest':
      return agentLinks.replyDocument(state, id, body.value);
    case 'documentBody':
      return [{ kind: 'documentReceived', json: body.value.json }];
    default:
      return [];
  }
}

/** Activates a document that is newer than the active one. */
function applyDocument(
  state: entryState.EntryState,
  event: EventOf<'documentRead'>,
  now: number,
): Effects {
  const { document } = event.stored;
  if (!documentStore.storeDocument(state.documents, event.stored)) {
    return documentStore.noteRefusedDocument(state.documents, event.stored);
  }
  const service = entryState.getService(state, document.service);
  service.index = documentIndex.getDocumentIndex(document);
  service.lastLinkedMs = service.lastLinkedMs || now;
  const closed = membership.applyBackendServers(state, document, now);
  return [
    effect.logDecision('document', { service: document.service, version: document.version }),
    ...closed,
    ...admission.checkWaiting(state, document, now),
    ...parking.retryAllParked(state, document.service, now),
    ...agentLinks.openWanted(state, now),
  ];
}

/** Stops once every request has ended. */
function stopWhenIdle(state: entryState.EntryState): Effects {
  if (!state.shutdownStarted || state.stopped || state.requests.size > 0) {
    return [];
  }
  state.stopped = true;
  return [{ kind: 'stopped' }];
}

/** Performs what is due by time. */
function handleTick(state: entryState.EntryState, now: number): Effects {
  suspects.expireSuspects(state.suspects, now);
  return [
    ...deadlines.handleAllDue(state, now),
    ...keyClaims.handleDue(state, now),
    ...agentLinks.sendDueHeartbeats(state, now),
    ...agentLinks.openWanted(state, now),
    ...stopWhenIdle(state),
  ];
}

/** Handlers of the follow-ups. */
const FOLLOW_UP_HANDLERS = {
  place: dispatch.placeAgain,
  ask: dispatch.askAgain,
  close: keyClaims.startClose,
};

/** Applies the follow-ups of the current event. */
function applyFollowUps(state: entryState.EntryState, now: number): Effects {
  const effects: Effects = [];
  let next = state.followUps.shift();
  while (next !== undefined) {
    const request = state.requests.get(next.requestId);
    if (request !== undefined) {
      effects.push(...FOLLOW_UP_HANDLERS[next.kind](state, request, now));
    }
    next = state.followUps.shift();
  }
  return effects;
}

/**
 * Applies one event to the entry's state.
 *
 * @param now current time, milliseconds since the Unix epoch
 */
export function handleEntryEvent(
  state: entryState.EntryState,
  event: entryEvent.EntryEvent,
  now: number,
): Effects {
  const effects = routeEvent(state, event, now);
  return [...effects, ...applyFollowUps(state, now)];
}

/** Dispatches one event to its handler. */
function routeEvent(
  state: entryState.EntryState,
  event: entryEvent.EntryEvent,
  now: number,
): Effects {
  switch (event.kind) {
    case 'requestArrived':
      return handleArrival(state, event, now);
    case 'callerLeft':
      return deadlines.handleCallerLeft(state, event.callerId, now);
    case 'linkOpened':
      return agentLinks.sendHello(state, event.backendServerId, now);
    case 'linkClosed':
      return linkOpening.handleLinkClosed(state, event.backendServerId, now);
    case 'agentMessage':
      return handleAgentMessage(state, event, now);
    case 'documentRead':
      return applyDocument(state, event, now);
    case 'vmsLeaving':
      membership.applyLeavingList(state, event.addresses);
      return [];
    case 'ticked':
      return handleTick(state, now);
    case 'shutdownStarted':
      shutdown.startShutdown(state, event.graceMs ?? 0, now);
      return stopWhenIdle(state);
    default:
      return [];
  }
}
