/** Which gateway schedules a cell, as this gateway sees it. */
import * as scheduler from '../scheduler/index.js';
import * as peerView from './peer-view.js';

export type SchedulerRanking = {
  computedMs: number;
  revision: number;
  /** Part of the gateways that are remembered, this one included, that are heard. */
  heardShare: number;
  /** Gateways that may schedule, and their order for each cell so far. */
  addresses: string[];
  byCell: Map<string, scheduler.SchedulerOrder>;
  /** Schedulers that did not answer, and until when they are passed over, ms. */
  silentUntilMs: Map<string, number>;
};

/** Who schedules a cell, and what part of the places it may give out. */
export type ChosenScheduler = { address: string; placeShare: number };

/** Gateways that fell silent drop out of the ranking within this time, milliseconds. */
const RANKING_MS = 500;
/**
 * Gateways with less of a processor than this part of the strongest one's schedule no
 * cell: VMs differ sixfold, and on a weak one the work of a cell delays its callers.
 */
const MIN_PROCESSOR_SHARE = 0.5;
/**
 * A scheduler that did not answer is passed over for this time, milliseconds: one that
 * was killed is back after a second or two, and reports tell of it until then.
 */
const SILENT_MS = 1500;
/**
 * Schedulers passed over before this gateway, above which it takes itself to be cut off
 * from the others. Another one then schedules the cell for them, and this one uses the
 * part of the places that its share of the callers needs.
 */
const CUT_OFF_PASSED = 2;
/** The same where it hears no more than this part of the gateways that it remembers. */
const CUT_OFF_HEARD = 0.25;

/** Creates a ranking that is worked out at its first use. */
export function createSchedulerRanking(): SchedulerRanking {
  return {
    computedMs: -Infinity,
    revision: -1,
    heardShare: 1,
    addresses: [],
    byCell: new Map(),
    silentUntilMs: new Map(),
  };
}

/** Lists the gateways that may schedule. */
function listSchedulers(
  view: peerView.PeerView,
  own: peerView.SchedulerCandidate,
  now: number,
): string[] {
  const all = [own, ...peerView.listSchedulerCandidates(view, now)];
  const strongest = Math.max(...all.map(({ processorPercent }) => processorPercent));
  return all
    .filter(({ processorPercent }) => processorPercent >= MIN_PROCESSOR_SHARE * strongest)
    .map(({ address }) => address);
}

/** Brings the ranking in line with the gateways that are heard. */
function updateRanking(
  ranking: SchedulerRanking,
  view: peerView.PeerView,
  own: peerView.SchedulerCandidate,
  now: number,
): void {
  if (ranking.revision === view.revision && now - ranking.computedMs <= RANKING_MS) {
    return;
  }
  ranking.computedMs = now;
  ranking.revision = view.revision;
  const all = peerView.countGateways(view);
  ranking.heardShare = (all - peerView.countUnreachablePeers(view, now)) / all;
  applyAddresses(ranking, listSchedulers(view, own, now));
}

/**
 * Brings the orders of all cells in line with the gateways that may schedule. Load pattern: a
 * fleet of hundreds starts, and each gateway becomes known by itself; ranked anew each time, dozens of cells
 * take all of a small VM's processor for seconds.
 */
function applyAddresses(ranking: SchedulerRanking, addresses: string[]): void {
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

/** Notes that a scheduler did not answer. */
export function markUnreachable(ranking: SchedulerRanking, address: string, now: number): void {
  ranking.silentUntilMs.set(address, now + SILENT_MS);
}

/** Notes that a scheduler has answered. */
export function clearUnreachable(ranking: SchedulerRanking, address: string): void {
  ranking.silentUntilMs.delete(address);
}

/** Tells whether a scheduler is passed over. */
function isSilent({ silentUntilMs }: SchedulerRanking, address: string, now: number): boolean {
  return now < (silentUntilMs.get(address) ?? -Infinity);
}

/**
 * Chooses who schedules a cell: the first in its order that answers. Where none of the
 * others does, this gateway schedules for itself, also where it is too weak to do so
 * for others.
 */
export function chooseScheduler(
  ranking: SchedulerRanking,
  view: peerView.PeerView,
  own: peerView.SchedulerCandidate,
  cellName: string,
  now: number,
): ChosenScheduler {
  updateRanking(ranking, view, own, now);
  const order =
    ranking.byCell.get(cellName) ?? scheduler.rankSchedulers(cellName, ranking.addresses);
  ranking.byCell.set(cellName, order);
  const passed = order.findIndex(({ id }) => id === own.address || !isSilent(ranking, id, now));
  const address = passed === -1 ? own.address : order[passed].id;
  const { heardShare } = ranking;
  const isCutOff = passed === -1 || passed > CUT_OFF_PASSED || heardShare < CUT_OFF_HEARD;
  return { address, placeShare: isCutOff ? heardShare : 1 };
}
