/** The scheduler: grants slots to the waiting requests of its cells. */
import type * as schema from '@toucanproxy/schema';
import * as asks from './asks.js';
import * as candidates from './candidates.js';
import * as cells from './cell.js';
import * as placeCount from './place-count.js';
import * as places from './places.js';
import * as rateLimit from './rate-limit.js';
import * as recentUse from './recent-use.js';
import * as requestMatch from './request-match.js';
import type * as scheduledRequest from './scheduled-request.js';
import type * as serverChoice from './server-choice.js';
import * as serverWork from './server-work.js';
import * as waiting from './waiting.js';
import * as warmUp from './warm-up.js';

/** A scheduling decision, for the log. */
export type SchedulingDecision = {
  kind: 'granted' | 'declined';
  cell: string;
  request: scheduledRequest.ScheduledRequest;
  /** Requests left in the queue of the cell after the decision. */
  queued: number;
  /** The chosen backend server and up to two alternatives; empty if the request was declined. */
  weighed: readonly serverChoice.Candidate[];
  /** Predicted time to the first event, milliseconds; undefined if the request was declined. */
  predictedFirstMs: number | undefined;
  /** Number of backend servers that were paused or ejected. */
  leftOut: number;
  /** Number of backend servers whose slots were all in use. */
  full: number;
  /** Number of backend servers held back by their warm-up or rate limit. */
  heldBack: number;
  /** Recent work of the workspace at this urgency, over all cells, tokens; if declined. */
  recentUseTokens?: number;
};

export type Scheduler = {
  /** Address of the gateway that runs the scheduler. */
  address: string;
  /** Incarnation of that gateway's process: changes when it restarts. */
  life: string;
  drawRandom: () => number;
  /** Cells by name. */
  cells: Map<string, cells.Cell>;
  /** Number of the next grant; increases so that gateways can report the last one received. */
  nextGrant: number;
};

/** A cell is removed if no gateway has asked for slots in it for this time, milliseconds. */
const IDLE_CELL_MS = 30_000;
/**
 * A gateway from which nothing was received for this time, milliseconds, is removed together with
 * its waiting requests and those in flight. A running gateway reports both four times per second;
 * one that was killed has lost them, and its slots would remain unused.
 */
const ASKER_TIMEOUT_MS = 1200;
/** Maximum number of backend servers listed in a decision. */
const MAX_WEIGHED = 3;
const NOTHING_WEIGHED = {
  weighed: [],
  predictedFirstMs: undefined,
  leftOut: 0,
  full: 0,
  heldBack: 0,
};

/** Creates a scheduler without cells. */
export function createScheduler(
  address: string,
  life: string,
  drawRandom: () => number,
): Scheduler {
  return { address, life, drawRandom, cells: new Map(), nextGrant: 1 };
}

/** Returns a cell; creates it if there is none. */
function getCell(scheduler: Scheduler, name: string, now: number): cells.Cell {
  const cell = scheduler.cells.get(name) ?? cells.createCell(name, now);
  scheduler.cells.set(name, cell);
  return cell;
}

/** Handles a `ScheduleAsk` of any gateway, including this one. */
export function receiveAsk(scheduler: Scheduler, ask: schema.ScheduleAsk, now: number): void {
  asks.receiveAsk(getCell(scheduler, ask.cell, now), ask, scheduler.drawRandom, now);
}

/** Reports whether requests wait for a slot in any cell of this scheduler. */
export function hasQueuedRequests({ cells: all }: Scheduler): boolean {
  return [...all.values()].some(({ queue }) => queue.items.length > 0);
}

/** Removes what is known of a backend server that has restarted or is gone. */
export function forgetServer(scheduler: Scheduler, serverId: string): void {
  scheduler.cells.forEach((cell) => {
    cell.healthByServer.delete(serverId);
    cell.starts.delete(serverId);
    cell.rateLimits.delete(serverId);
    cell.askers.forEach(({ backoffs }) => backoffs.delete(serverId));
  });
}

/** Grants a request a slot at the chosen backend server. */
function grantPlace(
  scheduler: Scheduler,
  cell: cells.Cell,
  { request, chosen }: requestMatch.Match,
  { recentEntries, reachableShare }: candidates.CellServers,
  now: number,
): void {
  const limit = cell.rateLimits.get(chosen.id);
  rateLimit.noteStart(limit, reachableShare, now);
  waiting.takeRequest(cell, request, now);
  recentUse.noteGrant(cell.recentUse, request, now);
  cell.requests.delete(request.id);
  const asker = cell.askers.get(request.asker);
  if (asker === undefined) {
    return;
  }
  asker.requests.delete(request.serial);
  const number = scheduler.nextGrant;
  scheduler.nextGrant += 1;
  const { promptTokens: unreadTokens, answerTokens } = request;
  const work = { unreadTokens, answerTokens };
  asker.unreportedGrants.push({ number, serverId: chosen.id, grantedMs: now, work });
  const idleFirstMs = waiting.estimateIdleFirstMs(cell, request) * chosen.slowness;
  const { serial } = request;
  const entry = recentEntries.get(chosen.id);
  const isRateLimited = rateLimit.isLimited(limit);
  asker.reply.grants.push({
    number,
    serial,
    serverId: chosen.id,
    idleFirstMs,
    aheadMs: serverWork.toWireNumber(chosen.aheadMs),
    predictedFirstMs: serverWork.toWireNumber(waiting.estimateFirstMs(cell, request, chosen)),
    entry,
    isRateLimited,
  });
}

