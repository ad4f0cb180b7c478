/** Runs the reports between many gateways in virtual time, over a network that loses datagrams. */
import * as gateway from '@toucanproxy/core/gateway';
import * as domainTraffic from '../domain-traffic.js';
import * as peerTask from '../peer-task.js';

export type ReportFleetOptions = {
  gateways: number;
  /** Gateways report their failure domains; earlier versions do not. */
  reportsDomains: boolean;
  /** Every datagram of this number is lost. */
  lostEvery: number;
};

type Delivery = { dueMs: number; to: number; bytes: Uint8Array };

export type ReportFleet = {
  options: ReportFleetOptions;
  nowMs: number;
  peers: peerTask.PeerState[];
  /** Deliveries by the millisecond in which they are due. */
  inTransit: Map<number, Delivery[]>;
  sent: number;
  /** Datagrams that each gateway has sent, by index. */
  sentFrom: Map<number, number>;
  /** Bytes sent within failure domains and between them. */
  bytes: domainTraffic.DomainCount;
  /** Gateways that neither send nor receive, by index. */
  stopped: Set<number>;
};

/** One way between two gateways, milliseconds. */
const DELAY_MS = 2;
/** Number of failure domains. */
const DOMAINS = 3;
const QUOTA = {
  unit: gateway.QuotaUnit.TOKENS,
  perSecond: 1e6,
  burst: 1e6,
  restartBurst: 1e9,
  defaultTokens: 1,
};
const LIMIT = { ...QUOTA, declared: QUOTA };
const TICK_SPREAD = 7;

/** Formats the address of a gateway from its index. */
export function formatAddress(index: number): string {
  return `10.0.${Math.floor(index / 100)}.${index % 100}:7000`;
}

/** Finds the index of a gateway from its address. */
function parseAddress(host: string): number {
  const [, , hundreds, rest] = host.split('.').map(Number);
  return hundreds * 100 + rest;
}

/** Sends a datagram over the network. */
function sendDatagram(fleet: ReportFleet, from: number, to: number, bytes: Uint8Array): void {
  fleet.sent += 1;
  fleet.sentFrom.set(from, (fleet.sentFrom.get(from) ?? 0) + 1);
  domainTraffic.addAmount(fleet.bytes, from % DOMAINS === to % DOMAINS, bytes.length);
  if (fleet.stopped.has(from) || fleet.sent % fleet.options.lostEvery === 0) {
    return;
  }
  const dueMs = fleet.nowMs + DELAY_MS;
  const list = fleet.inTransit.get(dueMs) ?? [];
  list.push({ dueMs, to, bytes });
  fleet.inTransit.set(dueMs, list);
}

/** Starts a gateway, or starts it again as a new incarnation. */
export function startPeer(fleet: ReportFleet, index: number, life: string): void {
  const address = formatAddress(index);
  const state = gateway.createGatewayState(
    {
      address,
      life,
      failureDomain: fleet.options.reportsDomains ? `zone-${index % DOMAINS}` : '',
      processorPercent: 50,
      seeds: [],
      regionByDomain: new Map(),
    },
    {
      leaseMs: 1,
      entryReturnMs: 1,
      quotaTolerance: { overage: 0, slack: 0, windowMs: 0 },
      retryRatio: 0.01,
      retryExtra: 1,
      warmUpTolerance: { factor: 1, extra: 0 },
    },
    () => 0.5,
    fleet.nowMs,
  );
  const seeds = [0, 1, 2].map(formatAddress).filter((seed) => seed !== address);
  const options: peerTask.PeerTaskOptions = {
    listen: { host: address, port: 1 },
    seeds,
    state,
    traffic: domainTraffic.createDomainTraffic(),
    readNow: () => fleet.nowMs,
    runGuarded: (_unit, step) => step(),
    reportProblem: (reason) => {
      throw new Error(reason);
    },
  };
  const socket = {
    send: (bytes: Uint8Array, _port: number, host: string) =>
      sendDatagram(fleet, index, parseAddress(host), bytes),
  } as unknown as peerTask.PeerState['socket'];
  fleet.peers[index] = peerTask.createPeer(options, socket);
  fleet.stopped.delete(index);
  peerTask.sendPeerListToNew(fleet.peers[index], seeds);
}

/** Starts all gateways at once. */
export function createReportFleet(options: ReportFleetOptions): ReportFleet {
  const fleet: ReportFleet = {
    options,
    nowMs: 1000,
    peers: [],
    inTransit: new Map(),
    sent: 0,
    sentFrom: new Map(),
    bytes: { own: 0, other: 0 },
    stopped: new Set(),
  };
  for (let index = 0; index < options.gateways; index += 1) {
    startPeer(fleet, index, `life-${index}`);
  }
  return fleet;
}

/** Lets a gateway admit a request. */
export function admitUse(fleet: ReportFleet, index: number, workspace: string, cost: number): void {
  const { state } = fleet.peers[index].options;
  const share = { share: 1, gateways: 1, startedMs: 0, isFirstStart: true };
  gateway.takeQuota(state.quotas, LIMIT, { workspace, cost, urgency: 0 }, share, fleet.nowMs);
}

/** Advances virtual time; `step` is called in every millisecond. */
export function runReportFleet(fleet: ReportFleet, ms: number, step = () => {}): void {
  const endMs = fleet.nowMs + ms;
  while (fleet.nowMs < endMs) {
    fleet.nowMs += 1;
    const due = fleet.inTransit.get(fleet.nowMs) ?? [];
    fleet.inTransit.delete(fleet.nowMs);
    due
      .filter(({ to }) => !fleet.stopped.has(to) && to < fleet.peers.length)
      .forEach(({ to, bytes }) => peerTask.receiveMessage(fleet.peers[to], bytes));
    fleet.peers.forEach((peer, index) => {
      const isDue = (fleet.nowMs + index * TICK_SPREAD) % gateway.REPORT_MS === 0;
      if (isDue && !fleet.stopped.has(index)) {
        gateway.expirePeers(peer.options.state.peers, fleet.nowMs);
        peerTask.sendReport(peer);
      }
    });
    step();
  }
}

/** Counts the gateways at which a total of another one has not arrived. */
export function countUninformed(
  { peers, stopped }: ReportFleet,
  sender: number,
  workspace: string,
  total: number,
): number {
  return peers.filter(({ options }, index) => {
    const known = options.state.peers.byAddress.get(formatAddress(sender));
    const isKnown = (known?.used.get(workspace) ?? 0) >= total;
    return index !== sender && !stopped.has(index) && !isKnown;
  }).length;
}
