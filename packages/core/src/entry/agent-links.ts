/** Links to agents: opening, heartbeats in both directions, resumption. */
import * as schema from '@toucanproxy/schema';
import * as documentStore from '../shared/document-store.js';
import * as dispatch from './dispatch.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import * as keyClaim from './key-claim.js';
import * as linkOpening from './link-opening.js';
import * as linkSelection from './link-selection.js';

type Effects = entryEvent.EntryEffect[];

/** Pause before a link that failed is opened again, milliseconds. */
const REOPEN_MIN_MS = 100;
const REOPEN_SPREAD_MS = 400;

/** Makes the view of a backend server that a document names for the first time. */
function makeView(service: string, server: schema.BackendServer): entryState.AgentView {
  return {
    backendServerId: server.id,
    service,
    address: server.address,
    failureDomain: server.failureDomain,
    linked: false,
    opening: false,
    agentLife: '',
    lifeBeganMs: 0,
    leaving: false,
    documentLeaving: false,
    reportedLeaving: false,
    listedLeaving: false,
    listedLife: undefined,
    lastHeardMs: 0,
    lastSentMs: 0,
    heartbeatsSent: 0,
    load: undefined,
    outstandingTokens: 0,
    nextOpenMs: 0,
    kept: false,
    neededMs: 0,
    heldCount: 0,
  };
}

/**
 * Brings one view in line with a document. An agent that has moved to another
 * address is linked anew: the process at the old one is not it any more.
 */
function applyBackendServer(
  state: entryState.EntryState,
  service: string,
  server: schema.BackendServer,
  now: number,
): Effects {
  const known = state.agents.get(server.id);
  const view = known ?? makeView(service, server);
  const moved = view.address !== server.address && (view.linked || view.opening);
  view.address = server.address;
  view.failureDomain = server.failureDomain;
  view.documentLeaving = server.state >= schema.BackendServerState.LEAVING;
  updateLeaving(view);
  state.agents.set(server.id, view);
  const gone = server.goneInVersion > 0 || server.state === schema.BackendServerState.GONE;
  if (gone && !state.goneSeenMs.has(server.id)) {
    state.goneSeenMs.set(server.id, now);
  }
  return moved ? giveUpLink(state, view, now) : [];
}

/** Brings the views in line with a document that has come into force. */
export function applyBackendServers(
  state: entryState.EntryState,
  document: schema.ServiceDocument,
  now: number,
): Effects {
  const effects = document.backendServers.flatMap((server) =>
    applyBackendServer(state, document.service, server, now),
  );
  const named = new Set(document.backendServers.map((server) => server.id));
  const views = listOfService(state, document.service);
  views
    .filter((view) => !named.has(view.backendServerId))
    .forEach((view) => {
      view.documentLeaving = true;
      view.kept = false;
      updateLeaving(view);
    });
  keepLinks(
    state,
    views.filter((view) => named.has(view.backendServerId)),
  );
  return effects;
}

/** Lists the views of one service. */
function listOfService(state: entryState.EntryState, service: string): entryState.AgentView[] {
  return [...state.agents.values()].filter((view) => view.service === service);
}

/** Decides from all that is known whether an agent takes new work. */
export function updateLeaving(view: entryState.AgentView): void {
  view.leaving = view.documentLeaving || view.listedLeaving || view.reportedLeaving;
}

/**
 * Gives no more work to VMs that the platform lists as leaving.
 *
 * The list lags: it may still name the life before the present one. A life that
 * began after the list was first seen to name its VM is taken at its own word.
 */
export function markListed(state: entryState.EntryState, addresses: readonly string[]): void {
  const listed = new Set(addresses);
  state.agents.forEach((view) => {
    const isListed = listed.has(view.address);
    if (!isListed) {
      view.listedLife = undefined;
    } else if (!view.listedLife) {
      view.listedLife = view.agentLife;
    }
    view.listedLeaving = isListed && view.listedLife === view.agentLife;
    updateLeaving(view);
  });
}

/**
 * Marks the links that this entry keeps for a service. One to an agent that
 * leaves is kept until the agent closes it, without counting for the choice.
 */
function keepLinks(state: entryState.EntryState, views: entryState.AgentView[]): void {
  const staying = views.filter((view) => !view.documentLeaving);
  const { entryId, failureDomain, linksPerService } = state;
  const chosen = linkSelection.selectLinks(entryId, failureDomain, staying, linksPerService);
  const kept = new Set(chosen);
  views.forEach((view) => {
    const drains = view.kept && view.documentLeaving && !state.goneSeenMs.has(view.backendServerId);
    view.kept = drains || kept.has(view.backendServerId);
  });
}

