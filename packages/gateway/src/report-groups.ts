/**
 * Reports of a gateway in a large fleet over several failure domains: to its own group in each
 * round, and to some gateways of the other groups, which pass them on. `report-plan.ts` of the core
 * has the plan of a round; outside such a fleet it is a rotation, and nothing is sent here.
 */
import * as gateway from '@toucanproxy/core/gateway';
import type * as schema from '@toucanproxy/schema';
import * as reportRelay from './report-relay.js';
import * as reportRounds from './report-rounds.js';

type UseTotal = { workspace: string; used: number };

export type GroupReports = {
  state: gateway.GatewayState;
  readNow: () => number;
  send: (addresses: readonly string[], content: schema.PeerMessage['content']) => void;
  /** Builds a report with the given peers and totals; `round` selects some if there are many. */
  build: (round: number, peers: string[], used: UseTotal[]) => schema.GatewayReport;
  useChanges: gateway.UseChanges;
  /** Reports to pass on to the own group. */
  queue: reportRelay.RelayQueue;
  lastRoundMs: number;
  /** When an incarnation of another gateway last appeared, milliseconds. */
  newPeerMs: number;
};

/** A round of reports. */
export type ReportRound = {
  sequence: number;
  isLeaving: boolean;
  /** All gateways that reports may be sent to. */
  addresses: readonly string[];
  /** The report that gateways get which do not take part in groups. */
  full: schema.GatewayReport;
};

/**
 * Time for which reports go to all gateways in turn after an incarnation of a gateway appeared,
 * milliseconds: it learns of the others from them, and they of it.
 */
const NEW_PEER_ROUNDS_MS = 3000;
/** Rounds from one report with unchanged totals and peers to the next. */
const FULL_REPORT_ROUNDS = 15;
/** Number of unchanged totals in such a report. */
const MAX_UNCHANGED = 20;
/**
 * How long the own group gets a changed total, in milliseconds; over two rounds, as a datagram may
 * be lost.
 */
const NEAR_CHANGED_MS = 500;
/** How long other groups get it, in addition to the time of two reports to them, milliseconds. */
const RELAY_MARGIN_MS = 100;

/** Creates the state of reports in groups. */
export function createGroupReports(
  means: Pick<GroupReports, 'state' | 'readNow' | 'send' | 'build'>,
): GroupReports {
  const now = means.readNow();
  const empty = { useChanges: new Map(), queue: new Map() };
  return { ...means, ...empty, lastRoundMs: now, newPeerMs: now };
}

/** Plans a round. */
function computePlan(
  { state, readNow }: GroupReports,
  { sequence, isLeaving, addresses }: Omit<ReportRound, 'full'>,
): gateway.ReportPlan {
  const { address, failureDomain, peers } = state;
  const reachable = new Set(gateway.listReachablePeers(peers, readNow()));
  const members = addresses.map((member) => ({
    address: member,
    failureDomain: gateway.findPeerDomain(peers, member),
    isReachable: reachable.has(member),
  }));
  const sender = { address, failureDomain, sequence };
  return isLeaving
    ? gateway.computeLeavingPlan(sender, members)
    : gateway.computeReportPlan(sender, members);
}

/** Passes the reports of gateways of other groups on to the own group. */
function sendRelayed({ queue, readNow, send }: GroupReports, near: readonly string[]): void {
  reportRelay
    .takeRelayed(queue, readNow())
    .forEach((value) => send(near, { case: 'relayed', value }));
}

/** Sends the reports of a round that follows a plan with groups. */
function sendReports(
  groups: GroupReports,
  { near, relays, turn, relayMs, unknown }: Extract<gateway.ReportPlan, { kind: 'groups' }>,
  { sequence, full }: ReportRound,
): void {
  const { state, useChanges, build, send } = groups;
  const now = groups.readNow();
  const all = gateway.listUse(state.quotas, Infinity);
  const isFull = gateway.isFullRound(state.address, sequence, FULL_REPORT_ROUNDS);
  const peers = isFull ? full.peers : [];
  const addUnchanged = (changed: UseTotal[]) => {
    const unchanged = all.filter((one) => !changed.includes(one));
    const round = Math.floor(sequence / FULL_REPORT_ROUNDS);
    const most = isFull ? Math.max(MAX_UNCHANGED - changed.length, 0) : 0;
    return [...changed, ...reportRounds.pickForRound(unchanged, round, most)];
  };
  const nearUse = gateway.listChangedUse(useChanges, all, now - NEAR_CHANGED_MS);
  const nearReport = build(sequence, peers, addUnchanged(nearUse));
  send(near, { case: 'report', value: nearReport });
  const relaySinceMs = now - 2 * relayMs - RELAY_MARGIN_MS;
  const relayUse = gateway.listChangedUse(useChanges, all, relaySinceMs);
  const relayReport = { ...build(turn, peers, addUnchanged(relayUse)), relay: true };
  send(relays, { case: 'report', value: relayReport });
  const rotated = reportRounds.pickForRound(unknown, sequence, gateway.MAX_FAN_OUT);
  send(rotated, { case: 'report', value: full });
}

/**
 * Sends the reports of a round; returns false if they go to all gateways in turn instead. Reports
 * of others are passed on in either case.
 */
export function sendRound(groups: GroupReports, round: ReportRound): boolean {
  const now = groups.readNow();
  groups.lastRoundMs = now;
  gateway.noteUse(groups.useChanges, gateway.listUse(groups.state.quotas, Infinity), now);
  const plan = computePlan(groups, round);
  if (plan.kind === 'rotation') {
    return false;
  }
  sendRelayed(groups, plan.near);
  if (now - groups.newPeerMs < NEW_PEER_ROUNDS_MS && !round.isLeaving) {
    return false;
  }
  sendReports(groups, plan, round);
  return true;
}

/** Handles a report of another gateway: it is passed on if its sender asks for that. */
export function handleReport(
  groups: GroupReports,
  received: schema.GatewayReport,
  isNewLife: boolean,
  listAddresses: () => string[],
): void {
  const now = groups.readNow();
  if (isNewLife) {
    groups.newPeerMs = now;
  }
  reportRelay.enqueueReport(groups.queue, received, groups.lastRoundMs, now);
  if (received.relay && received.leaving) {
    const addresses = listAddresses();
    const plan = computePlan(groups, { sequence: 0, isLeaving: false, addresses });
    sendRelayed(groups, plan.kind === 'groups' ? plan.near : []);
  }
}
