/**
 * Links between entries and agents under a virtual clock, as TCP gives them:
 * in order, late during a partition, lost for good once a connection is silent.
 */
import * as randomSource from './random-source.js';

/** One direction of a connection; messages leave in the order they came. */
type Lane = { waiting: (() => void)[]; readyMs: number };

export type Connection = {
  entryId: string;
  entryLife: string;
  agentId: string;
  /** Number of the link at the agent; chosen when it arrives there. */
  linkId: number;
  entryOpen: boolean;
  agentOpen: boolean;
  /** Bytes vanish in both directions; neither end is told. */
  silent: boolean;
  toAgent: Lane;
  toEntry: Lane;
};

export type Partition = { entryIds: string[]; agentIds: string[]; untilMs: number };

export type Network = {
  /** One-way time of a link, milliseconds. */
  latencyMs: number;
  /** Spread added to it, milliseconds. */
  jitterMs: number;
  partitions: Partition[];
  connections: Connection[];
  nextLinkId: number;
  drawRandom: randomSource.DrawRandom;
  getNow: () => number;
  schedule: (delayMs: number, action: () => void) => void;
};

/** Creates a connection that only the entry knows of. */
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

/** Computes when a pair can reach each other again; 0 where it can now. */
function computeBlockedUntil(network: Network, connection: Connection): number {
  const { entryId, agentId } = connection;
  const blocking = network.partitions.filter(
    (one) => one.entryIds.includes(entryId) && one.agentIds.includes(agentId),
  );
  return Math.max(0, ...blocking.map((one) => one.untilMs));
}

/** Delivers the oldest message of a lane, or waits for the end of a partition. */
function passNext(network: Network, connection: Connection, lane: Lane): void {
  const delayMs = computeBlockedUntil(network, connection) - network.getNow();
  if (delayMs > 0) {
    network.schedule(delayMs, () => passNext(network, connection, lane));
    return;
  }
  const action = lane.waiting.shift();
  if (action !== undefined && !connection.silent) {
    action();
  }
}

/** Sends something over one direction of a connection. */
export function sendOver(
  network: Network,
  connection: Connection,
  lane: Lane,
  action: () => void,
): void {
  const { latencyMs, jitterMs, drawRandom } = network;
  const arrivesMs = network.getNow() + latencyMs + drawRandom() * jitterMs;
  lane.readyMs = Math.max(lane.readyMs, arrivesMs);
  lane.waiting.push(action);
  network.schedule(lane.readyMs - network.getNow(), () => passNext(network, connection, lane));
}

/** Forgets connections that both ends have closed. */
export function removeClosedConnections(network: Network): void {
  network.connections = network.connections.filter((one) => one.entryOpen || one.agentOpen);
}
