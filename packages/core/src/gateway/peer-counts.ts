/** Which of the other gateways may be serving, and how many share the limits of the system. */
import * as peerView from './peer-view.js';

/** A peer is reachable for at least this time after a report, in milliseconds: five rounds. */
const MIN_REACHABLE_MS = 1000;
/** The same as a number of passes over all peers, if one round does not reach all of them. */
const REACHABLE_PASSES = 3;

/** Counts the gateways that may be serving, including this one. */
export function countGateways(view: peerView.PeerView): number {
  return view.byAddress.size + 1;
}

/** Counts the gateways that have left recently and have not been heard again since. */
function countDeparted({ byAddress, departed }: peerView.PeerView): number {
  if (departed.size === 0) {
    return 0;
  }
  const addresses = [...departed.keys()].map(peerView.parseAddress);
  return new Set(addresses.filter((address) => !byAddress.has(address))).size;
}

/**
 * Counts the gateways among which a shared limit is divided, with those that left recently: they may
 * have used their part within the present window. Shortly after a start few gateways have been
 * heard, so that there are at least as many as the seeds that the settings name, and this one.
 */
export function countSharers(view: peerView.PeerView, seeds: readonly string[]): number {
  return Math.max(countGateways(view) + countDeparted(view), seeds.length + 1);
}

/** Computes how long a peer is reachable after a report, in milliseconds. */
function computeReachableMs(view: peerView.PeerView): number {
  const passMs = peerView.REPORT_MS * Math.ceil(view.byAddress.size / peerView.MAX_FAN_OUT);
  return Math.max(MIN_REACHABLE_MS, REACHABLE_PASSES * passMs);
}

/** Lists the reachable peers by address. */
function listReachable(view: peerView.PeerView, now: number): [string, peerView.Peer][] {
  const reachableMs = computeReachableMs(view);
  return [...view.byAddress].filter(([, peer]) => now - peer.heardMs <= reachableMs);
}

/** Counts the unreachable peers: known ones whose reports have stopped. */
export function countUnreachablePeers(view: peerView.PeerView, now: number): number {
  return view.byAddress.size - listReachable(view, now).length;
}

/** Lists the addresses of the reachable peers. */
export function listReachablePeers(view: peerView.PeerView, now: number): string[] {
  return listReachable(view, now).map(([address]) => address);
}

/** Returns whether a reachable peer of a failure domain has a load of at most `maxPercent`. */
export function hasSparePeer(
  view: peerView.PeerView,
  domain: string,
  maxPercent: number,
  now: number,
): boolean {
  return listReachable(view, now).some(
    ([, { failureDomain, loadPercent }]) => failureDomain === domain && loadPercent <= maxPercent,
  );
}

/** A gateway that may be the scheduler of cells. */
export type SchedulerCandidate = {
  address: string;
  processorPercent: number;
  loadPercent: number;
};

/** Lists the reachable peers with the processor time available to them and their load. */
export function listSchedulerCandidates(
  view: peerView.PeerView,
  now: number,
): SchedulerCandidate[] {
  return listReachable(view, now).map(([address, { processorPercent, loadPercent }]) => ({
    address,
    processorPercent,
    loadPercent,
  }));
}
