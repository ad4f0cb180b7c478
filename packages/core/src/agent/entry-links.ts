/** Links to entries: hello messages, heartbeats in both directions and exchange of documents. */
import * as schema from '@toucanproxy/schema';
import * as documentStore from '../shared/document-store.js';
import * as suspects from '../shared/suspects.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as places from './places.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** Opens a link and announces this agent and its process incarnation. */
export function openLink(state: agentState.AgentState, linkId: number, now: number): Effects {
  state.links.set(linkId, {
    linkId,
    entryId: '',
    lastReceivedMs: now,
    lastSentMs: now,
    heartbeatsSent: 0,
    suspectsRevision: -1,
  });
  const hello = schema.create(schema.AgentHelloSchema, {
    backendServerId: state.backendServerId,
    agentLife: state.life,
    lifeBeganMs: state.lifeBeganMs,
  });
  // The heartbeat goes first: an entry with an older document learns of the
  // newer version before the hello allows it to send offers.
  return [
    ...sendHeartbeat(state, linkId, now),
    agentMessages.sendToEntry(linkId, { case: 'hello', value: hello }),
  ];
}

/** Removes a link; its attempts continue and can be resumed over another link. */
export function closeLink(state: agentState.AgentState, linkId: number): void {
  state.links.delete(linkId);
  state.runs.forEach((record) => record.subscribers.delete(linkId));
}

/** Records the time of the last message received over a link. */
export function recordReceived(state: agentState.AgentState, linkId: number, now: number): void {
  const link = state.links.get(linkId);
  if (link !== undefined) {
    link.lastReceivedMs = now;
  }
}

/** Records which entry is at the other end of a link. */
export function acceptHello(
  state: agentState.AgentState,
  linkId: number,
  hello: schema.EntryHello,
): Effects {
  const link = state.links.get(linkId);
  if (link !== undefined) {
    link.entryId = hello.entryId;
  }
  return [];
}

/** Checks the document version of an entry's heartbeat and requests the document if it is newer. */
export function handleHeartbeat(
  state: agentState.AgentState,
  linkId: number,
  heartbeat: schema.EntryHeartbeat,
  now: number,
): Effects {
  const conflict = documentStore.noteVersion(state.documents, heartbeat.document);
  const entryVersion = heartbeat.document?.version ?? 0;
  const isNewer = entryVersion > documentStore.getVersion(state.documents, state.service);
  if (
    !isNewer ||
    !documentStore.noteNewerVersion(state.newerSeen, state.service, entryVersion, now)
  ) {
    return conflict;
  }
  const request = schema.create(schema.DocumentRequestSchema, { service: state.service });
  return [agentMessages.sendToEntry(linkId, { case: 'documentRequest', value: request })];
}

/** Sends the active document to an entry that requested it. */
export function sendDocument(
  state: agentState.AgentState,
  linkId: number,
  request: schema.DocumentRequest,
): Effects {
  const stored = state.documents.get(request.service);
  if (stored === undefined) {
    return [];
  }
  const body = schema.create(schema.DocumentBodySchema, { json: stored.json });
  return [agentMessages.sendToEntry(linkId, { case: 'documentBody', value: body })];
}

/** Describes the present load for a heartbeat. */
function describeLoad(state: agentState.AgentState): schema.AgentLoad {
  return schema.create(schema.AgentLoadSchema, {
    queued: startQueue.countQueued(state.queue),
    running: places.countUsed(state),
    queuedTokens: startQueue.countTokens(state.queue),
    runningTokens: places.countUsedTokens(state),
    tokensPerSecond: places.getTokensPerSecond(state),
    leaving: state.leaving,
    queuedByTier: startQueue.countByTier(state.queue),
  });
}

/** Sends one heartbeat over one link. */
function sendHeartbeat(state: agentState.AgentState, linkId: number, now: number): Effects {
  const link = state.links.get(linkId);
  if (link === undefined) {
    return [];
  }
  link.lastSentMs = now;
  link.heartbeatsSent += 1;
  const suspectsChanged = link.suspectsRevision !== state.suspects.revision;
  link.suspectsRevision = state.suspects.revision;
  const heartbeat = schema.create(schema.AgentHeartbeatSchema, {
    document: documentStore.describeVersion(state.documents, state.service),
    sequence: link.heartbeatsSent,
    load: describeLoad(state),
    suspects: suspectsChanged ? suspects.listSuspects(state.suspects) : [],
  });
  return [agentMessages.sendToEntry(linkId, { case: 'heartbeat', value: heartbeat })];
}

/** Sends a heartbeat over every link. */
export function sendHeartbeats(state: agentState.AgentState, now: number): Effects {
  return [...state.links.keys()].flatMap((linkId) => sendHeartbeat(state, linkId, now));
}

/**
 * Sends heartbeats that are due and closes links over which nothing was received in time.
 *
 * A middlebox may drop a connection that both ends consider open: bytes are
 * lost without an error. Heartbeats in both directions detect this; the link is
 * closed, and the entry resumes its attempts over a new connection.
 */
export function sendDueHeartbeats(state: agentState.AgentState, now: number): Effects {
  const timing = agentState.getTiming(state);
  return [...state.links.values()].flatMap((link): Effects => {
    if (now - link.lastReceivedMs > timing.heartbeatTimeoutMs) {
      closeLink(state, link.linkId);
      return [{ kind: 'closeLink', linkId: link.linkId }];
    }
    const isDue = now - link.lastSentMs >= timing.heartbeatIntervalMs;
    return isDue ? sendHeartbeat(state, link.linkId, now) : [];
  });
}
