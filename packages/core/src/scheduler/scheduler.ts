/** The scheduler: which waiting requests of its cells get which places. */
import type * as schema from '@toucanproxy/schema';
import * as asks from './asks.js';
import * as candidates from './candidates.js';
import * as cells from './cell.js';
import * as placeCount from './place-count.js';
import * as places from './places.js';
import * as rateLimit from './rate-limit.js';
import * as requestMatch from './request-match.js';
import type * as scheduledRequest from './scheduled-request.js';
import type * as serverChoice from './server-choice.js';
import * as waiting from './waiting.js';
import * as warmUp from './warm-up.js';

/** A decision, for the log. */
export type SchedulingDecision = {
  kind: 'granted' | 'declined';
  cell: string;
  request: scheduledRequest.ScheduledRequest;
  /** Requests that wait in the cell after it. */
  queued: number;
  /** The chosen backend server and the two next best; empty where there was none. */
  weighed: readonly serverChoice.Candidate[];
  /** Backend servers that were left out, those without a place, and those held back. */
  leftOut: number;
  full: number;
  heldBack: number;
};

export type Scheduler = {
  /** Address and life of the gateway that it is a part of. */
  address: string;
  life: string;
  drawRandom: () => number;
  cells: Map<string, cells.Cell>;
  /** Goes up with each grant, so that a later one is told from an earlier one. */
  nextGrant: number;
};

/** A cell that nobody has asked for this time is forgotten, milliseconds. */
const IDLE_CELL_MS = 30_000;
/**
 * A gateway that has been silent for this time is forgotten, with what it has in flight
 * and what waits for it, milliseconds. It tells of both four times a second; one that
 * was killed has lost them, and its places would stand empty.
 */
const SILENT_MS = 1200;
/** Backend servers named in a note. */
const MAX_WEIGHED = 3;
const NOTHING_WEIGHED = { weighed: [], leftOut: 0, full: 0, heldBack: 0 };

/** Creates a scheduler without cells. */
export function createScheduler(
  address: string,
  life: string,
  drawRandom: () => number,
): Scheduler {
  return { address, life, drawRandom, cells: new Map(), nextGrant: 1 };
}

/** Gets a cell, made where there is none. */
function getCell(scheduler: Scheduler, name: string, now: number): cells.Cell {
  const cell = scheduler.cells.get(name) ?? cells.createCell(name, now);
  scheduler.cells.set(name, cell);
  return cell;
}

/** Takes in an ask of a gateway, this one included. */
export function receiveAsk(scheduler: Scheduler, ask: schema.ScheduleAsk, now: number): void {
  asks.receiveAsk(getCell(scheduler, ask.cell, now), ask, scheduler.drawRandom, now);
}

/** Tells whether requests wait for a place in a cell of this scheduler. */
export function hasQueuedRequests({ cells: all }: Scheduler): boolean {
  return [...all.values()].some(({ queue }) => queue.items.length > 0);
}

/** Forgets what was seen of a backend server that has restarted or gone. */
export function forgetServer(scheduler: Scheduler, serverId: string): void {
  scheduler.cells.forEach((cell) => {
    cell.loads.delete(serverId);
    cell.starts.delete(serverId);
    cell.rateLimits.delete(serverId);
    cell.askers.forEach(({ backoffs }) => backoffs.delete(serverId));
  });
}

/** Gives a place to a request. */
function grantPlace(
  scheduler: Scheduler,
  cell: cells.Cell,
  { request, chosen }: requestMatch.Match,
  { recentEntries: news, reachableShare: heardShare }: candidates.CellServers,
  now: number,
): void {
  const limit = cell.rateLimits.get(chosen.id);
  rateLimit.noteStart(limit, heardShare, now);
  waiting.takeRequest(cell, request, now);
  cell.requests.delete(request.id);
  const asker = cell.askers.get(request.asker);
  if (asker === undefined) {
    return;
  }
  asker.requests.delete(request.serial);
  const number = scheduler.nextGrant;
  scheduler.nextGrant += 1;
  asker.openGrants.push({ number, serverId: chosen.id, grantedMs: now });
  const idleFirstMs = waiting.estimateFirstMs(request) * chosen.slowness;
  const { serial } = request;
  const entry = news.get(chosen.id);
  const isRateLimited = rateLimit.isLimited(limit);
  asker.reply.grants.push({
    number,
    serial,
    serverId: chosen.id,
    idleFirstMs,
    entry,
    isRateLimited,
  });
}

