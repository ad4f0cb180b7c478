/** Describes the state of an entry for its operator port. */
import * as core from '@toucanproxy/core';

/** The state of a backend server as this entry sees it. */
export enum ServerState {
  LIVE = 'live',
  LEAVING = 'leaving',
  /** Recently slow or failing; gets no work for a while. */
  EJECTED = 'ejected',
  /** Should be linked and is not: unreachable, timed out or not connected yet. */
  SILENT = 'silent',
  /** Not among the links that this entry keeps. */
  UNLINKED = 'unlinked',
}

export type TierCount = { service: string; tier: string; waiting: number; offered: number };

/** Returns the state of one backend server. */
export function toServerState(view: core.AgentView, now: number): ServerState {
  if (view.leaving) {
    return ServerState.LEAVING;
  }
  if (!view.linked) {
    return view.kept ? ServerState.SILENT : ServerState.UNLINKED;
  }
  return view.health.ejectedUntilMs > now ? ServerState.EJECTED : ServerState.LIVE;
}

/** Counts the held requests for every tier of every document, the most urgent first. */
export function countByTier(state: core.EntryState): TierCount[] {
  const requests = [...state.requests.values()];
  return [...state.documents].flatMap(([service, stored]) =>
    stored.document.tiers.map((tier) => {
      const ofTier = requests.filter(
        (request) => request.arrived.service === service && request.tierName === tier,
      );
      const waiting = ofTier.filter((request) => request.target === undefined).length;
      return { service, tier, waiting, offered: ofTier.length - waiting };
    }),
  );
}

/** Describes one backend server; times in milliseconds. */
function describeServer(view: core.AgentView, now: number): Record<string, unknown> {
  return {
    id: view.backendServerId,
    service: view.service,
    state: toServerState(view, now),
    failureDomain: view.failureDomain,
    address: view.address,
    life: view.agentLife,
    silentForMs: view.agentLife === '' ? 'never heard' : now - view.lastReceivedMs,
    queued: view.load?.queued ?? 0,
    running: view.load?.running ?? 0,
    ownTokens: view.outstandingTokens,
  };
}

/**
 * Describes an entry for `toucanproxy status`.
 *
 * @param now current time, milliseconds since the Unix epoch
 */
export function describeStatus(state: core.EntryState, now: number): unknown {
  return {
    role: 'entry',
    entryId: state.entryId,
    life: state.life,
    failureDomain: state.failureDomain,
    shuttingDown: state.shutdownStarted,
    documents: core.describeDocuments(state.documents),
    tiers: countByTier(state),
    backendServers: [...state.agents.values()].map((view) => describeServer(view, now)),
    suspects: core.listSuspects(state.suspects).map(({ contentDigest, crashes }) => ({
      contentDigest,
      crashes,
    })),
  };
}
