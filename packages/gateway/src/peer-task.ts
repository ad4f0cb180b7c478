/**
 * The task that owns the UDP socket between gateways. It sends the periodic reports of each gateway
 * to the others, and the messages between gateways and schedulers.
 *
 * Datagrams may be lost. Reports carry totals, so the next report makes up for a lost one. Nothing
 * waits for an acknowledgement, and a gateway that receives no reports continues to serve alone.
 */
import * as dgram from 'node:dgram';
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import type * as domainTraffic from './domain-traffic.js';
import * as failureGuard from './failure-guard.js';
import type * as gatewaySettings from './gateway-settings.js';
import type * as gatewayTask from './gateway-task.js';
import * as peerSending from './peer-sending.js';
import * as reportGroups from './report-groups.js';
import * as reportRelay from './report-relay.js';
import * as reportRounds from './report-rounds.js';

export type PeerTask = {
  /** Sets the receiver of messages about requests; until then they are dropped. */
  setReceiver: (receiver: RequestReceiver) => void;
  /** Sends messages about requests. */
  send: (outgoing: readonly gateway.OutgoingMessage[]) => void;
  /**
   * Reports now, and in all later reports, that this gateway is leaving. The other gateways then
   * ask another scheduler before this one is gone, rather than 200 ms after.
   */
  sendLeaving: () => void;
  stop: () => void;
};

export type PeerTaskOptions = {
  listen: gatewaySettings.ListenAddress;
  seeds: string[];
  state: gateway.GatewayState;
  traffic: domainTraffic.DomainTraffic;
  readNow: () => number;
  runGuarded: failureGuard.RunGuarded;
  reportProblem: (reason: string) => void;
};

/** Receiver of the messages about requests. */
export type RequestReceiver = Pick<
  gatewayTask.GatewayTask,
  'receiveAsk' | 'receiveReply' | 'receiveOrigins' | 'receiveOriginQuery' | 'receiveLostRuns'
>;

/** Limits for one report, so that it fits in a datagram of 1,400 bytes. */
const MAX_WORKSPACES = 20;
const MAX_PEERS = 12;
const MAX_LOST_RUNS = 4;
/** Limits of the lost runs with parts of prompts, and of such parts, in one report. */
const MAX_PART_RUNS = 2;
const MAX_PART_STANDINGS = 2;
/** Limit of peers per report when all are sent at once; it fits in a datagram as well. */
const MAX_PEERS_IN_FULL_LIST = 40;
/** Time after its start for which a gateway sends its peer list to newly learned peers, ms. */
const NEW_GATEWAY_MS = 3000;

export type PeerState = peerSending.PeerSender & {
  options: PeerTaskOptions;
  receiver: RequestReceiver | undefined;
  /** Address of this gateway. */
  ownAddress: string;
  startedMs: number;
  sequence: number;
  /** Set when the process begins to shut down; all later reports say so. */
  isLeaving: boolean;
  /** Gateways that were sent the whole peer list. */
  peerListSentTo: Set<string>;
  groups: reportGroups.GroupReports;
};

/** Lists all addresses that a report may be sent to. */
function listAddresses({ options, ownAddress }: PeerState): string[] {
  const all = new Set([...options.seeds, ...gateway.listKnownAddresses(options.state.peers)]);
  all.delete(ownAddress);
  return [...all];
}

/** Builds the current report, with a selection of the reachable peers. */
function buildReport(
  { options, ownAddress, sequence, isLeaving }: Omit<PeerState, 'groups'>,
  round: number,
  peers: string[],
  used = gateway.listUse(options.state.quotas, Infinity),
): schema.GatewayReport {
  const { state } = options;
  const now = options.readNow();
  return schema.create(schema.GatewayReportSchema, {
    address: ownAddress,
    life: state.life,
    sequence,
    leaving: isLeaving,
    used: reportRounds
      .pickForRound(used, round, MAX_WORKSPACES)
      .map(({ workspace, used: amount }) => ({
        workspace,
        amount,
      })),
    lostRuns: [
      ...reportRounds.pickForRound(gateway.listReportRuns(state, now), round, MAX_LOST_RUNS),
      ...reportRounds.pickForRound(gateway.listReportPartRuns(state, now), round, MAX_PART_RUNS),
    ],
    parts: reportRounds.pickForRound(
      gateway.listReportStandings(state, now),
      round,
      MAX_PART_STANDINGS,
    ),
    peers,
    processorPercent: state.processorPercent,
    loadPercent: gateway.computeLoadPercent(state.load),
    configurationVersion: state.index?.configuration.version ?? 0,
    failureDomain: state.failureDomain,
    workspaceCount: state.quotas.buckets.size,
  });
}

