/** Describes the backend servers of a cell to this gateway's own scheduler. */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as scheduler from '../scheduler/index.js';
import * as pendingAsks from './pending-asks.js';
import type * as backendServers from './backend-servers.js';
import type * as configuration from './configuration.js';
import type * as gatewayState from './gateway-state.js';
import * as peerCounts from './peer-counts.js';
import * as warmUpTimes from './warm-up-times.js';

/** Minimum request rate during warm-up: with a limit of 0 a backend server would never be used. */
const MIN_REQUESTS_PER_SECOND = 1;

/** Computes the request limit of each backend server of a service during its warm-up. */
function computeWarmUpLimit(
  traits: configuration.WarmUpTraits | undefined,
  { factor, extra }: gatewayState.WarmUpTolerance,
): scheduler.WarmUpLimit | undefined {
  if (traits === undefined) {
    return undefined;
  }
  const maxInOneSecond = Math.max(traits.perSecond * factor + extra, MIN_REQUESTS_PER_SECOND);
  return { ...traits, maxInOneSecond };
}

/**
 * Computes the share of gateways that are reachable, including this one. The share is 0 if no peer
 * has reported yet although the settings name some, because the number of gateways that grant
 * slots is then unknown.
 */
function computeReachableShare(state: gatewayState.GatewayState, now: number): number {
  const { peers, seeds } = state;
  return peers.byAddress.size === 0 && seeds.length > 0
    ? 0
    : 1 - peerCounts.countUnreachablePeers(peers, now) / peerCounts.countGateways(peers);
}

/**
 * How long a backend server's store entry is sent along with grants after the server was first
 * seen, in milliseconds. The other gateways read the store less often, and some of their calls
 * fail.
 */
const RECENT_ENTRY_MS = 4000;

/** Lists the store entries that other gateways may not have read yet. */
function listRecentEntries(
  known: readonly backendServers.KnownServer[],
  now: number,
): Map<string, backendServerEntry.BackendServerEntry> {
  const recent = known.filter(({ firstSeenMs }) => now - firstSeenMs < RECENT_ENTRY_MS);
  return new Map(recent.map(({ entry }) => [entry.id, entry]));
}

/** Describes the backend servers of a cell, and which slots this gateway's scheduler may grant. */
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
    areEngines: declared?.engine !== undefined,
    maxPauseMs: state.index?.maxPauseByService.get(service) ?? Infinity,
    placeShare: pendingAsks.chooseScheduler(state, cellName, now).placeShare,
    reachableShare: computeReachableShare(state, now),
    toleratedDomainLosses: state.bounds.toleratedDomainLosses,
    hasPeers: state.peers.byAddress.size > 0,
    warmUp,
    recentEntries: listRecentEntries(known, now),
    warmUpEndMs: warmUpTimes.listWarming(state.servers, known, state.index, now),
  };
}