/** Gives up a link; the attempts there are resumed over the next one. */
function giveUpLink(
  state: entryState.EntryState,
  view: entryState.AgentView,
  now: number,
): Effects {
  const { backendServerId } = view;
  handleLinkClosed(state, backendServerId, now);
  return [{ kind: 'closeLink', backendServerId }];
}

/** Opens links that are wanted and not open. */
export function openWanted(state: entryState.EntryState, now: number): Effects {
  return [...state.agents.values()].flatMap((view) => linkOpening.openIfWanted(view, now));
}

/** Says hello on a link that has opened. */
export function sendHello(state: entryState.EntryState, backendServerId: string): Effects {
  const hello = schema.create(schema.EntryHelloSchema, {
    entryId: state.entryId,
    entryLife: state.life,
    failureDomain: state.failureDomain,
  });
  return [entryMessages.sendToAgent(backendServerId, { case: 'hello', value: hello })];
}

/** Marks a link as gone; its requests wait to be resumed over a new one. */
export function handleLinkClosed(
  state: entryState.EntryState,
  backendServerId: string,
  now: number,
): Effects {
  const view = state.agents.get(backendServerId);
  if (view !== undefined) {
    view.linked = false;
    view.opening = false;
    keyClaim.noteHomeLost(state, backendServerId);
    view.nextOpenMs = now + REOPEN_MIN_MS + state.policy.drawRandom() * REOPEN_SPREAD_MS;
  }
  return [];
}

/** Lists the requests that one agent holds. */
export function listHeldBy(
  state: entryState.EntryState,
  backendServerId: string,
): entryState.EntryRequest[] {
  return [...state.requests.values()].filter(
    (request) => request.target?.backendServerId === backendServerId,
  );
}

/** Learns which life answers, and asks it for what this entry misses. */
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
  view.linked = true;
  view.opening = false;
  // What the platform's list and earlier heartbeats said was of another life.
  if (view.agentLife !== '' && view.agentLife !== hello.agentLife) {
    view.reportedLeaving = false;
    view.listedLeaving = false;
    updateLeaving(view);
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
  const claims = keyClaim.sendWaiting(state, backendServerId);
  return [...resumes, ...claims, ...dispatch.placeWaiting(state, view.service, now)];
}

/** Takes in an agent's load, and asks for its document where it is newer. */
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
  view.reportedLeaving = view.reportedLeaving || (heartbeat.load?.leaving ?? false);
  updateLeaving(view);
  const theirs = heartbeat.document?.version ?? 0;
  const newer = theirs > documentStore.getVersion(state.documents, view.service);
  const request = schema.create(schema.DocumentRequestSchema, { service: view.service });
  const ask = newer
    ? [entryMessages.sendToAgent(backendServerId, { case: 'documentRequest', value: request })]
    : [];
  return [...ask, ...dispatch.placeWaiting(state, view.service, now)];
}

/** Sends the document in force to an agent that asked for it. */
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
  const version = documentStore.getVersion(state.documents, view.service);
  const heartbeat = schema.create(schema.EntryHeartbeatSchema, {
    document: { service: view.service, version },
    sequence: view.heartbeatsSent,
  });
  const body = { case: 'heartbeat', value: heartbeat } as const;
  return [entryMessages.sendToAgent(view.backendServerId, body)];
}

/**
 * Sends heartbeats that are due and gives up links that have gone silent.
 *
 * A middlebox may have lost a connection while both ends think it open. The
 * agent keeps every answer until it is acknowledged, so giving up the link and
 * resuming over a new one repeats no run.
 */
export function sendDueHeartbeats(state: entryState.EntryState, now: number): Effects {
  return [...state.agents.values()].flatMap((view): Effects => {
    const timing = entryState.getTiming(state, view.service);
    const waitsForPeer = view.linked || view.opening;
    if (waitsForPeer && now - view.lastHeardMs > timing.heartbeatTimeoutMs) {
      return giveUpLink(state, view, now);
    }
    if (waitsForPeer && !linkOpening.isWanted(view, now)) {
      return giveUpLink(state, view, now);
    }
    const due = view.linked && now - view.lastSentMs >= timing.heartbeatIntervalMs;
    return due ? sendHeartbeat(state, view, now) : [];
  });
}
