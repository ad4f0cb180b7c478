/**
 * The task that owns the socket between gateways: reports of each to the others, and
 * what passes between gateways and schedulers, in datagrams.
 *
 * Datagrams may be lost; each report carries totals, so that the next one makes
 * up for it. Nobody waits for an answer, and a gateway that hears nobody serves
 * on by itself.
 */
import * as dgram from 'node:dgram';
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import type * as gatewaySettings from './gateway-settings.js';
import * as reportTurns from './report-turns.js';

export type PeerTask = {
  /** Names who takes in what concerns schedulers; before that it is dropped. */
  passTo: (receiver: ScheduleReceiver) => void;
  /** Sends what was decided between gateways. */
  send: (outgoing: readonly gateway.OutgoingMessage[]) => void;
  /**
   * Tells the others, now and until the process stops, that this gateway is leaving: they
   * ask another scheduler before it is gone, not a fifth of a second after.
   */
  sendLeaving: () => void;
  stop: () => void;
};

export type PeerTaskOptions = {
  listen: gatewaySettings.ListenAddress;
  seeds: string[];
  state: gateway.GatewayState;
  readNow: () => number;
  reportProblem: (reason: string) => void;
};

/** Who takes in what gateways ask each other's schedulers, and what these answer. */
export type ScheduleReceiver = {
  receiveAsk: (ask: schema.ScheduleAsk) => void;
  receiveReply: (reply: schema.ScheduleReply) => void;
};

/** What one report holds at most, so that it fits one datagram of 1,400 bytes. */
const MAX_WORKSPACES = 20;
const MAX_PEERS = 12;
const MAX_SUSPECTS = 4;
/** Peers that a greeting carries; it fits one datagram as well. */
const MAX_GREETING_PEERS = 40;
/** A gateway greets those that it hears of for this long after its start, milliseconds. */
const GREETING_MS = 3000;

type PeerState = {
  options: PeerTaskOptions;
  socket: dgram.Socket;
  receiver: ScheduleReceiver | undefined;
  own: string;
  startedMs: number;
  sequence: number;
  /** Set once the process is about to stop: no later report says otherwise. */
  isLeaving: boolean;
  /** Gateways that were sent a report outside their turn. */
  greeted: Set<string>;
};

/** Lists everyone that a report may be sent to. */
function listAddresses({ options, own }: PeerState): string[] {
  const all = new Set([...options.seeds, ...gateway.listKnownAddresses(options.state.peers)]);
  all.delete(own);
  return [...all];
}

/** Builds the present report, with some of the peers that are heard. */
function buildReport(
  { options, own, sequence, isLeaving }: PeerState,
  turn: number,
  peers: string[],
): schema.GatewayReport {
  const { state } = options;
  const used = gateway.listUse(state.quotas, Infinity);
  return schema.create(schema.GatewayReportSchema, {
    address: own,
    life: state.life,
    sequence,
    leaving: isLeaving,
    used: reportTurns.pickInTurn(used, turn, MAX_WORKSPACES).map(({ workspace, used: amount }) => ({
      workspace,
      amount,
    })),
    suspects: reportTurns.pickInTurn(gateway.listSuspects(state.suspects), turn, MAX_SUSPECTS),
    peers,
    processorPercent: state.processorPercent,
    configurationVersion: state.index?.configuration.version ?? 0,
  });
}

/** Sends one datagram. */
function sendMessage(
  { options, socket }: PeerState,
  address: string,
  content: schema.PeerMessage['content'],
): void {
  const message = schema.create(schema.PeerMessageSchema, { content });
  const [host, port] = address.split(':');
  socket.send(schema.toBinary(schema.PeerMessageSchema, message), Number(port), host, (error) => {
    if (error !== null) {
      options.reportProblem(error.message);
    }
  });
}

/** Sends what was decided between gateways. */
function sendOutgoing(peer: PeerState, outgoing: readonly gateway.OutgoingMessage[]): void {
  outgoing.forEach((one) => {
    const content =
      one.kind === 'ask'
        ? { case: one.kind, value: one.ask }
        : { case: one.kind, value: one.reply };
    sendMessage(peer, one.to, content);
  });
}

