/** Simulates datagrams between gateways in virtual time, with delay, loss and partitions. */
import type * as outgoingMessage from '../outgoing-message.js';

export type NetworkOptions = {
  delayMs: number;
  /** Fraction of the datagrams that are lost. */
  lossShare: number;
  drawRandom: () => number;
  /** Returns whether the path from one address to another is cut at the given time. */
  isCut: (from: string, to: string, now: number) => boolean;
};

type Datagram = { from: string; content: outgoingMessage.OutgoingMessage; dueMs: number };

export type DatagramNetwork = { options: NetworkOptions; inTransit: Datagram[] };

/** Creates a network without datagrams in transit. */
export function createNetwork(options: NetworkOptions): DatagramNetwork {
  return { options, inTransit: [] };
}

/** Sends datagrams; some are lost. */
export function sendDatagrams(
  { options, inTransit }: DatagramNetwork,
  from: string,
  outgoing: readonly outgoingMessage.OutgoingMessage[],
  now: number,
): void {
  outgoing
    .filter(({ to }) => !options.isCut(from, to, now))
    .filter(() => options.drawRandom() >= options.lossShare)
    .forEach((content) => inTransit.push({ from, content, dueMs: now + options.delayMs }));
}

/**
 * Removes and returns the next datagram that arrives by the given time. All datagrams have the same
 * delay, so they arrive in the order of sending.
 */
export function takeNextDue({ inTransit }: DatagramNetwork, untilMs: number): Datagram | undefined {
  return inTransit.length > 0 && inTransit[0].dueMs <= untilMs ? inTransit.shift() : undefined;
}
