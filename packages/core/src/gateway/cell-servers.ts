/** What this gateway knows of the backend servers of a cell, for its own scheduler. */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as scheduler from '../scheduler/index.js';
import * as asking from './asking.js';
import type * as configuration from './configuration.js';
import type * as gatewayState from './gateway-state.js';
import * as peerView from './peer-view.js';
import * as warmUpTimes from './warm-up-times.js';

/** Computes what a backend server of a service bears while it warms up. */
function computeWarmUpLimit(
  traits: configuration.WarmUpTraits | undefined,
  { factor, extra }: gatewayState.WarmUpTolerance,
): scheduler.WarmUpLimit | undefined {
  return traits && { ...traits, mostInSecond: Math.max(traits.perSecond * factor + extra, 1) };
}

/**
 * Computes the part of the gateways that are heard, this one included. One that has heard
 * nobody yet, though its settings name others, does not know how many give places out.
 */
function computeHeardShare(state: gatewayState.GatewayState, now: number): number {
  const { peers, seeds } = state;
  return peers.byAddress.size === 0 && seeds.length > 0
    ? 0
    : 1 - peerView.countSilent(peers, now) / peerView.countGateways(peers);
}

/**
 * A backend server is news for this long after it was first seen, milliseconds: the others
 * read the store less often, and lose a call at times.
 */
const NEWS_MS = 4000;

/** Lists the entries that other gateways may not have read yet. */
function listNews(
  { servers }: gatewayState.GatewayState,
  entries: readonly backendServerEntry.BackendServerEntry[],
  now: number,
): Map<string, backendServerEntry.BackendServerEntry> {
  const recent = entries.filter(({ id }) => {
    const firstSeenMs = servers.byId.get(id)?.firstSeenMs ?? -Infinity;
    return now - firstSeenMs < NEWS_MS;
  });
  return new Map(recent.map((entry) => [entry.id, entry]));
}

/** Lists until when each of some backend servers warms up, those that do. */
function listWarming(
  { servers }: gatewayState.GatewayState,
  serverIds: readonly string[],
  durationMs: number,
  now: number,
): Map<string, number> {
  const times = serverIds.flatMap((id) => {
    const known = servers.byId.get(id);
    const untilMs = known && warmUpTimes.computeWarmUntil(servers, known, durationMs);
    return untilMs !== undefined && untilMs > now ? [[id, untilMs] as const] : [];
  });
  return new Map(times);
}

/** Describes what this gateway's own scheduler may give out of a cell. */
export function findCellServers(
  state: gatewayState.GatewayState,
  cellName: string,
  now: number,
): scheduler.CellServers {
  const service = scheduler.parseCellService(cellName);
  const entries = asking.getSplit(state, service, now).usableByCell.get(cellName) ?? [];
  const declared = state.index?.serviceByName.get(service);
  const warmUp = computeWarmUpLimit(declared?.warmUp, state.bounds.warmUpTolerance);
  const ids = entries.map(({ id }) => id);
  return {
    entries,
    tokensPerEvent: declared?.engine?.tokensPerEvent ?? 1,
    placeShare: asking.chooseScheduler(state, cellName, now).placeShare,
    heardShare: computeHeardShare(state, now),
    hasPeers: state.peers.byAddress.size > 0,
    warmUp,
    news: listNews(state, entries, now),
    warmUntilMs: warmUp ? listWarming(state, ids, warmUp.durationMs, now) : new Map(),
  };
}
