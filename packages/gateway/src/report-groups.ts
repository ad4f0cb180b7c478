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
  startedMs: number;
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
/** Time after its start for which a gateway sends short reports to all others, milliseconds. */
const GREETING_MS = 2000;
/** Rounds in which each of the others gets one. */
const GREETING_ROUNDS = 3;
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
  return { ...means, ...empty, startedMs: now, lastRoundMs: now, newPeerMs: now };
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

/** Lists the known gateways of the own failure domain. */
function listOwnDomain(
  { state }: GroupReports,
  { addresses }: Pick<ReportRound, 'addresses'>,
): string[] {
  return addresses.filter(
    (address) => gateway.findPeerDomain(state.peers, address) === state.failureDomain,
  );
}

/** Sends the reports of a round that follows a plan with groups. */
function sendReports(
  groups: GroupReports,
  { near, relays, turn, relayMs, unknown }: Extract<gateway.ReportPlan, { kind: 'groups' }>,
  { sequence, full, addresses }: ReportRound,
  all: readonly UseTotal[],
): void {
  const { state, useChanges, build, send } = groups;
  const now = groups.readNow();
  const isFull = gateway.isFullRound(state.address, sequence, FULL_REPORT_ROUNDS);
  const peers = isFull ? full.peers : [];
  const addUnchanged = (changed: UseTotal[]) => {
    if (!isFull) {
      return changed;
    }
    const omitted = new Set(changed);
    const unchanged = all.filter((one) => !omitted.has(one));
    const round = Math.floor(sequence / FULL_REPORT_ROUNDS);
    const most = Math.max(MAX_UNCHANGED - changed.length, 0);
    return [...changed, ...reportRounds.pickForRound(unchanged, round, most)];
  };
  const nearUse = gateway.listChangedUse(useChanges, all, now - NEAR_CHANGED_MS);
  const nearReport = build(sequence, peers, addUnchanged(nearUse));
  send(near, { case: 'report', value: nearReport });
  const relaySinceMs = now - 2 * relayMs - RELAY_MARGIN_MS;
  const relayUse = gateway.listChangedUse(useChanges, all, relaySinceMs);
  const relayReport = { ...build(turn, peers, addUnchanged(relayUse)), relay: true };
  send(relays, { case: 'report', value: relayReport });
  // As many of these as in a rotation over all: they may be addresses that no longer exist.
  const most = Math.ceil((gateway.MAX_FAN_OUT * unknown.length) / addresses.length);
  const rotated = reportRounds.pickForRound(unknown, sequence, most);
  send(rotated, { case: 'report', value: full });
}

/**
 * Sends a report without totals and peers to a part of the gateways that are not in turn.
 *
 * Gateways that start together learn of each other from peer lists. If the one to a gateway is lost,
 * that gateway would hear the sender only when it is in turn, which takes seconds in a large fleet.
 */
function sendGreetings(groups: GroupReports, { sequence, addresses }: ReportRound): void {
  const { build, send } = groups;
  const inTurn = new Set(reportRounds.pickForRound(addresses, sequence, gateway.MAX_FAN_OUT));
  const others = addresses.filter((address) => !inTurn.has(address));
  const most = Math.ceil(others.length / GREETING_ROUNDS);
  const value = build(sequence, [], []);
  send(reportRounds.pickForRound(others, sequence, most), { case: 'report', value });
}

/**
 * Sends the reports of a round; returns false if they go to all gateways in turn instead. Reports
 * of others are passed on in either case.
 */
export function sendRound(groups: GroupReports, round: ReportRound): boolean {
  const now = groups.readNow();
  groups.lastRoundMs = now;
  const plan = computePlan(groups, round);
  sendRelayed(groups, plan.kind === 'groups' ? plan.near : listOwnDomain(groups, round));
  const all = gateway.listUse(groups.state.quotas, Infinity);
  // Totals that do not fit one report are only complete at all gateways if each gets all parts.
  if (plan.kind === 'rotation' || all.length > MAX_UNCHANGED) {
    return false;
  }
  if (now - groups.newPeerMs < NEW_PEER_ROUNDS_MS && !round.isLeaving) {
    if (now - groups.startedMs < GREETING_MS) {
      sendGreetings(groups, round);
    }
    return false;
  }
  gateway.noteUse(groups.useChanges, all, now);
  sendReports(groups, plan, round, all);
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
    sendRelayed(groups, plan.kind === 'groups' ? plan.near : listOwnDomain(groups, { addresses }));
  }
}
