/** Datagrams between gateways in virtual time: delayed, lost, and cut. */
import type * as assignment from '../assignment.js';

export type NetworkOptions = {
  delayMs: number;
  /** Part of the datagrams that is lost. */
  lossShare: number;
  drawRandom: () => number;
  /** Tells whether nothing gets from one address to another at a time. */
  isCut: (from: string, to: string, now: number) => boolean;
};

type Datagram = { from: string; content: assignment.OutgoingMessage; dueMs: number };

export type DatagramNetwork = { options: NetworkOptions; inTransit: Datagram[] };

/** Creates a network with nothing on its way. */
export function createNetwork(options: NetworkOptions): DatagramNetwork {
  return { options, inTransit: [] };
}

/** Sends datagrams. */
export function sendDatagrams(
  { options, inTransit: onWay }: DatagramNetwork,
  from: string,
  outgoing: readonly assignment.OutgoingMessage[],
  now: number,
): void {
  outgoing
    .filter(({ to }) => !options.isCut(from, to, now))
    .filter(() => options.drawRandom() >= options.lossShare)
    .forEach((content) => onWay.push({ from, content, dueMs: now + options.delayMs }));
}

/** Takes the next datagram that arrives by a time; all take the same time on their way. */
export function takeNextDue(
  { inTransit: onWay }: DatagramNetwork,
  untilMs: number,
): Datagram | undefined {
  return onWay.length > 0 && onWay[0].dueMs <= untilMs ? onWay.shift() : undefined;
}
