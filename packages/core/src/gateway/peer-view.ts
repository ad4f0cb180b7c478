/**
 * What the other gateways have told.
 *
 * Reports carry totals since the start of the sender's life, so that a lost or
 * doubled datagram does no harm: the next one makes up for it.
 */

export type PeerReport = {
  /** Address of the sender, IP and port. */
  address: string;
  /** New with each start of the sender. */
  life: string;
  sequence: number;
  /** The sender is leaving and will send nothing more. */
  leaving: boolean;
  /** Tokens or requests admitted since the start, by workspace. */
  used: Map<string, number>;
  /** Processor time that the sender may use, in hundredths of a core. */
  processorPercent: number;
  /** Version of the configuration in force there; 0 where there is none. */
  configurationVersion: number;
  /** Other gateways that the sender hears. */
  peers: string[];
};

type Peer = {
  life: string;
  sequence: number;
  heardMs: number;
  used: Map<string, number>;
  processorPercent: number;
  /** The version of its last report, and when this life first told of it, milliseconds. */
  configurationVersion: number;
  versionHeardMs: number;
};

export type PeerView = {
  byAddress: Map<string, Peer>;
  /** Gateways that only a peer has heard, with the time of that; they get reports too. */
  hearsay: Map<string, number>;
  /** Lives that have said that they leave, with the time of that. */
  departed: Map<string, number>;
  /** Goes up with each gateway that comes or goes. */
  revision: number;
};

/**
 * Time between reports, milliseconds. Quotas are charged with what they tell: five a
 * second keep what gateways admit without knowing of each other within the tolerance.
 */
export const REPORT_MS = 200;
/** Peers that one round is sent to; 16 times five datagrams of 1 KB are 80 KB/s. */
export const MAX_FAN_OUT = 16;
/** A report is believed for this long at least, milliseconds: five rounds. */
const MIN_FRESH_MS = 1000;
/** The same in turns of all peers, where one round does not reach all of them. */
const FRESH_TURNS = 3;
/**
 * A silent peer keeps its share of quotas for this long, milliseconds. It may
 * serve on behind a partition, which the users' platform has for minutes.
 */
const REMEMBER_MS = 60_000;
/** What a peer has only heard of is kept for this long, milliseconds. */
const HEARSAY_MS = 5000;

/**
 * A peer is young for this long after its start, milliseconds: the window over which
 * the users' quotas hold. It sends a report each `REPORT_MS`, numbered from its start.
 */
const YOUNG_MS = 8000;

/** Creates a view of nobody. */
export function createPeerView(): PeerView {
  return { byAddress: new Map(), hearsay: new Map(), departed: new Map(), revision: 0 };
}

/** What a workspace has newly used, as a report tells. */
export type UseIncrease = { workspace: string; amount: number };

/**
 * Lists what a report adds to what was known of its sender.
 *
 * The first report of a peer that has run for long adds nothing: its totals may be
 * hours old, and a gateway that has just started would refuse everybody until they are
 * paid off. All that a young one has used is recent and counts. Otherwise, after all
 * gateways were killed, what each admitted until it had heard the others would never be
 * charged, and a workspace would run more than its quota allows.
 */
function listIncreases(known: Peer | undefined, report: PeerReport): UseIncrease[] {
  if (known === undefined && report.sequence * REPORT_MS > YOUNG_MS) {
    return [];
  }
  const before = known?.life === report.life ? known.used : undefined;
  return [...report.used].map(([workspace, total]) => ({
    workspace,
    amount: total - (before?.get(workspace) ?? 0),
  }));
}

/** Names a life of a gateway. */
function formatLife({ address, life }: PeerReport): string {
  return `${address} ${life}`;
}

/**
 * Takes in a report; an older one than the last is left out, and so is what a gateway
 * tells after it has said that it leaves: taken for a newcomer, a young one would be
 * charged with all that it has admitted once more with each report.
 */
