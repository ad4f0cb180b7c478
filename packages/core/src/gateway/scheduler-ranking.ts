/** Chooses which gateway schedules a cell, from this gateway's view of its peers. */
import * as scheduler from '../scheduler/index.js';
import * as gatewayLoad from './gateway-load.js';
import * as peerCounts from './peer-counts.js';
import * as peerView from './peer-view.js';

export type SchedulerRanking = {
  computedMs: number;
  revision: number;
  /** Share of the known gateways, including this one, that are reachable. */
  reachableShare: number;
  /** Gateways that may schedule, and their order for each cell that has been ranked so far. */
  addresses: string[];
  byCell: Map<string, scheduler.SchedulerOrder>;
  /** Until when each scheduler that did not reply is skipped, in milliseconds. */
  unreachableUntilMs: Map<string, number>;
};

/** The scheduler of a cell, and the share of the cell's slots that it may grant. */
export type ChosenScheduler = { address: string; placeShare: number };

/** Unreachable gateways drop out of the ranking within this time, in milliseconds. */
const MAX_RANKING_AGE_MS = 500;
/**
 * Gateways with less than this share of the strongest gateway's processor time schedule no
 * cells: VMs differ sixfold, and scheduling a cell on a weak one delays its own callers.
 */
const MIN_PROCESSOR_SHARE = 0.5;
/**
 * How long a scheduler that did not reply is skipped, in milliseconds. One that was killed is
 * back after a second or two, and its last reports still count until then.
 */
const SKIP_MS = 1500;
/**
 * A gateway that skips more than this number of schedulers ahead of itself assumes that it is cut
 * off from the others. Another gateway then schedules the cell for them, and this one uses only
 * the share of the slots that corresponds to its share of the callers.
 */
const MAX_SKIPPED = 2;
/** A gateway also assumes this if less than this share of the known gateways is reachable. */
const MIN_REACHABLE_SHARE = 0.25;

/** Creates a ranking that is computed at its first use. */
export function createSchedulerRanking(): SchedulerRanking {
  return {
    computedMs: -Infinity,
    revision: -1,
    reachableShare: 1,
    addresses: [],
    byCell: new Map(),
    unreachableUntilMs: new Map(),
  };
}

/** This gateway as a candidate. */
export type OwnCandidate = peerCounts.SchedulerCandidate & {
  /** It has announced that it is leaving; false if absent. */
  isLeaving?: boolean;
};

/**
 * Lists the gateways that are strong enough to schedule. Those that are saturated are passed over
 * unless all are: their grants would be late. This one is left out once it has announced that it is
 * leaving, unless it is the only one: the others then ask another scheduler, and the slots of a
 * cell that two gateways schedule would be granted twice.
 */
function listCapableGateways(view: peerView.PeerView, own: OwnCandidate, now: number): string[] {
  const others = peerCounts.listSchedulerCandidates(view, now);
  const all = own.isLeaving === true && others.length > 0 ? others : [own, ...others];
  const strongest = Math.max(...all.map(({ processorPercent }) => processorPercent));
  const capable = all.filter(
    ({ processorPercent }) => processorPercent >= MIN_PROCESSOR_SHARE * strongest,
  );
  const unsaturated = capable.filter(
    ({ loadPercent }) => !gatewayLoad.isSaturatedPercent(loadPercent),
  );
  return (unsaturated.length > 0 ? unsaturated : capable).map(({ address }) => address);
}

/** Recomputes an outdated ranking for the gateways that are reachable now. */
function updateRanking(
  ranking: SchedulerRanking,
  view: peerView.PeerView,
  own: OwnCandidate,
  now: number,
): void {
  if (ranking.revision === view.revision && now - ranking.computedMs <= MAX_RANKING_AGE_MS) {
    return;
  }
  ranking.computedMs = now;
  ranking.revision = view.revision;
  const all = peerCounts.countGateways(view);
  ranking.reachableShare = (all - peerCounts.countUnreachablePeers(view, now)) / all;
  updateOrders(ranking, listCapableGateways(view, own, now));
}

/**
 * Updates the orders of all cells incrementally for the gateways that may schedule now. When a
 * fleet of hundreds of gateways starts, they become known one at a time; ranking dozens of cells
 * from scratch each time would take all processor time of a small VM for seconds.
 */
function updateOrders(ranking: SchedulerRanking, addresses: string[]): void {
  const before = new Set(ranking.addresses);
  const after = new Set(addresses);
  const added = addresses.filter((one) => !before.has(one));
  const gone = new Set(ranking.addresses.filter((one) => !after.has(one)));
  if (added.length + gone.size === 0) {
    return;
  }
  ranking.addresses = addresses;
  ranking.byCell.forEach((order, cell) =>
    ranking.byCell.set(cell, scheduler.updateSchedulerOrder(cell, order, added, gone)),
  );
}

/** Records that a scheduler did not reply. */
export function markUnreachable(ranking: SchedulerRanking, address: string, now: number): void {
  ranking.unreachableUntilMs.set(address, now + SKIP_MS);
}

/** Records that a scheduler has replied. */
export function clearUnreachable(ranking: SchedulerRanking, address: string): void {
  ranking.unreachableUntilMs.delete(address);
}

/** Returns whether a scheduler is skipped. */
function isUnreachable(
  { unreachableUntilMs }: SchedulerRanking,
  address: string,
  now: number,
): boolean {
  return now < (unreachableUntilMs.get(address) ?? -Infinity);
}

/**
 * Chooses the scheduler of a cell: the first in its order that replies. If none of the others
 * does, this gateway schedules for itself, even if it is too weak to schedule for others.
 */
export function chooseScheduler(
  ranking: SchedulerRanking,
  view: peerView.PeerView,
  own: OwnCandidate,
  cellName: string,
  now: number,
): ChosenScheduler {
  updateRanking(ranking, view, own, now);
  const order =
    ranking.byCell.get(cellName) ?? scheduler.rankSchedulers(cellName, ranking.addresses);
  ranking.byCell.set(cellName, order);
  const skipped = order.findIndex(
    ({ id }) => id === own.address || !isUnreachable(ranking, id, now),
  );
  const address = skipped === -1 ? own.address : order[skipped].id;
  const { reachableShare } = ranking;
  const isCutOff = skipped === -1 || skipped > MAX_SKIPPED || reachableShare < MIN_REACHABLE_SHARE;
  return { address, placeShare: isCutOff ? reachableShare : 1 };
}
