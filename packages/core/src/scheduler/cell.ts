/** The state of one cell: what waits for its backend servers, and what they have. */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as queueThroughput from '../shared/queue-throughput.js';
import * as firstDelay from './first-delay.js';
import * as overload from '../shared/overload.js';
import type * as rateLimit from './rate-limit.js';
import type * as scheduledRequest from './scheduled-request.js';
import * as serverHealth from './server-health.js';
import * as waitQueue from './wait-queue.js';

/** A place that was granted and that its gateway has not told of yet. */
export type OpenGrant = { number: number; serverId: string; grantedMs: number };

/** A place that a gateway is to be told of. */
export type PlaceGrant = {
  number: number;
  serial: number;
  serverId: string;
  idleFirstMs: number;
  /** What the store tells of the backend server, where that is news. */
  entry: backendServerEntry.BackendServerEntry | undefined;
  isRateLimited: boolean;
};

/** What a gateway is to be told next. */
export type PendingReply = {
  /** Something has come from the gateway that it waits for an answer to. */
  isDue: boolean;
  accepted: number[];
  unknown: number[];
  grants: PlaceGrant[];
  refusals: { serial: number; isOnArrival: boolean; retryAfterMs: number }[];
};

/** A gateway that asks for places. */
export type CellAsker = {
  life: string;
  failureDomain: string;
  sequence: number;
  heardMs: number;
  /** Its requests by backend server, as it last told. */
  inFlight: Map<string, number>;
  /** Until when backend servers take nothing from it, by their ids, milliseconds. */
  backoffs: Map<string, number>;
  /** Grants that it has not told of yet. */
  openGrants: OpenGrant[];
  /** Its requests that wait, by its number for them. */
  requests: Map<number, scheduledRequest.ScheduledRequest>;
  reply: PendingReply;
};

export type Cell = {
  name: string;
  /** When this gateway began to schedule it, milliseconds. */
  createdMs: number;
  /** When an ask for it last came, milliseconds. */
  askedMs: number;
  loads: Map<string, serverHealth.ServerHealth>;
  /** When requests were given to a backend server lately, by its id, milliseconds. */
  starts: Map<string, number[]>;
  /** Limits that backend servers have named, by id. */
  rateLimits: rateLimit.RateLimits;
  askers: Map<string, CellAsker>;
  queue: waitQueue.WaitQueue;
  requests: Map<number, scheduledRequest.ScheduledRequest>;
  nextId: number;
  /** How fast all requests go, and those of each rank of the queue. */
  drain: queueThroughput.QueueThroughput;
  drainByRank: Map<number, queueThroughput.QueueThroughput>;
  overload: overload.Overload;
  /** Seen at all its backend servers. */
  firstDelay: firstDelay.FirstDelay;
};

/** Creates a cell in which nothing waits. */
export function createCell(name: string, now: number): Cell {
  return {
    name,
    createdMs: now,
    askedMs: now,
    loads: new Map(),
    starts: new Map(),
    rateLimits: new Map(),
    askers: new Map(),
    queue: waitQueue.createWaitQueue(),
    requests: new Map(),
    nextId: 1,
    drain: queueThroughput.createQueueThroughput(),
    drainByRank: new Map(),
    overload: overload.createOverload(),
    firstDelay: firstDelay.createFirstDelay(),
  };
}

/** Gets what is known of a backend server, made where there is nothing. */
export function getServerHealth(cell: Cell, serverId: string): serverHealth.ServerHealth {
  const load = cell.loads.get(serverId) ?? serverHealth.createServerLoad();
  cell.loads.set(serverId, load);
  return load;
}

/** Makes an empty reply. */
export function makeReply(): PendingReply {
  return { isDue: false, accepted: [], unknown: [], grants: [], refusals: [] };
}
