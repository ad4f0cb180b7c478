/**
 * The other gateways, as known from their reports.
 *
 * Reports carry totals since the start of the sender's process, so a lost or duplicated
 * datagram does no harm: the next report corrects it.
 */
import * as rendezvous from '../shared/rendezvous.js';

export type PeerReport = {
  /** IP address and port of the sender. */
  address: string;
  /** Identifies the sender's incarnation; new with each start of its process. */
  life: string;
  sequence: number;
  /** The sender is leaving; all its further reports say so too. */
  leaving: boolean;
  /** Tokens or requests admitted since the sender's start, by workspace. */
  used: Map<string, number>;
  /** Processor time available to the sender, in hundredths of a core. */
  processorPercent: number;
  /** Load of the sender in percent, 100 if it is saturated; undefined if it does not report it. */
  loadPercent?: number;
  /** Version of the active configuration of the sender; 0 if it has none. */
  configurationVersion: number;
  /** Empty or absent if the sender does not report it. */
  failureDomain?: string;
  /** Number of workspaces with usage at the sender; absent if it does not report it. */
  workspaceCount?: number;
  /** Addresses of other gateways from which the sender receives reports. */
  peers: string[];
};

/** What the reports of one incarnation of a gateway have told. */
export type Peer = {
  life: string;
  sequence: number;
  heardMs: number;
  used: Map<string, number>;
  processorPercent: number;
  loadPercent: number;
  /** The version in its last report, and when this incarnation first reported it, in ms. */
  configurationVersion: number;
  versionReportedMs: number;
  /** Empty if it has not reported one. */
  failureDomain: string;
  /** All totals of the sender were known at one time; a further one is recent usage. */
  isComplete: boolean;
};

/** Usage that another gateway passes on for its sender. */
export type RelayedReport = {
  /** Hash of the address and the incarnation of the sender. */
  sender: number;
  sequence: number;
  leaving: boolean;
  /** Time since the passing gateway received it, milliseconds. */
  ageMs: number;
  workspaceCount: number | undefined;
  used: Map<string, number>;
};

export type PeerView = {
  byAddress: Map<string, Peer>;
  /** Peers by the hash of address and incarnation. */
  incarnationByKey: Map<number, { address: string; life: string }>;
  /** When each gateway was last named in a peer's report; it is sent reports too. */
  indirectPeers: Map<string, number>;
  /** When each incarnation announced that it is leaving. */
  departed: Map<string, number>;
  /** When each version of the configuration was first reported as active, milliseconds. */
  versionsHeardMs: Map<number, number>;
  newestVersion: number;
  /** Incremented whenever a gateway is added or leaves. */
  revision: number;
};

/**
 * Time between reports, in milliseconds. Quotas are charged with the usage in reports: with five
 * reports per second, what gateways admit without knowing of each other stays within the
 * tolerance.
 */
export const REPORT_MS = 200;
/** Maximum peers per round of reports: 16 datagrams of 1 KB five times a second are 80 KB/s. */
export const MAX_FAN_OUT = 16;
/**
 * How long an unreachable peer keeps its share of quotas, in milliseconds. It may still be
 * serving behind a network partition; on the users' platform partitions last for minutes.
 */
const UNREACHABLE_PEER_RETENTION_MS = 60_000;
/** How long a gateway that only a peer has named is kept, in milliseconds. */
const INDIRECT_PEER_RETENTION_MS = 5000;

/**
 * How long after its start a peer counts as new, in milliseconds: the window over which the
 * users' quotas are enforced. A peer sends a report every `REPORT_MS`, numbered from its start.
 */
const NEW_PEER_MS = 8000;

/** Number of configuration versions for which it is kept when they were first reported. */
const MAX_VERSIONS = 64;

/** Creates an empty view. */
export function createPeerView(): PeerView {
  return {
    byAddress: new Map(),
    incarnationByKey: new Map(),
    indirectPeers: new Map(),
    departed: new Map(),
    versionsHeardMs: new Map(),
    newestVersion: 0,
    revision: 0,
  };
}

