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
  /** Requests in flight by backend server. */
  inFlight: Map<string, number>;
  /** Requests that the sender was asked for lately, by service. */
  demand: Map<string, number>;
  /** Other gateways that the sender hears. */
  peers: string[];
};

type Peer = {
  life: string;
  sequence: number;
  heardMs: number;
  used: Map<string, number>;
  inFlight: Map<string, number>;
  demand: Map<string, number>;
};

export type PeerView = {
  byAddress: Map<string, Peer>;
  /** Gateways that only a peer has heard, with the time of that; they get reports too. */
  hearsay: Map<string, number>;
  /** Requests of all peers by backend server; undefined once a report has come. */
  sums: InFlightSums | undefined;
};

/** What the peers have in flight by backend server, worked out at a time. */
type InFlightSums = { byServer: Map<string, number>; computedMs: number };

/**
 * Time between reports, milliseconds. Places at engines turn over in a second or
 * so; five reports a second keep what is known of them fresh.
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
/**
 * Sums over the peers are used for this long, milliseconds, where no report comes.
 * Worked out for each backend server and each request, they took most of the time
 * of a placement with tens of peers.
 */
const SUMS_MS = 50;
/** What a peer has only heard of is kept for this long, milliseconds. */
const HEARSAY_MS = 5000;

/**
 * A peer is young for this long after its start, milliseconds: the window over which
 * the users' quotas hold. It sends a report each `REPORT_MS`, numbered from its start.
 */
const YOUNG_MS = 8000;

/** Creates a view of nobody. */
export function createPeerView(): PeerView {
  return { byAddress: new Map(), hearsay: new Map(), sums: undefined };
}

/** What a workspace has newly used, as a report tells. */
export type UseIncrease = { workspace: string; amount: number };

/**
 * Lists what a report adds to what was known of its sender.
 *
 * The first report of a peer that has run for long adds nothing: its totals may be
 * hours old, and a gateway that has just started would refuse everybody until they are
 * paid off. All that a young one has used is recent and counts. Otherwise, after all
 * gateways were killed, what each admitted until it had heard the others was never
 * charged: with 26 of them 2,053,740 tokens of a workspace ran in a window, where
 * 2,021,331 were allowed.
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

/** Takes in a report; an older one than the last is left out. */
export function applyReport(view: PeerView, report: PeerReport, now: number): UseIncrease[] {
  const known = view.byAddress.get(report.address);
  if (known?.life === report.life && report.sequence <= known.sequence) {
    return [];
  }
  const increases = listIncreases(known, report);
  view.sums = undefined;
  if (report.leaving) {
    view.byAddress.delete(report.address);
    return increases;
  }
  const { life, sequence, inFlight, demand } = report;
  const used = known?.life === life ? new Map([...known.used, ...report.used]) : report.used;
  const peer = { life, sequence, heardMs: now, used, inFlight, demand };
  view.byAddress.set(report.address, peer);
  return increases;
}

/** Forgets peers that have been silent for long. */
export function expirePeers(view: PeerView, now: number): void {
  [...view.byAddress]
    .filter(([, peer]) => now - peer.heardMs > REMEMBER_MS)
    .forEach(([address]) => view.byAddress.delete(address));
  [...view.hearsay]
    .filter(([, heardMs]) => now - heardMs > HEARSAY_MS)
    .forEach(([address]) => view.hearsay.delete(address));
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
export function countSilent(view: PeerView, now: number): number {
  return view.byAddress.size - listFresh(view, now).length;
}

/** Lists the addresses of the peers that are heard. */
export function listHeard(view: PeerView, now: number): string[] {
  return listFresh(view, now).map(([address]) => address);
}

/** Lists everyone who is known, by own hearing or that of a peer. */
export function listContacts(view: PeerView): string[] {
  return [...new Set([...view.byAddress.keys(), ...view.hearsay.keys()])];
}

/** Part of a whole that one gateway has, and the parts of those before it in order. */
export type Share = { before: number; own: number };

/**
 * Computes the part of the requests for a service that this gateway has.
 *
 * Gateways are in the order of their addresses. Each counts as one request more,
 * so that one that is idle can begin.
 */
export function computeDemandShare(
  view: PeerView,
  address: string,
  service: string,
  own: number,
  now: number,
): Share {
  let before = 0;
  let all = own + 1;
  listFresh(view, now).forEach(([peerAddress, peer]) => {
    const demand = 1 + (peer.demand.get(service) ?? 0);
    all += demand;
    before += peerAddress < address ? demand : 0;
  });
  return { before: before / all, own: (own + 1) / all };
}

/** Gets what all peers have in flight, worked out anew where it may have changed. */
function getSums(view: PeerView, now: number): InFlightSums {
  const known = view.sums;
  if (known !== undefined && now - known.computedMs < SUMS_MS) {
    return known;
  }
  const byServer = new Map<string, number>();
  listFresh(view, now).forEach(([, peer]) =>
    peer.inFlight.forEach((requests, serverId) =>
      byServer.set(serverId, (byServer.get(serverId) ?? 0) + requests),
    ),
  );
  const sums = { byServer, computedMs: now };
  view.sums = sums;
  return sums;
}

/** Counts the requests that the peers have at a backend server, as they last told. */
export function countInFlight(view: PeerView, serverId: string, now: number): number {
  return getSums(view, now).byServer.get(serverId) ?? 0;
}

/**
 * Notes a gateway that a peer hears. It gets reports from now on, but counts
 * only once it has been heard here: a peer may tell of one that has left.
 */
export function addHearsay(view: PeerView, address: string, now: number): void {
  view.hearsay.set(address, now);
}