/** Lists the chosen candidate and the least loaded alternatives, for the log. */
function listWeighed(
  all: readonly serverChoice.Candidate[],
  chosen: serverChoice.Candidate,
): serverChoice.Candidate[] {
  const others = all.filter((one) => one !== chosen);
  others.sort((a, b) => a.inFlight / a.slots - b.inFlight / b.slots || a.slowness - b.slowness);
  return [chosen, ...others].slice(0, MAX_WEIGHED).map((one) => ({ ...one }));
}

/** Refuses the waiting requests that can no longer be served in time. */
function refuseUnservable(
  scheduler: Scheduler,
  cell: cells.Cell,
  now: number,
): SchedulingDecision[] {
  return waiting.updateLateRequests(cell, now).map((request) => {
    const asker = cell.askers.get(request.asker);
    cell.requests.delete(request.id);
    if (asker !== undefined) {
      asker.requests.delete(request.serial);
      asks.refuseRequest(cell, asker, request, false, scheduler.drawRandom, now);
    }
    const queued = cell.queue.items.length;
    const recentUseTokens = recentUse.getReported(cell.recentUse, request, now);
    const declined = { kind: 'declined', cell: cell.name, request, queued } as const;
    return { ...declined, ...NOTHING_WEIGHED, recentUseTokens };
  });
}

/** Grants the free slots of a cell. */
function grantOpenPlaces(
  scheduler: Scheduler,
  cell: cells.Cell,
  servers: candidates.CellServers,
  now: number,
): SchedulingDecision[] {
  cell.requestsDeferred = 0;
  if (cell.queue.items.length === 0) {
    return [];
  }
  const count = placeCount.countPlaces(scheduler.address, cell, servers, now);
  const all = candidates.listCandidates(cell, servers, count.takenByServer, now);
  const { tokensPerEvent, maxPauseMs } = servers;
  const isBounded = servers.warmUp !== undefined;
  const { drawRandom } = scheduler;
  const deferred = new Set<number>();
  const keepsDomains = (servers.toleratedDomainLosses ?? 0) > 0;
  const limits = { tokensPerEvent, maxPauseMs, keepsDomains };
  const search = { cell, candidates: all, ...limits, deferred, drawRandom, now };
  const decisions: SchedulingDecision[] = [];
  let { taken } = count;
  let match = taken < count.usable ? requestMatch.findNextMatch(search) : undefined;
  while (match !== undefined) {
    const { request, chosen } = match;
    decisions.push({
      kind: 'granted',
      cell: cell.name,
      request,
      queued: cell.queue.items.length - 1,
      weighed: listWeighed(all, chosen),
      predictedFirstMs: waiting.estimateFirstMs(cell, request, chosen),
      leftOut: servers.entries.length - all.length,
      full: all.filter(({ slots, inFlight }) => inFlight >= slots).length,
      heldBack: all.filter(({ startsLeft }) => startsLeft === 0).length,
    });
    grantPlace(scheduler, cell, match, servers, now);
    if (isBounded) {
      warmUp.noteStart(cell.starts, chosen.id, now);
    }
    candidates.addRequest(cell, chosen, request);
    chosen.startsLeft -= 1;
    taken += 1;
    match = taken < count.usable ? requestMatch.findNextMatch(search) : undefined;
  }
  cell.requestsDeferred = deferred.size;
  return decisions;
}

/** Removes gateways from which nothing was received for `ASKER_TIMEOUT_MS`. */
function expireAskers(cell: cells.Cell, now: number): void {
  [...cell.askers]
    .filter(([, { heardMs }]) => now - heardMs > ASKER_TIMEOUT_MS)
    .forEach(([address, asker]) => {
      asks.dropRequests(cell, asker);
      asks.dropUse(cell, asker, now);
      cell.askers.delete(address);
    });
}

/**
 * Makes the scheduling decisions in all cells and returns them for the log.
 *
 * @param findServers returns what is known of the backend servers of a cell
 */
export function scheduleRequests(
  scheduler: Scheduler,
  findServers: (cellName: string) => candidates.CellServers,
  now: number,
): SchedulingDecision[] {
  return [...scheduler.cells.values()].flatMap((cell) => {
    if (now - cell.lastAskMs > IDLE_CELL_MS) {
      scheduler.cells.delete(cell.name);
      return [];
    }
    expireAskers(cell, now);
    places.expireGrants(cell, now);
    warmUp.expireStarts(cell.starts, now);
    const declined = refuseUnservable(scheduler, cell, now);
    return [...declined, ...grantOpenPlaces(scheduler, cell, findServers(cell.name), now)];
  });
}