/** Usage of a workspace that a report adds. */
export type UsageIncrease = { workspace: string; amount: number };

/**
 * Lists the usage that a report adds to what was known of its sender.
 *
 * The first report of a peer that has run for long adds nothing: its totals may be hours old,
 * and a gateway that has just started would reject all requests until its buckets recovered. All
 * usage of a new peer is recent and counts. Otherwise, after all gateways were killed, what
 * each of them admitted before it received the others' reports would never be charged, and a
 * workspace would run more than its quota allows.
 *
 * Reports carry a part of the totals. Until all totals of a peer that has run for long are known,
 * one that is reported for the first time may be just as old, and adds nothing.
 */
function listIncreases(
  known: Peer | undefined,
  report: Pick<PeerReport, 'life' | 'sequence' | 'used' | 'workspaceCount'>,
): UsageIncrease[] {
  const isNew = report.sequence * REPORT_MS <= NEW_PEER_MS;
  if (known === undefined && !isNew) {
    return [];
  }
  const before = known?.life === report.life ? known.used : undefined;
  const mayBeOld =
    !isNew &&
    before !== undefined &&
    known?.isComplete === false &&
    report.workspaceCount !== undefined;
  return [...report.used]
    .filter(([workspace]) => !mayBeOld || before.has(workspace))
    .map(([workspace, total]) => ({ workspace, amount: total - (before?.get(workspace) ?? 0) }));
}

/** Records that a peer has a version of the configuration active. */
function noteVersion(view: PeerView, version: number, now: number): void {
  const { versionsHeardMs } = view;
  view.newestVersion = Math.max(view.newestVersion, version);
  if (!versionsHeardMs.has(version)) {
    versionsHeardMs.set(version, now);
  }
  if (versionsHeardMs.size > MAX_VERSIONS) {
    versionsHeardMs.delete(Math.min(...versionsHeardMs.keys()));
  }
}

/** Formats the key of one incarnation of a gateway. */
function formatLifeKey({ address, life }: { address: string; life: string }): string {
  return `${address} ${life}`;
}

/** Parses the address in the key of one incarnation of a gateway. */
export function parseAddress(lifeKey: string): string {
  return lifeKey.split(' ')[0];
}

/** Hashes the key of one incarnation of a gateway, as relayed reports name their sender. */
export function hashLifeKey(sender: { address: string; life: string }): number {
  return rendezvous.hashText(formatLifeKey(sender));
}

/**
 * Applies a report; returns the usage that it adds.
 *
 * A report older than the last one of its sender is ignored. So is one that arrives after its
 * sender has announced that it is leaving: otherwise a recently started sender would count as a
 * new peer, and all that it has admitted would be charged again with each such report.
 */
export function applyReport(view: PeerView, report: PeerReport, now: number): UsageIncrease[] {
  if (view.departed.has(formatLifeKey(report))) {
    return [];
  }
  const known = view.byAddress.get(report.address);
  if (known?.life === report.life && report.sequence <= known.sequence) {
    return [];
  }
  const increases = listIncreases(known, report);
  noteVersion(view, report.configurationVersion, now);
  if (known === undefined || report.leaving) {
    view.revision += 1;
  }
  if (report.leaving) {
    view.departed.set(formatLifeKey(report), now);
    view.byAddress.delete(report.address);
    return increases;
  }
  const { life, sequence, processorPercent, configurationVersion, failureDomain = '' } = report;
  const used = known?.life === life ? new Map([...known.used, ...report.used]) : report.used;
  const wasComplete = known?.life === life && known.isComplete;
  if (known?.life !== life) {
    view.incarnationByKey.set(hashLifeKey(report), { address: report.address, life });
  }
  const isSameVersion = known?.life === life && known.configurationVersion === configurationVersion;
  view.byAddress.set(report.address, {
    life,
    sequence,
    heardMs: now,
    used,
    processorPercent,
    loadPercent: report.loadPercent ?? 0,
    configurationVersion,
    versionReportedMs: isSameVersion ? known.versionReportedMs : now,
    failureDomain,
    isComplete: wasComplete || used.size >= (report.workspaceCount ?? Infinity),
  });
  return increases;
}

