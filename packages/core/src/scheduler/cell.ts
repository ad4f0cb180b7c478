/** The state of one cell: its waiting requests, its gateways and its backend servers. */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as queueThroughput from '../shared/queue-throughput.js';
import * as addedLatency from './added-latency.js';
import * as overload from '../shared/overload.js';
import type * as rateLimit from './rate-limit.js';
import * as recentUse from './recent-use.js';
import type * as scheduledRequest from './scheduled-request.js';
import * as serverHealth from './server-health.js';
import * as serverWork from './server-work.js';
import * as waitQueue from './wait-queue.js';
import * as waiting from './waiting.js';

/** A granted slot that its gateway has not yet reported as used. */
export type UnreportedGrant = {
  number: number;
  serverId: string;
  grantedMs: number;
  work: serverWork.ServerWork;
};

/** A granted slot of which a gateway is to be informed. */
export type PlaceGrant = {
  number: number;
  serial: number;
  serverId: string;
  idleFirstMs: number;
  aheadMs: number;
  predictedFirstMs: number;
  /** Store entry of the backend server, if the gateway may not have read it yet. */
  entry: backendServerEntry.BackendServerEntry | undefined;
  isRateLimited: boolean;
};

/** What the next reply to a gateway contains. */
export type PendingReply = {
  /** The gateway has sent a `ScheduleAsk` that has had no reply yet. */
  isDue: boolean;
  /** Requests that were queued, by serial. */
  accepted: number[];
  /** Requests that the gateway reports as waiting but the scheduler does not know, by serial. */
  unknown: number[];
  grants: PlaceGrant[];
  refusals: { serial: number; isOnArrival: boolean; retryAfterMs: number }[];
};

/** A gateway that asks for slots in a cell. */
export type CellAsker = {
  /** Incarnation of the gateway process: changes when it restarts. */
  life: string;
  failureDomain: string;
  /** Sequence number of its latest `ScheduleAsk`. */
  sequence: number;
  /** When its latest `ScheduleAsk` arrived, milliseconds. */
  heardMs: number;
  /** Time in which replies reach it, measured from its asks, milliseconds; 0 if unknown. */
  replyMs: number;
  /** Its requests in flight by backend server, as it last reported. */
  inFlight: Map<string, number>;
  /** The work of these requests. */
  work: Map<string, serverWork.ServerWork>;
  /** Its messages state the work of its requests. */
  reportsWork: boolean;
  /** Until when backend servers accept nothing from it, by their ids, milliseconds. */
  backoffs: Map<string, number>;
  /** Grants that it has not yet reported as used. */
  unreportedGrants: UnreportedGrant[];
  /** Recent use of the service by its workspaces as it last reported it, and when. */
  recentUse: readonly recentUse.ReportedUse[];
  recentUseMs: number;
  /** Its waiting requests, by serial. */
  requests: Map<number, scheduledRequest.ScheduledRequest>;
  reply: PendingReply;
};

/** Totals of returns (callers that retry) that were queued although they would be late. */
export type LateReturns = { queued: number; sent: number; refused: number };

export type Cell = {
  name: string;
  /** When this gateway began to schedule the cell, milliseconds. */
  createdMs: number;
  /** When the latest `ScheduleAsk` for the cell arrived, milliseconds. */
  lastAskMs: number;
  /** Health of the backend servers, by id. */
  healthByServer: Map<string, serverHealth.ServerHealth>;
  /** Times of recent grants by backend server id, milliseconds. */
  starts: Map<string, number[]>;
  /** Rate limits that backend servers have announced, by id. */
  rateLimits: rateLimit.RateLimits;
  /** The gateways that ask for slots, by address. */
  askers: Map<string, CellAsker>;
  queue: waitQueue.WaitQueue;
  recentUse: recentUse.RecentUse;
  /** The requests in the queue, by id. */
  requests: Map<number, scheduledRequest.ScheduledRequest>;
  nextId: number;
  /** Requests that waited in the last scheduling pass so as not to pause running streams. */
  requestsDeferred: number;
  /** Throughput of the whole queue. */
  throughput: queueThroughput.QueueThroughput;
  /** Throughput of each rank of the queue. */
  throughputByRank: Map<number, queueThroughput.QueueThroughput>;
  overload: overload.Overload;
  lateReturns: LateReturns;
  /** Measured across all backend servers of the cell. */
  addedLatency: addedLatency.AddedLatency;
  promptSpeed: serverWork.PromptSpeed;
};

/** Creates a cell without requests. */
export function createCell(name: string, now: number): Cell {
  return {
    name,
    createdMs: now,
    lastAskMs: now,
    healthByServer: new Map(),
    starts: new Map(),
    rateLimits: new Map(),
    askers: new Map(),
    queue: waitQueue.createWaitQueue(waiting.findUrgency),
    recentUse: recentUse.createRecentUse(),
    requests: new Map(),
    nextId: 1,
    requestsDeferred: 0,
    throughput: queueThroughput.createQueueThroughput(),
    throughputByRank: new Map(),
    overload: overload.createOverload(),
    lateReturns: { queued: 0, sent: 0, refused: 0 },
    addedLatency: addedLatency.createAddedLatency(),
    promptSpeed: serverWork.createPromptSpeed(),
  };
}

/** Returns the health of a backend server; creates it if there is none. */
export function getServerHealth(cell: Cell, serverId: string): serverHealth.ServerHealth {
  const health = cell.healthByServer.get(serverId) ?? serverHealth.createServerHealth();
  cell.healthByServer.set(serverId, health);
  return health;
}

/** Creates an empty reply. */
export function createPendingReply(): PendingReply {
  return { isDue: false, accepted: [], unknown: [], grants: [], refusals: [] };
}
