/**
 * The task that exchanges reports with the other gateways, in datagrams.
 *
 * Datagrams may be lost; each report carries totals, so that the next one makes
 * up for it. Nobody waits for an answer, and a gateway that hears nobody serves
 * on by itself.
 */
import * as dgram from 'node:dgram';
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import type * as gatewaySettings from './gateway-settings.js';

export type PeerTask = {
  /** Tells the others that this gateway is leaving. */
  sendLeaving: () => void;
  stop: () => void;
};

export type PeerTaskOptions = {
  listen: gatewaySettings.ListenAddress;
  seeds: string[];
  life: string;
  state: gateway.GatewayState;
  readNow: () => number;
  reportProblem: (reason: string) => void;
};

/** What one report holds at most, so that it fits one datagram of 1,400 bytes. */
const MAX_WORKSPACES = 20;
const MAX_SERVERS = 24;
const MAX_SERVICES = 8;
const MAX_PEERS = 12;
const MAX_SUSPECTS = 4;

type PeerState = { options: PeerTaskOptions; own: string; sequence: number };

/** Rotates a list, so that a part of it in turn covers all of it. */
function pickInTurn<T>(items: T[], turn: number, most: number): T[] {
  const begin = items.length > most ? (turn * most) % items.length : 0;
  return [...items.slice(begin), ...items.slice(0, begin)].slice(0, most);
}

/** Lists everyone that a report may be sent to. */
function listAddresses({ options, own }: PeerState): string[] {
  const all = new Set([...options.seeds, ...gateway.listContacts(options.state.peers)]);
  all.delete(own);
  return [...all];
}

/** Builds the present report. */
function buildReport(peer: PeerState, leaving: boolean): Uint8Array {
  const { state, life, readNow } = peer.options;
  const { sequence } = peer;
  const used = gateway.listUse(state.quotas, Infinity);
  const inFlight = [...state.loads]
    .filter(([, load]) => load.inFlight > 0)
    .map(([serverId, load]) => ({ serverId, requests: load.inFlight }));
  const demand = [...gateway.updateToldDemand(state, readNow())].map(([service, requests]) => ({
    service,
    requests,
  }));
  const report = schema.create(schema.GatewayReportSchema, {
    address: peer.own,
    life,
    sequence,
    leaving,
    used: pickInTurn(used, sequence, MAX_WORKSPACES).map(({ workspace, used: amount }) => ({
      workspace,
      amount,
    })),
    demand: pickInTurn(demand, sequence, MAX_SERVICES),
    suspects: pickInTurn(gateway.listSuspects(state.suspects), sequence, MAX_SUSPECTS),
    inFlight: pickInTurn(inFlight, sequence, MAX_SERVERS),
    peers: pickInTurn(gateway.listHeard(state.peers, readNow()), sequence, MAX_PEERS),
  });
  return schema.toBinary(schema.GatewayReportSchema, report);
}

/** Sends a report to some peers in turn. */
function sendReport(peer: PeerState, socket: dgram.Socket, leaving: boolean): void {
  peer.sequence += 1;
  const bytes = buildReport(peer, leaving);
  pickInTurn(listAddresses(peer), peer.sequence, gateway.MAX_FAN_OUT).forEach((address) => {
    const [host, port] = address.split(':');
    socket.send(bytes, Number(port), host, (error) => {
      if (error !== null) {
        peer.options.reportProblem(error.message);
      }
    });
  });
}

/** Takes in a report; charges quotas with what the sender has admitted. */
function receiveReport(peer: PeerState, bytes: Uint8Array): void {
  const { state, readNow } = peer.options;
  const received = schema.fromBinary(schema.GatewayReportSchema, bytes);
  const { address, life, sequence, leaving, used, inFlight, demand, peers, suspects } = received;
  const now = readNow();
  const report: gateway.PeerReport = {
    address,
    life,
    sequence,
    leaving,
    used: new Map(used.map((one) => [one.workspace, one.amount])),
    demand: new Map(demand.map((one) => [one.service, one.requests])),
    inFlight: new Map(inFlight.map((one) => [one.serverId, one.requests])),
    peers,
  };
  gateway
    .applyReport(state.peers, report, now)
    .forEach(({ workspace, amount }) => gateway.applyPeerUse(state.quotas, workspace, amount));
  gateway.mergeSuspects(state.suspects, suspects, Date.now());
  peers
    .filter((one) => one !== peer.own)
    .forEach((one) => gateway.addHearsay(state.peers, one, now));
}

/** Starts to exchange reports. */
export function startPeerTask(options: PeerTaskOptions): PeerTask {
  const { host, port } = options.listen;
  const peer: PeerState = { options, own: options.state.address, sequence: 0 };
  const socket = dgram.createSocket('udp4');
  socket.on('error', (error) => options.reportProblem(error.message));
  socket.on('message', (bytes) => {
    try {
      receiveReport(peer, bytes);
    } catch (error) {
      options.reportProblem((error as Error).message);
    }
  });
  socket.bind(port, host);
  const timer = setInterval(() => {
    gateway.expirePeers(options.state.peers, options.readNow());
    gateway.expireSuspects(options.state.suspects, Date.now());
    sendReport(peer, socket, false);
  }, gateway.REPORT_MS);
  return {
    sendLeaving: () => sendReport(peer, socket, true),
    stop: () => {
      clearInterval(timer);
      socket.close();
    },
  };
}
