/**
 * Plans which gateways get the report of a round.
 *
 * A fleet of 36 gateways in three failure domains sends two thirds of its reports to other domains,
 * where all that they carry is mostly known already. With more than one failure domain and more
 * gateways than one round reaches, gateways therefore form groups within their domains. A report
 * goes to the own group in each round, and to a few gateways of every other group every few rounds;
 * these pass the usage on within their group. Each round takes other gateways for this, so that one
 * that fails delays a report until the next time.
 */
import * as rendezvous from '../shared/rendezvous.js';
import * as peerView from './peer-view.js';

/** A gateway to which reports may be sent. */
export type ReportMember = {
  address: string;
  /** Undefined if it has not reported one; such a gateway may not know how to pass reports on. */
  failureDomain: string | undefined;
  isReachable: boolean;
};

export type ReportSender = { address: string; failureDomain: string; sequence: number };

export type ReportPlan =
  /** All gateways in turn get the same report. */
  | { kind: 'rotation' }
  | {
      kind: 'groups';
      /** The own group. */
      near: string[];
      /** Gateways of other groups that pass the report on. */
      relays: string[];
      /** Counts the rounds in which other groups get a report. */
      turn: number;
      /** Time from one report to another group to the next, milliseconds. */
      relayMs: number;
      /** Gateways whose failure domain is unknown. */
      unknown: string[];
    };

/** Most groups at which a report goes to two gateways of each other group; more need one each. */
const FEW_GROUPS = 6;
/** Rounds from one report to another group to the next, with few and with many groups. */
const FEW_GROUPS_ROUNDS = 2;
const MANY_GROUPS_ROUNDS = 3;

/** Counts the groups of a failure domain: a power of two, so that a changed count splits groups. */
function countGroups(members: number): number {
  const ratio = Math.max(members / (peerView.MAX_FAN_OUT + 1), 1);
  return 2 ** Math.ceil(Math.log2(ratio));
}

/** Assigns addresses to groups; all gateways that know the same ones find the same groups. */
function findGroups(members: readonly Omit<ReportMember, 'isReachable'>[]): Map<string, string> {
  const sizes = new Map<string, number>();
  members.forEach(({ failureDomain = '' }) =>
    sizes.set(failureDomain, (sizes.get(failureDomain) ?? 0) + 1),
  );
  const formatGroup = (address: string, domain: string) =>
    `${domain} ${rendezvous.hashText(address) % countGroups(sizes.get(domain) ?? 1)}`;
  return new Map(
    members.map(({ address, failureDomain = '' }) => [
      address,
      formatGroup(address, failureDomain),
    ]),
  );
}

/** Lists the gateways of each group but the own one. */
function listOtherGroups(
  members: readonly ReportMember[],
  groups: ReadonlyMap<string, string>,
  ownGroup: string | undefined,
): ReportMember[][] {
  const byGroup = new Map<string, ReportMember[]>();
  members.forEach((member) => {
    const group = groups.get(member.address) ?? '';
    byGroup.set(group, [...(byGroup.get(group) ?? []), member]);
  });
  return [...byGroup].filter(([group]) => group !== ownGroup).map(([, list]) => list);
}

/**
 * Picks gateways of a group that pass a report on; others each time. If none is reachable, all are
 * tried in turn, so that a failure domain that was cut off is found again.
 */
function pickRelays(group: readonly ReportMember[], turn: number, count: number): string[] {
  const reachable = group.filter(({ isReachable }) => isReachable);
  const usable = (reachable.length > 0 ? reachable : group).map(({ address }) => address).sort();
  const start = (turn * count) % usable.length;
  return [...usable.slice(start), ...usable.slice(0, start)].slice(0, count);
}

/** Plans a round of reports. */
export function computeReportPlan(sender: ReportSender, all: readonly ReportMember[]): ReportPlan {
  const { address, failureDomain, sequence } = sender;
  const members = all.filter((one) => one.failureDomain !== undefined);
  const domains = new Set([failureDomain, ...members.map((one) => one.failureDomain)]);
  if (failureDomain === '' || domains.size === 1 || all.length <= peerView.MAX_FAN_OUT) {
    return { kind: 'rotation' };
  }
  const groups = findGroups([sender, ...members]);
  const ownGroup = groups.get(address);
  const others = listOtherGroups(members, groups, ownGroup);
  const isFew = others.length < FEW_GROUPS;
  const rounds = isFew ? FEW_GROUPS_ROUNDS : MANY_GROUPS_ROUNDS;
  const shifted = sequence + rendezvous.hashText(address);
  const isDue = shifted % rounds === 0;
  const turn = Math.floor(shifted / rounds);
  return {
    kind: 'groups',
    near: members.filter((one) => groups.get(one.address) === ownGroup).map((one) => one.address),
    relays: isDue ? others.flatMap((group) => pickRelays(group, turn, isFew ? 2 : 1)) : [],
    turn,
    relayMs: rounds * peerView.REPORT_MS,
    unknown: all.filter((one) => one.failureDomain === undefined).map((one) => one.address),
  };
}

/** Reports whether a round is one of those in which a gateway sends all parts of its report. */
export function isFullRound(address: string, sequence: number, everyRounds: number): boolean {
  return (sequence + rendezvous.hashText(address)) % everyRounds === 0;
}

/** Lists the gateways that are told at once that this one leaves. */
export function computeLeavingPlan(sender: ReportSender, all: readonly ReportMember[]): ReportPlan {
  const plans = [0, 1, 2].map((rounds) =>
    computeReportPlan({ ...sender, sequence: sender.sequence + rounds }, all),
  );
  return (
    plans.find((plan) => plan.kind === 'rotation' || plan.relays.length > 0) ?? {
      kind: 'rotation',
    }
  );
}