/** Sends a report to some peers in turn. */
function sendReport(peer: PeerState): void {
  peer.sequence += 1;
  const { sequence, options } = peer;
  const addresses = listAddresses(peer);
  const turn = reportTurns.computePartTurn(sequence, addresses.length, gateway.MAX_FAN_OUT);
  const heard = gateway.listReachablePeers(options.state.peers, options.readNow());
  const peers = reportTurns.pickInTurn(heard, turn, MAX_PEERS);
  const content = { case: 'report', value: buildReport(peer, turn, peers) } as const;
  reportTurns
    .pickInTurn(addresses, sequence, gateway.MAX_FAN_OUT)
    .forEach((address) => sendMessage(peer, address, content));
}

/**
 * Tells a gateway that has just started of all that are heard, several datagrams where
 * one is too small, and the others of this one.
 *
 * Gateways that know different peers take different ones as the scheduler of a cell, and
 * each of these gives all its places out. In turns, a fleet of 68 that was killed as a
 * whole knows itself after some seconds; greeted, after two round trips. These reports
 * carry the number of the last one, since a number tells the age of its sender.
 */
function greet(peer: PeerState, address: string): void {
  const { state, readNow } = peer.options;
  peer.greeted.add(address);
  const heard = gateway.listReachablePeers(state.peers, readNow());
  do {
    const peers = heard.splice(0, MAX_GREETING_PEERS);
    const content = { case: 'report', value: buildReport(peer, 0, peers) } as const;
    sendMessage(peer, address, content);
  } while (heard.length > 0);
}

/** Greets gateways that were only heard of, while this one is young. */
function greetHeardOf(peer: PeerState, addresses: readonly string[]): void {
  const isYoung = peer.options.readNow() - peer.startedMs < GREETING_MS;
  if (isYoung) {
    addresses
      .filter((one) => one !== peer.own && !peer.greeted.has(one))
      .forEach((one) => greet(peer, one));
  }
}

/** Takes in a report; charges quotas with what the sender has admitted. */
function receiveReport(peer: PeerState, received: schema.GatewayReport): void {
  const { state, readNow } = peer.options;
  const { address, life, sequence, leaving, used, peers, suspects } = received;
  const now = readNow();
  const report: gateway.PeerReport = {
    address,
    life,
    sequence,
    leaving,
    used: new Map(used.map((one) => [one.workspace, one.amount])),
    processorPercent: received.processorPercent,
    configurationVersion: received.configurationVersion,
    peers,
  };
  const isNewcomer = !leaving && !gateway.isKnownLife(state.peers, address, life);
  gateway
    .applyReport(state.peers, report, now)
    .forEach(({ workspace, amount }) => gateway.applyPeerUse(state.quotas, workspace, amount, now));
  gateway.mergeSuspects(state.suspects, suspects, Date.now());
  peers
    .filter((one) => one !== peer.own)
    .forEach((one) => gateway.addIndirectPeer(state.peers, one, now));
  if (isNewcomer) {
    greet(peer, address);
  }
  greetHeardOf(peer, peers);
}

/** Takes in one datagram. */
function receiveMessage(peer: PeerState, bytes: Uint8Array): void {
  const { content } = schema.fromBinary(schema.PeerMessageSchema, bytes);
  switch (content.case) {
    case 'report':
      receiveReport(peer, content.value);
      return;
    case 'ask':
      peer.receiver?.receiveAsk(content.value);
      return;
    case 'reply':
      peer.receiver?.receiveReply(content.value);
      return;
    default:
      peer.options.reportProblem('empty message');
  }
}

/** Starts to exchange datagrams. */
export function startPeerTask(options: PeerTaskOptions): PeerTask {
  const { host, port } = options.listen;
  const socket = dgram.createSocket('udp4');
  const peer: PeerState = {
    options,
    socket,
    receiver: undefined,
    own: options.state.address,
    startedMs: options.readNow(),
    sequence: 0,
    isLeaving: false,
    greeted: new Set(),
  };
  socket.on('error', (error) => options.reportProblem(error.message));
  socket.on('message', (bytes) => {
    try {
      receiveMessage(peer, bytes);
    } catch (error) {
      options.reportProblem((error as Error).message);
    }
  });
  socket.bind(port, host, () => greetHeardOf(peer, options.seeds));
  const timer = setInterval(() => {
    gateway.expirePeers(options.state.peers, options.readNow());
    gateway.expireSuspects(options.state.suspects, Date.now());
    sendReport(peer);
  }, gateway.REPORT_MS);
  return {
    passTo: (receiver) => {
      peer.receiver = receiver;
    },
    send: (outgoing) => sendOutgoing(peer, outgoing),
    sendLeaving: () => {
      peer.isLeaving = true;
      sendReport(peer);
    },
    stop: () => {
      clearInterval(timer);
      socket.close();
    },
  };
}
