/** Links to agents: hello, heartbeats in both directions and resumption. */
import * as schema from '@toucanproxy/schema';
import * as documentStore from '../shared/document-store.js';
import * as suspects from '../shared/suspects.js';
import * as requestAccounting from './request-accounting.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import * as keyClaim from './key-claim.js';
import * as linkOpening from './link-opening.js';
import * as membership from './membership.js';
import * as parking from './parking.js';

type Effects = entryEvent.EntryEffect[];

/** Opens links that are needed and not open. */
export function openWanted(state: entryState.EntryState, now: number): Effects {
  return [...state.agents.values()].flatMap((view) => linkOpening.openIfWanted(view, now));
}

/** Sends the hello on a link that has opened. */
export function sendHello(
  state: entryState.EntryState,
  backendServerId: string,
  now: number,
): Effects {
  const hello = schema.create(schema.EntryHelloSchema, {
    entryId: state.entryId,
    entryLife: state.life,
    failureDomain: state.failureDomain,
  });
  const view = state.agents.get(backendServerId);
  return [
    entryMessages.sendToAgent(backendServerId, { case: 'hello', value: hello }),
    ...(view === undefined ? [] : sendHeartbeat(state, view, now)),
  ];
}

/** Lists the requests that one agent holds. */
export function listHeldBy(
  state: entryState.EntryState,
  backendServerId: string,
): entryState.EntryRequest[] {
  return [...(state.agents.get(backendServerId)?.heldIds ?? [])]
    .map((requestId) => state.requests.get(requestId))
    .filter((request) => request !== undefined);
}

/**
 * Records which incarnation of the agent answers, and asks it for everything that
 * this entry has not received.
 */
export function acceptHello(
  state: entryState.EntryState,
  backendServerId: string,
  hello: schema.AgentHello,
  now: number,
): Effects {
  const view = state.agents.get(backendServerId);
  if (view === undefined || hello.backendServerId !== backendServerId) {
    return [{ kind: 'closeLink', backendServerId }];
  }
  requestAccounting.markLinked(state, view, now);
  view.suspectsSent = 0;
  // The platform's list referred to an earlier incarnation. The heartbeat that
  // preceded this hello has reported whether the current one is leaving.
  if (view.agentLife !== '' && view.agentLife !== hello.agentLife) {
    view.listedLeaving = false;
    membership.updateLeaving(view);
  }
  view.agentLife = hello.agentLife;
  view.lifeBeganMs = hello.lifeBeganMs;
  const resumes = listHeldBy(state, backendServerId).flatMap((request) =>
    request.target === undefined
      ? []
      : [
          entryMessages.sendToAgent(
            backendServerId,
            entryMessages.buildResume(request, request.target),
          ),
        ],
  );
  const claims = keyClaim.sendPendingClaims(state, backendServerId);
  return [...resumes, ...claims, ...parking.retryParked(state, view, now)];
}

/** Applies an agent's load report, and requests its document if that is newer. */
export function handleHeartbeat(
  state: entryState.EntryState,
  backendServerId: string,
  heartbeat: schema.AgentHeartbeat,
  now: number,
): Effects {
  const view = state.agents.get(backendServerId);
  if (view === undefined) {
    return [];
  }
  view.load = heartbeat.load;
  const suspectsChanged = suspects.mergeSuspects(state.suspects, heartbeat.suspects, now);
  const suspectUpdates = suspectsChanged ? sendSuspects(state, now) : [];
  view.reportedLeaving = heartbeat.load?.leaving ?? false;
  membership.updateLeaving(view);
  const conflict = documentStore.noteVersion(state.documents, heartbeat.document);
  const agentVersion = heartbeat.document?.version ?? 0;
  const newer = agentVersion > documentStore.getVersion(state.documents, view.service);
  const due =
    newer && documentStore.noteNewerVersion(state.newerVersions, view.service, agentVersion, now);
  const request = schema.create(schema.DocumentRequestSchema, { service: view.service });
  const ask = due
    ? [entryMessages.sendToAgent(backendServerId, { case: 'documentRequest', value: request })]
    : [];
  return [...suspectUpdates, ...conflict, ...ask, ...parking.retryParked(state, view, now)];
}

/**
 * Sends new suspects to every agent at once.
 *
 * Content that crashed one engine may be sent again through this entry within
 * milliseconds. An agent that did not know of the first crash would count its own
 * as the first, and a third engine would run the content. On each link the
 * heartbeat precedes any later offer, so the agent knows of the suspect before it
 * starts the content.
 */
function sendSuspects(state: entryState.EntryState, now: number): Effects {
  return [...state.agents.values()]
    .filter((view) => view.linked && view.suspectsSent !== state.suspects.revision)
    .flatMap((view) => sendHeartbeat(state, view, now));
}

/** Sends the active document to an agent that asked for it. */
export function replyDocument(
  state: entryState.EntryState,
  backendServerId: string,
  request: schema.DocumentRequest,
): Effects {
  const stored = state.documents.get(request.service);
  if (stored === undefined) {
    return [];
  }
  const body = schema.create(schema.DocumentBodySchema, { json: stored.json });
  return [entryMessages.sendToAgent(backendServerId, { case: 'documentBody', value: body })];
}

/** Sends one heartbeat. */
function sendHeartbeat(
  state: entryState.EntryState,
  view: entryState.AgentView,
  now: number,
): Effects {
  view.lastSentMs = now;
  view.heartbeatsSent += 1;
  const document = documentStore.describeVersion(state.documents, view.service);
  const changed = view.suspectsSent !== state.suspects.revision;
  view.suspectsSent = state.suspects.revision;
  const heartbeat = schema.create(schema.EntryHeartbeatSchema, {
    suspects: changed ? suspects.listSuspects(state.suspects) : [],
    document,
    sequence: view.heartbeatsSent,
  });
  const body = { case: 'heartbeat', value: heartbeat } as const;
  return [entryMessages.sendToAgent(view.backendServerId, body)];
}

/**
 * Sends heartbeats that are due, and closes links that have timed out or are no
 * longer needed.
 *
 * A middlebox may have dropped a connection that both ends consider open. The
 * agent keeps every response until it is acknowledged, so the entry can close the
 * link and resume over a new one without repeating any run.
 */
export function sendDueHeartbeats(state: entryState.EntryState, now: number): Effects {
  return [...state.agents.values()].flatMap((view): Effects => {
    const timing = entryState.getTiming(state, view.service);
    const waitsForPeer = view.linked || view.opening;
    if (waitsForPeer && now - view.lastReceivedMs > timing.heartbeatTimeoutMs) {
      return linkOpening.abandonLink(state, view, now);
    }
    if (waitsForPeer && !linkOpening.isWanted(view, now)) {
      return linkOpening.abandonLink(state, view, now);
    }
    const due = view.linked && now - view.lastSentMs >= timing.heartbeatIntervalMs;
    return due ? sendHeartbeat(state, view, now) : [];
  });
}