/** Lists the best candidates after the chosen one, for the log. */
function listWeighed(
  all: readonly serverChoice.Candidate[],
  chosen: serverChoice.Candidate,
): serverChoice.Candidate[] {
  const others = all.filter((one) => one !== chosen);
  others.sort((a, b) => a.inFlight / a.slots - b.inFlight / b.slots || a.slowness - b.slowness);
  return [chosen, ...others].slice(0, MAX_WEIGHED).map((one) => ({ ...one }));
}

/** Refuses the requests that would wait in vain. */
function refuseSpent(scheduler: Scheduler, cell: cells.Cell, now: number): SchedulingDecision[] {
  return waiting.updateLate(cell, now).map((request) => {
    const asker = cell.askers.get(request.asker);
    cell.requests.delete(request.id);
    if (asker !== undefined) {
      asker.requests.delete(request.serial);
      asks.refuseRequest(cell, asker, request, false, scheduler.drawRandom, now);
    }
    const queued = cell.queue.items.length;
    return { kind: 'declined', cell: cell.name, request, queued, ...NOTHING_WEIGHED };
  });
}

/** Gives out the open places of a cell. */
function grantOpen(
  scheduler: Scheduler,
  cell: cells.Cell,
  servers: candidates.CellServers,
  now: number,
): SchedulingDecision[] {
  if (cell.queue.items.length === 0) {
    return [];
  }
  const count = placeCount.countPlaces(scheduler.address, cell, servers, now);
  const all = candidates.listCandidates(cell, servers, count.takenByServer, now);
  const { tokensPerEvent } = servers;
  const isBounded = servers.warmUp !== undefined;
  const { drawRandom } = scheduler;
  const search = { cell, candidates: all, tokensPerEvent, drawRandom, now };
  const notes: SchedulingDecision[] = [];
  let { taken } = count;
  let match = taken < count.usable ? requestMatch.findNextMatch(search) : undefined;
  while (match !== undefined) {
    const { request, chosen } = match;
    notes.push({
      kind: 'granted',
      cell: cell.name,
      request,
      queued: cell.queue.items.length - 1,
      weighed: listWeighed(all, chosen),
      leftOut: servers.entries.length - all.length,
      full: all.filter(({ slots, inFlight }) => inFlight >= slots).length,
      heldBack: all.filter(({ startsLeft }) => startsLeft === 0).length,
    });
    grantPlace(scheduler, cell, match, servers, now);
    if (isBounded) {
      warmUp.noteStart(cell.starts, chosen.id, now);
    }
    chosen.inFlight += 1;
    chosen.startsLeft -= 1;
    taken += 1;
    match = taken < count.usable ? requestMatch.findNextMatch(search) : undefined;
  }
  return notes;
}

/** Forgets gateways that have been silent for long. */
function expireAskers(cell: cells.Cell, now: number): void {
  [...cell.askers]
    .filter(([, { heardMs }]) => now - heardMs > SILENT_MS)
    .forEach(([address, asker]) => {
      asks.dropRequests(cell, asker);
      cell.askers.delete(address);
    });
}

/**
 * Decides in all cells, and gives what was decided for the log.
 *
 * @param findServers gives what is known of the backend servers of a cell
 */
export function scheduleRequests(
  scheduler: Scheduler,
  findServers: (cellName: string) => candidates.CellServers,
  now: number,
): SchedulingDecision[] {
  return [...scheduler.cells.values()].flatMap((cell) => {
    if (now - cell.askedMs > IDLE_CELL_MS) {
      scheduler.cells.delete(cell.name);
      return [];
    }
    expireAskers(cell, now);
    places.expireGrants(cell, now);
    warmUp.expireStarts(cell.starts, now);
    const declined = refuseSpent(scheduler, cell, now);
    return [...declined, ...grantOpen(scheduler, cell, findServers(cell.name), now)];
  });
}