export function applyReport(view: PeerView, report: PeerReport, now: number): UseIncrease[] {
  if (view.departed.has(formatLife(report))) {
    return [];
  }
  const known = view.byAddress.get(report.address);
  if (known?.life === report.life && report.sequence <= known.sequence) {
    return [];
  }
  const increases = listIncreases(known, report);
  if (known === undefined || report.leaving) {
    view.revision += 1;
  }
  if (report.leaving) {
    view.departed.set(formatLife(report), now);
    view.byAddress.delete(report.address);
    return increases;
  }
  const { life, sequence, processorPercent, configurationVersion } = report;
  const used = known?.life === life ? new Map([...known.used, ...report.used]) : report.used;
  const isSameVersion = known?.life === life && known.configurationVersion === configurationVersion;
  view.byAddress.set(report.address, {
    life,
    sequence,
    heardMs: now,
    used,
    processorPercent,
    configurationVersion,
    versionHeardMs: isSameVersion ? known.versionHeardMs : now,
  });
  return increases;
}

/** Tells whether this life of a peer has been heard. */
export function isKnownLife(view: PeerView, address: string, life: string): boolean {
  return view.byAddress.get(address)?.life === life;
}

/** Forgets peers that have been silent for long. */
export function expirePeers(view: PeerView, now: number): void {
  [...view.byAddress]
    .filter(([, peer]) => now - peer.heardMs > REMEMBER_MS)
    .forEach(([address]) => view.byAddress.delete(address));
  [...view.departed]
    .filter(([, leftMs]) => now - leftMs > REMEMBER_MS)
    .forEach(([life]) => view.departed.delete(life));
  [...view.hearsay]
    .filter(([, heardMs]) => now - heardMs > HEARSAY_MS)
    .forEach(([address]) => view.hearsay.delete(address));
}

/** Finds the newest version of the configuration that a peer told of before a time; 0 for none. */
export function findNewestVersion(view: PeerView, heardBeforeMs: number): number {
  return [...view.byAddress.values()].reduce(
    (newest, { configurationVersion, versionHeardMs }) =>
      versionHeardMs < heardBeforeMs ? Math.max(newest, configurationVersion) : newest,
    0,
  );
}

/** Counts the gateways, this one included, that may be serving. */
export function countGateways(view: PeerView): number {
  return view.byAddress.size + 1;
}

/** Computes how long a report is believed, milliseconds. */
function computeFreshMs(view: PeerView): number {
  const turnMs = REPORT_MS * Math.ceil(view.byAddress.size / MAX_FAN_OUT);
  return Math.max(MIN_FRESH_MS, FRESH_TURNS * turnMs);
}

/** Lists the peers whose last report is believed, by address. */
function listFresh(view: PeerView, now: number): [string, Peer][] {
  const freshMs = computeFreshMs(view);
  return [...view.byAddress].filter(([, peer]) => now - peer.heardMs <= freshMs);
}

/** Counts the peers that have fallen silent. */
export function countUnreachablePeers(view: PeerView, now: number): number {
  return view.byAddress.size - listFresh(view, now).length;
}

/** Lists the addresses of the peers that are heard. */
export function listReachablePeers(view: PeerView, now: number): string[] {
  return listFresh(view, now).map(([address]) => address);
}

/** Lists everyone who is known, by own hearing or that of a peer. */
export function listKnownAddresses(view: PeerView): string[] {
  return [...new Set([...view.byAddress.keys(), ...view.hearsay.keys()])];
}

/** A gateway that may schedule cells. */
export type SchedulerCandidate = { address: string; processorPercent: number };

/** Lists the peers that are heard, with what their processors can do. */
export function listSchedulerCandidates(view: PeerView, now: number): SchedulerCandidate[] {
  return listFresh(view, now).map(([address, { processorPercent }]) => ({
    address,
    processorPercent,
  }));
}

/**
 * Notes a gateway that a peer hears. It gets reports from now on, but counts
 * only once it has been heard here: a peer may tell of one that has left.
 */
export function addIndirectPeer(view: PeerView, address: string, now: number): void {
  view.hearsay.set(address, now);
}