/** Maximum age of relayed reports, ms; peers stay reachable for at least this time. */
const MAX_RELAYED_AGE_MS = 1000;

/**
 * Applies a report that another gateway has passed on; returns the usage that it adds.
 *
 * Only a newer report of a known incarnation counts: an older total never replaces a newer one, and
 * no peer is added that this gateway has not heard itself. The sender counts as heard when the
 * other gateway heard it, so that it does not look alive for longer than to that one.
 */
export function applyRelayed(view: PeerView, relayed: RelayedReport, now: number): UsageIncrease[] {
  const { sender, sequence, ageMs, workspaceCount, used } = relayed;
  const { address, life } = view.incarnationByKey.get(sender) ?? { address: '', life: '' };
  const known = view.byAddress.get(address);
  if (known?.life !== life || ageMs > MAX_RELAYED_AGE_MS || sequence <= known.sequence) {
    return [];
  }
  const heardMs = Math.max(now - ageMs, known.heardMs);
  if (relayed.leaving) {
    return applyReport(view, { ...known, ...relayed, address, peers: [] }, heardMs);
  }
  const increases = listIncreases(known, { life, sequence, workspaceCount, used });
  used.forEach((total, workspace) => known.used.set(workspace, total));
  known.sequence = sequence;
  known.heardMs = heardMs;
  known.isComplete ||= known.used.size >= (workspaceCount ?? Infinity);
  return increases;
}

/** Returns whether the last report of a peer came from the given incarnation. */
export function isKnownLife(view: PeerView, address: string, life: string): boolean {
  return view.byAddress.get(address)?.life === life;
}

/** Removes peers that have been unreachable for too long, and old records of other gateways. */
export function expirePeers(view: PeerView, now: number): void {
  [...view.byAddress]
    .filter(([, peer]) => now - peer.heardMs > UNREACHABLE_PEER_RETENTION_MS)
    .forEach(([address]) => view.byAddress.delete(address));
  [...view.incarnationByKey]
    .filter(([, { address, life }]) => view.byAddress.get(address)?.life !== life)
    .forEach(([key]) => view.incarnationByKey.delete(key));
  [...view.departed]
    .filter(([, leftMs]) => now - leftMs > UNREACHABLE_PEER_RETENTION_MS)
    .forEach(([life]) => view.departed.delete(life));
  [...view.indirectPeers]
    .filter(([, heardMs]) => now - heardMs > INDIRECT_PEER_RETENTION_MS)
    .forEach(([address]) => view.indirectPeers.delete(address));
}

/** Finds since when a peer has had a newer version than the given one; undefined if none has. */
export function findNewerSince(view: PeerView, version: number): number | undefined {
  if (view.newestVersion <= version) {
    return undefined;
  }
  const newer = [...view.versionsHeardMs].filter(([one]) => one > version);
  return Math.min(...newer.map(([, heardMs]) => heardMs));
}

/** Finds the newest configuration version that a peer reported before a given time; 0 if none. */
export function findNewestVersion(view: PeerView, reportedBeforeMs: number): number {
  return [...view.byAddress.values()].reduce(
    (newest, { configurationVersion, versionReportedMs }) =>
      versionReportedMs < reportedBeforeMs ? Math.max(newest, configurationVersion) : newest,
    0,
  );
}

/** Returns the failure domain of a peer; undefined if the peer is unknown or reports none. */
export function findPeerDomain(view: PeerView, address: string): string | undefined {
  return view.byAddress.get(address)?.failureDomain || undefined;
}

/** Lists the addresses of all gateways known directly or through a peer's report. */
export function listKnownAddresses(view: PeerView): string[] {
  return [...new Set([...view.byAddress.keys(), ...view.indirectPeers.keys()])];
}

/**
 * Records a gateway that a peer named in its report. It is sent reports from now on, but counts
 * as a peer only once one of its own reports arrives: the named gateway may have left.
 */
export function addIndirectPeer(view: PeerView, address: string, now: number): void {
  view.indirectPeers.set(address, now);
}