/** Sends a report to the peers of the current round. */
export function sendReport(peer: PeerState): void {
  peer.sequence += 1;
  const { sequence, options } = peer;
  const addresses = listAddresses(peer);
  const round = reportRounds.computeContentRound(sequence, addresses.length, gateway.MAX_FAN_OUT);
  const reachable = gateway.listReachablePeers(options.state.peers, options.readNow());
  const peers = reportRounds.pickForRound(reachable, round, MAX_PEERS);
  const full = buildReport(peer, round, peers);
  const { isLeaving } = peer;
  if (reportGroups.sendRound(peer.groups, { sequence, isLeaving, addresses, full })) {
    return;
  }
  const content = { case: 'report', value: full } as const;
  const receivers = reportRounds.pickForRound(addresses, sequence, gateway.MAX_FAN_OUT);
  peerSending.sendMessage(peer, receivers, content);
}

/**
 * Sends the list of all reachable peers to one gateway, in several datagrams if necessary. It is
 * sent to a gateway that has just started, and by such a gateway to the peers it learns of.
 *
 * Gateways that know different peers choose different schedulers for the same cell, and each of
 * those schedulers then grants all slots of the cell. If 68 gateways are killed and restart
 * together, they need some seconds to learn of each other through periodic reports, but only two
 * round trips through these lists. The reports reuse the last sequence number, since receivers
 * derive the age of the sender from it.
 */
function sendPeerList(peer: PeerState, address: string): void {
  const { state, readNow } = peer.options;
  peer.peerListSentTo.add(address);
  const reachable = gateway.listReachablePeers(state.peers, readNow());
  do {
    const peers = reachable.splice(0, MAX_PEERS_IN_FULL_LIST);
    const content = { case: 'report', value: buildReport(peer, 0, peers) } as const;
    peerSending.sendMessage(peer, [address], content);
  } while (reachable.length > 0);
}

/** Sends the peer list to gateways that this one has only learned of, while it has just started. */
export function sendPeerListToNew(peer: PeerState, addresses: readonly string[]): void {
  const isNew = peer.options.readNow() - peer.startedMs < NEW_GATEWAY_MS;
  if (isNew) {
    addresses
      .filter((address) => address !== peer.ownAddress && !peer.peerListSentTo.has(address))
      .forEach((address) => sendPeerList(peer, address));
  }
}

/** Applies a report; charges quotas with what the sender has admitted. */
function receiveReport(peer: PeerState, received: schema.GatewayReport): void {
  const { state, readNow } = peer.options;
  const { address, life, sequence, leaving, used, peers, lostRuns } = received;
  const now = readNow();
  const report: gateway.PeerReport = {
    address,
    life,
    sequence,
    leaving,
    used: new Map(used.map((use) => [use.workspace, use.amount])),
    processorPercent: received.processorPercent,
    loadPercent: received.loadPercent,
    configurationVersion: received.configurationVersion,
    failureDomain: received.failureDomain,
    workspaceCount: received.workspaceCount,
    peers,
  };
  const isNewLife = !leaving && !gateway.isKnownLife(state.peers, address, life);
  gateway
    .applyReport(state.peers, report, now)
    .forEach(({ workspace, amount }) => gateway.applyPeerUse(state.quotas, workspace, amount, now));
  gateway.receiveLostRuns(state, lostRuns, now);
  gateway.receivePartStandings(state, received.parts, now);
  peers
    .filter((indirect) => indirect !== peer.ownAddress)
    .forEach((indirect) => gateway.addIndirectPeer(state.peers, indirect, now));
  reportGroups.handleReport(peer.groups, received, isNewLife, () => listAddresses(peer));
  if (isNewLife) {
    sendPeerList(peer, address);
    peerSending.sendOutgoing(peer, gateway.buildOriginsFor(state, address, now));
    peerSending.sendOutgoing(peer, gateway.buildLostRunsFor(state, address, now));
  }
  sendPeerListToNew(peer, peers);
}

