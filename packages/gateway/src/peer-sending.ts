/** Sends datagrams to other gateways and counts them. */
import type * as dgram from 'node:dgram';
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import * as domainTraffic from './domain-traffic.js';

type SendOptions = {
  state: gateway.GatewayState;
  traffic: domainTraffic.DomainTraffic;
  reportProblem: (reason: string) => void;
};

type Content = schema.PeerMessage['content'];

export type PeerSender = {
  options: SendOptions;
  socket: Pick<dgram.Socket, 'send'>;
  /** The socket is closed; responses that are still forwarded send nothing any more. */
  isStopped: boolean;
};

/**
 * Counts the bytes of a datagram. A peer that has not reported its failure domain counts as being
 * in another one.
 */
function countSent(
  { state, traffic }: SendOptions,
  address: string,
  cause: Content['case'],
  bytes: number,
): void {
  if (cause !== undefined) {
    const isOwnDomain = gateway.findPeerDomain(state.peers, address) === state.failureDomain;
    domainTraffic.countDatagram(traffic, isOwnDomain, cause, bytes);
  }
}

/** Sends the same datagram to some gateways. */
export function sendMessage(
  { options, socket }: PeerSender,
  addresses: readonly string[],
  content: Content,
): void {
  const message = schema.create(schema.PeerMessageSchema, { content });
  const { bytes, trimmed } = schema.encodePeerMessage(message);
  if (trimmed.length > 0) {
    options.reportProblem(`out of range: ${[...new Set(trimmed)].join()}`);
  }
  addresses.forEach((address) => {
    const [host, port] = address.split(':');
    countSent(options, address, content.case, bytes.length);
    socket.send(bytes, Number(port), host, (error) => {
      if (error !== null) {
        options.reportProblem(error.message);
      }
    });
  });
}

/** Builds the content of a datagram from a message about requests. */
function buildContent(message: gateway.OutgoingMessage): Content {
  switch (message.kind) {
    case 'ask':
      return { case: message.kind, value: message.ask };
    case 'reply':
      return { case: message.kind, value: message.reply };
    case 'lostRuns':
      return { case: message.kind, value: message.lostRuns };
    case 'origins':
      return { case: message.kind, value: message.origins };
    default:
      return { case: message.kind, value: message.originQuery };
  }
}

/** Sends messages about requests; one that goes to several gateways is encoded once. */
export function sendOutgoing(peer: PeerSender, outgoing: readonly gateway.OutgoingMessage[]): void {
  if (peer.isStopped) {
    return;
  }
  const receivers = new Map<unknown, { content: Content; addresses: string[] }>();
  outgoing.forEach((message) => {
    const content = buildContent(message);
    const known = receivers.get(content.value) ?? { content, addresses: [] };
    known.addresses.push(message.to);
    receivers.set(content.value, known);
  });
  receivers.forEach(({ content, addresses }) => sendMessage(peer, addresses, content));
}
