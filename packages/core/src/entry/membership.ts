/** Which backend servers this entry knows, to which it keeps links, and which get new work. */
import * as schema from '@toucanproxy/schema';
import * as agentHealth from './agent-health.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as linkOpening from './link-opening.js';
import * as linkSelection from './link-selection.js';

type Effects = entryEvent.EntryEffect[];

/** Creates the view of a backend server that a document names for the first time. */
function createView(service: string, server: schema.BackendServer): entryState.AgentView {
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
    lastReceivedMs: 0,
    lastSentMs: 0,
    heartbeatsSent: 0,
    load: undefined,
    outstandingTokens: 0,
    nextOpenMs: 0,
    kept: false,
    lastNeededMs: 0,
    heldIds: new Set(),
    reservedIds: new Set(),
    health: agentHealth.createAgentHealth(),
    suspectsSent: 0,
  };
}

/**
 * Updates one view from a document. If the address has changed, the link is
 * opened anew, because the process at the old address is no longer that agent.
 */
function applyBackendServer(
  state: entryState.EntryState,
  service: string,
  server: schema.BackendServer,
  now: number,
): Effects {
  const known = state.agents.get(server.id);
  const view = known ?? createView(service, server);
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
  return moved ? linkOpening.abandonLink(state, view, now) : [];
}

/** Updates the views from a document that has become active. */
export function applyBackendServers(
  state: entryState.EntryState,
  document: schema.ServiceDocument,
  now: number,
): Effects {
  const effects = document.backendServers.flatMap((server) =>
    applyBackendServer(state, document.service, server, now),
  );
  const named = new Set(document.backendServers.map((server) => server.id));
  const views = listServiceAgents(state, document.service);
  views
    .filter((view) => !named.has(view.backendServerId))
    .forEach((view) => {
      view.documentLeaving = true;
      view.kept = false;
      updateLeaving(view);
    });
  updateKeptLinks(
    state,
    views.filter((view) => named.has(view.backendServerId)),
  );
  return effects;
}

/** Lists the views of one service. */
function listServiceAgents(state: entryState.EntryState, service: string): entryState.AgentView[] {
  return [...state.agents.values()].filter((view) => view.service === service);
}

/** Combines the three sources that can mark an agent as leaving. */
export function updateLeaving(view: entryState.AgentView): void {
  view.leaving = view.documentLeaving || view.listedLeaving || view.reportedLeaving;
}

/**
 * Withholds new work from VMs that the platform lists as leaving.
 *
 * The list lags behind and may still refer to the previous incarnation. For an
 * incarnation that began after the list first named its VM, only the agent's own
 * reports count.
 */
export function applyLeavingList(state: entryState.EntryState, addresses: readonly string[]): void {
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
 * Marks the links that this entry keeps for a service. A kept link to a leaving
 * agent stays until the agent closes it, and does not count towards the
 * selection.
 */
function updateKeptLinks(state: entryState.EntryState, views: entryState.AgentView[]): void {
  const staying = views.filter((view) => !view.documentLeaving);
  const { entryId, failureDomain, linksPerService } = state;
  const chosen = linkSelection.selectLinks(entryId, failureDomain, staying, linksPerService);
  const kept = new Set(chosen);
  views.forEach((view) => {
    const isDraining =
      view.kept && view.documentLeaving && !state.goneSeenMs.has(view.backendServerId);
    view.kept = isDraining || kept.has(view.backendServerId);
  });
}
