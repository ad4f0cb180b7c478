/** What this gateway knows of the backend servers of a cell, for its own scheduler. */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as scheduler from '../scheduler/index.js';
import * as pendingAsks from './pending-asks.js';
import type * as backendServers from './backend-servers.js';
import type * as configuration from './configuration.js';
import type * as gatewayState from './gateway-state.js';
import * as peerView from './peer-view.js';
import * as warmUpTimes from './warm-up-times.js';

/** Requests a second that one is given at least: with none it would never be used. */
const LEAST_IN_SECOND = 1;

/** Computes what a backend server of a service bears while it warms up. */
function computeWarmUpLimit(
  traits: configuration.WarmUpTraits | undefined,
  { factor, extra }: gatewayState.WarmUpTolerance,
): scheduler.WarmUpLimit | undefined {
  if (traits === undefined) {
    return undefined;
  }
  const maxInOneSecond = Math.max(traits.perSecond * factor + extra, LEAST_IN_SECOND);
  return { ...traits, maxInOneSecond };
}

/**
 * Computes the part of the gateways that are heard, this one included. One that has heard
 * nobody yet, though its settings name others, does not know how many give places out.
 */
function computeHeardShare(state: gatewayState.GatewayState, now: number): number {
  const { peers, seeds } = state;
  return peers.byAddress.size === 0 && seeds.length > 0
    ? 0
    : 1 - peerView.countUnreachablePeers(peers, now) / peerView.countGateways(peers);
}

/**
 * A backend server is news for this long after it was first seen, milliseconds: the others
 * read the store less often, and lose a call at times.
 */
const NEWS_MS = 4000;

/** Lists the entries that other gateways may not have read yet. */
function listNews(
  known: readonly backendServers.KnownServer[],
  now: number,
): Map<string, backendServerEntry.BackendServerEntry> {
  const recent = known.filter(({ firstSeenMs }) => now - firstSeenMs < NEWS_MS);
  return new Map(recent.map(({ entry }) => [entry.id, entry]));
}

/** Describes what this gateway's own scheduler may give out of a cell. */
export function findCellServers(
  state: gatewayState.GatewayState,
  cellName: string,
  now: number,
): scheduler.CellServers {
  const service = scheduler.parseCellService(cellName);
  const entries = pendingAsks.getServiceCells(state, service, now).usableByCell.get(cellName) ?? [];
  const known = entries
    .map(({ id }) => state.servers.byId.get(id))
    .filter((one) => one !== undefined);
  const declared = state.index?.serviceByName.get(service);
  const warmUp = computeWarmUpLimit(declared?.warmUp, state.bounds.warmUpTolerance);
  return {
    entries,
    tokensPerEvent: declared?.engine?.tokensPerEvent ?? 1,
    placeShare: pendingAsks.chooseScheduler(state, cellName, now).placeShare,
    reachableShare: computeHeardShare(state, now),
    hasPeers: state.peers.byAddress.size > 0,
    warmUp,
    recentEntries: listNews(known, now),
    warmUpEndMs: warmUpTimes.listWarming(state.servers, known, state.index, now),
  };
}
