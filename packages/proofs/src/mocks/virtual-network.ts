/**
 * Links between entries and agents under a virtual clock, with the behaviour of TCP:
 * messages arrive in order, are delayed by a partition, and are lost for good once a
 * connection is silent.
 */
import * as randomSource from './random-source.js';

/** One direction of a connection; it delivers messages in the order they were sent. */
type Channel = { waiting: (() => void)[]; readyMs: number };

export type Connection = {
  entryId: string;
  entryLife: string;
  agentId: string;
  /** Id of the link at the agent. */
  linkId: number;
  entryOpen: boolean;
  agentOpen: boolean;
  /** Whether all bytes are lost in both directions without either end being notified. */
  silent: boolean;
  toAgent: Channel;
  toEntry: Channel;
};

export type Partition = { entryIds: string[]; agentIds: string[]; untilMs: number };

export type Network = {
  /** One-way latency of a link, milliseconds. */
  latencyMs: number;
  /** Maximum random addition to the latency, milliseconds. */
  jitterMs: number;
  partitions: Partition[];
  connections: Connection[];
  nextLinkId: number;
  drawRandom: randomSource.DrawRandom;
  getNow: () => number;
  schedule: (delayMs: number, action: () => void) => void;
};

/** Creates a connection that is open at the entry and not yet at the agent. */
export function createConnection(
  network: Network,
  ends: { entryId: string; entryLife: string; agentId: string },
): Connection {
  const connection: Connection = {
    ...ends,
    linkId: network.nextLinkId,
    entryOpen: true,
    agentOpen: false,
    silent: false,
    toAgent: { waiting: [], readyMs: 0 },
    toEntry: { waiting: [], readyMs: 0 },
  };
  network.nextLinkId += 1;
  network.connections.push(connection);
  return connection;
}

/** Returns when the last partition between the two ends is over; 0 if there is none. */
function computePartitionEnd(network: Network, connection: Connection): number {
  const { entryId, agentId } = connection;
  const blocking = network.partitions.filter(
    (one) => one.entryIds.includes(entryId) && one.agentIds.includes(agentId),
  );
  return Math.max(0, ...blocking.map((one) => one.untilMs));
}

/** Delivers the oldest message of a channel, or waits for the end of a partition. */
function deliverNext(network: Network, connection: Connection, channel: Channel): void {
  const delayMs = computePartitionEnd(network, connection) - network.getNow();
  if (delayMs > 0) {
    network.schedule(delayMs, () => deliverNext(network, connection, channel));
    return;
  }
  const action = channel.waiting.shift();
  if (action !== undefined && !connection.silent) {
    action();
  }
}

/** Schedules the delivery of a message over one direction of a connection. */
export function sendOver(
  network: Network,
  connection: Connection,
  channel: Channel,
  action: () => void,
): void {
  const { latencyMs, jitterMs, drawRandom } = network;
  const arrivesMs = network.getNow() + latencyMs + drawRandom() * jitterMs;
  channel.readyMs = Math.max(channel.readyMs, arrivesMs);
  channel.waiting.push(action);
  network.schedule(channel.readyMs - network.getNow(), () =>
    deliverNext(network, connection, channel),
  );
}

/** Removes connections that both ends have closed. */
export function removeClosedConnections(network: Network): void {
  network.connections = network.connections.filter((one) => one.entryOpen || one.agentOpen);
}