/** Handles one datagram. */
export function receiveMessage(peer: PeerState, bytes: Uint8Array): void {
  const { content } = schema.decodePeerMessage(bytes);
  switch (content.case) {
    case 'report':
      receiveReport(peer, content.value);
      return;
    case 'relayed':
      reportRelay.applyRelayed(peer.options.state, content.value, peer.options.readNow());
      return;
    case 'ask':
      peer.receiver?.receiveAsk(content.value);
      return;
    case 'reply':
      peer.receiver?.receiveReply(content.value);
      return;
    case 'origins':
      peer.receiver?.receiveOrigins(content.value);
      return;
    case 'originQuery':
      peer.receiver?.receiveOriginQuery(content.value);
      return;
    case 'lostRuns':
      peer.receiver?.receiveLostRuns(content.value);
      return;
    default:
      peer.options.reportProblem('message without content');
  }
}

/** Creates the state of a task that has sent nothing yet. */
export function createPeer(
  options: PeerTaskOptions,
  socket: Pick<dgram.Socket, 'send'>,
): PeerState {
  const peer = {
    options,
    socket,
    receiver: undefined,
    ownAddress: options.state.address,
    startedMs: options.readNow(),
    sequence: 0,
    isLeaving: false,
    isStopped: false,
    peerListSentTo: new Set<string>(),
  };
  const groups = reportGroups.createGroupReports({
    state: options.state,
    readNow: options.readNow,
    send: (addresses, content) => peerSending.sendMessage(peer, addresses, content),
    build: (round, peers, used) => buildReport(peer, round, peers, used),
  });
  return Object.assign(peer, { groups });
}

/** Forgets what has expired and sends the reports of a round. */
function runRound(peer: PeerState): void {
  const { state, readNow } = peer.options;
  gateway.expirePeers(state.peers, readNow());
  gateway.expireRuns(state.lostRuns, readNow());
  gateway.expireParts(state.partLosses, readNow());
  gateway.expireOrigins(state.origins, readNow());
  sendReport(peer);
}

/** Opens the socket and starts sending periodic reports. */
export function startPeerTask(options: PeerTaskOptions): PeerTask {
  const { host, port } = options.listen;
  const socket = dgram.createSocket('udp4');
  const peer = createPeer(options, socket);
  socket.on('error', (error) => options.reportProblem(error.message));
  socket.on('message', (bytes) => {
    try {
      receiveMessage(peer, bytes);
    } catch (error) {
      options.reportProblem((error as Error).message);
    }
  });
  socket.bind(port, host, () => sendPeerListToNew(peer, options.seeds));
  const timer = setInterval(() => {
    options.runGuarded(
      failureGuard.WorkUnit.REPORT,
      () => runRound(peer),
      () => {},
    );
  }, gateway.REPORT_MS);
  return {
    setReceiver: (receiver) => {
      peer.receiver = receiver;
    },
    send: (outgoing) => peerSending.sendOutgoing(peer, outgoing),
    sendLeaving: () => {
      peer.isLeaving = true;
      // Before the report, so that the next schedulers know what is in use when they are asked.
      peerSending.sendOutgoing(peer, gateway.releaseCells(options.state, options.readNow()));
      sendReport(peer);
      peerSending.sendOutgoing(peer, gateway.buildHandover(options.state, options.readNow()));
    },
    stop: () => {
      clearInterval(timer);
      peer.isStopped = true;
      socket.close();
    },
  };
}
