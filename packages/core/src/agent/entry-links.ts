/** Links to entries: hello, heartbeats in both directions, and document spread. */
import * as schema from '@toucanproxy/schema';
import * as documentStore from '../shared/document-store.js';
import * as suspects from '../shared/suspects.js';
import * as agentEvent from './agent-event.js';
import * as agentMessages from './agent-messages.js';
import * as agentState from './agent-state.js';
import * as places from './places.js';
import * as startQueue from '../shared/start-queue.js';

type Effects = agentEvent.AgentEffect[];

/** Opens a link and says which life answers on it. */
export function openLink(state: agentState.AgentState, linkId: number, now: number): Effects {
  state.links.set(linkId, {
    linkId,
    entryId: '',
    lastHeardMs: now,
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
  // newer one before the hello lets it offer anything here.
  return [
    ...sendHeartbeat(state, linkId, now),
    agentMessages.sendToEntry(linkId, { case: 'hello', value: hello }),
  ];
}

/** Forgets a link; attempts go on and are resumed over another. */
export function closeLink(state: agentState.AgentState, linkId: number): void {
  state.links.delete(linkId);
  state.runs.forEach((record) => record.subscribers.delete(linkId));
}

/** Notes that a link is alive. */
export function noteHeard(state: agentState.AgentState, linkId: number, now: number): void {
  const link = state.links.get(linkId);
  if (link !== undefined) {
    link.lastHeardMs = now;
  }
}

/** Learns which entry is at the other end. */
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

/** Asks for the entry's document where it is newer than ours. */
export function handleHeartbeat(
  state: agentState.AgentState,
  linkId: number,
  heartbeat: schema.EntryHeartbeat,
  now: number,
): Effects {
  const conflict = documentStore.noteVersion(state.documents, heartbeat.document);
  const theirs = heartbeat.document?.version ?? 0;
  const newer = theirs > documentStore.getVersion(state.documents, state.service);
  if (!newer || !documentStore.noteNewerVersion(state.newerSeen, state.service, theirs, now)) {
    return conflict;
  }
  const request = schema.create(schema.DocumentRequestSchema, { service: state.service });
  return [agentMessages.sendToEntry(linkId, { case: 'documentRequest', value: request })];
}

/** Sends the document in force to an entry that asked for it. */
export function replyDocument(
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

/** Describes the present load. */
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
  const changed = link.suspectsRevision !== state.suspects.revision;
  link.suspectsRevision = state.suspects.revision;
  const heartbeat = schema.create(schema.AgentHeartbeatSchema, {
    document: documentStore.describeVersion(state.documents, state.service),
    sequence: link.heartbeatsSent,
    load: describeLoad(state),
    suspects: changed ? suspects.listSuspects(state.suspects) : [],
  });
  return [agentMessages.sendToEntry(linkId, { case: 'heartbeat', value: heartbeat })];
}

/** Sends a heartbeat over every link. */
export function sendHeartbeats(state: agentState.AgentState, now: number): Effects {
  return [...state.links.keys()].flatMap((linkId) => sendHeartbeat(state, linkId, now));
}

/**
 * Sends heartbeats that are due and gives up links that have gone silent.
 *
 * A middlebox may have lost a connection while both ends think it open: bytes
 * vanish and no error comes. Heartbeats in both directions turn that silence
 * into a close, and the entry resumes over a new connection.
 */
export function sendDueHeartbeats(state: agentState.AgentState, now: number): Effects {
  const timing = agentState.getTiming(state);
  return [...state.links.values()].flatMap((link): Effects => {
    if (now - link.lastHeardMs > timing.heartbeatTimeoutMs) {
      closeLink(state, link.linkId);
      return [{ kind: 'closeLink', linkId: link.linkId }];
    }
    const due = now - link.lastSentMs >= timing.heartbeatIntervalMs;
    return due ? sendHeartbeat(state, link.linkId, now) : [];
  });
}
