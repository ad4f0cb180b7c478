/**
 * Which waiting request gets which open place.
 *
 * Requests are looked at in the order of the queue, twice: first for one that
 * will be on time at an open place, then for any. Load pattern: all engines are
 * full and callers wait for tenths of a second. The first in line often has too
 * little time left at the engine that has a place; sent there it comes late, and
 * the next one, which had the time, comes late as well.
 */
import type * as cells from './cell.js';
import type * as scheduledRequest from './scheduled-request.js';
import * as serverChoice from './server-choice.js';
import type * as waitQueue from './wait-queue.js';
import * as waiting from './waiting.js';

export type Match = {
  request: scheduledRequest.ScheduledRequest;
  chosen: serverChoice.Candidate;
};

/** What the search for a match looks at. */
export type MatchSearch = {
  cell: cells.Cell;
  candidates: readonly serverChoice.Candidate[];
  tokensPerEvent: number;
  drawRandom: () => number;
  now: number;
};

type OpenSearch = MatchSearch & { open: readonly serverChoice.Candidate[] };

/** Waiting requests that are looked at for one place; bounds the work of a burst. */
const MAX_LOOK_AHEAD = 32;

/**
 * Tells whether a request would be on time at a backend server: its first event
 * before its target, its last one before its time is over. Load pattern: an answer
 * of 45 events within 3 s, which a fast engine ends in one second and a slow one
 * in four; cut at the end, all its work is lost.
 */
function isInTime(
  { tokensPerEvent, now }: MatchSearch,
  request: scheduledRequest.ScheduledRequest,
  candidate: serverChoice.Candidate,
): boolean {
  const idleMs = waiting.estimateFirstMs(request) * candidate.slowness;
  const firstMs = now + idleMs + candidate.firstExtraMs;
  const endMs = firstMs + (request.answerTokens / tokensPerEvent) * candidate.unitMs;
  return firstMs <= request.targetMs && endMs <= request.giveUpMs;
}

/** Lists the backend servers that take something from a gateway now. */
function listTaking(
  { cell, now }: MatchSearch,
  all: readonly serverChoice.Candidate[],
  asker: string,
): readonly serverChoice.Candidate[] {
  const backoffs = cell.askers.get(asker)?.backoffs;
  return backoffs === undefined || backoffs.size === 0
    ? all
    : all.filter(({ id }) => (backoffs.get(id) ?? 0) <= now);
}

/** Lists the backend servers that a request may go to. */
function listAllowed(
  search: MatchSearch,
  all: readonly serverChoice.Candidate[],
  { asker, excludedDomains }: scheduledRequest.ScheduledRequest,
): readonly serverChoice.Candidate[] {
  const taking = listTaking(search, all, asker);
  return excludedDomains.size === 0
    ? taking
    : taking.filter(({ failureDomain }) => !excludedDomains.has(failureDomain));
}

/** Lists the open places of a request; those that failed it only where there are no others. */
function listPlaces(
  search: OpenSearch,
  request: scheduledRequest.ScheduledRequest,
): readonly serverChoice.Candidate[] {
  const allowed = listAllowed(search, search.open, request);
  const untried = allowed.filter((one) => !request.triedIds.has(one.id));
  return untried.length > 0 ? untried : allowed;
}

/** Chooses a place at which a request is on time. */
function chooseInTime(
  search: OpenSearch,
  request: scheduledRequest.ScheduledRequest,
): serverChoice.Candidate | undefined {
  const inTime = listPlaces(search, request).filter((one) => isInTime(search, request, one));
  return serverChoice.chooseServer(inTime, request.failureDomain, search.drawRandom);
}

/**
 * Chooses any place for a request that is on time at none of the open ones.
 *
 * It leaves them to others while a backend server that is full now would have it
 * on time. Load pattern: the fast engines are full, and a long prompt takes a
 * second at a slow one, where ten short ones would be on time. One with a rate limit does
 * not count: it takes one of many that wait, and the others would be late for nothing.
 */
function chooseAny(
  search: OpenSearch,
  request: scheduledRequest.ScheduledRequest,
): serverChoice.Candidate | undefined {
  const unlimited = search.candidates.filter(({ isRateLimited }) => !isRateLimited);
  return listAllowed(search, unlimited, request).some((one) => isInTime(search, request, one))
    ? undefined
    : serverChoice.chooseServer(
        listPlaces(search, request),
        request.failureDomain,
        search.drawRandom,
      );
}

/**
 * Lists the waiting requests that are looked at. Those of gateways that no open backend server
 * takes anything from are left out: a few dozen of them in front would keep all others waiting.
 */
function listLookedAt(search: OpenSearch): scheduledRequest.ScheduledRequest[] {
  const { cell, open } = search;
  const stuck = new Set(
    [...cell.askers.keys()].filter((asker) => listTaking(search, open, asker).length === 0),
  );
  const { items } = cell.queue;
  const isMovable = ({ serial }: waitQueue.WaitItem) =>
    !stuck.has(cell.requests.get(serial)?.asker ?? '');
  const movable = stuck.size === 0 ? items : items.filter(isMovable);
  return movable
    .slice(0, MAX_LOOK_AHEAD)
    .map(({ serial }) => cell.requests.get(serial))
    .filter((request) => request !== undefined);
}

/** Finds the first waiting request of a cell that gets a place. */
export function findNextMatch(search: MatchSearch): Match | undefined {
  const { cell } = search;
  const open = search.candidates.filter((one) => serverChoice.hasPlace(one));
  if (cell.queue.items.length === 0 || open.length === 0) {
    return undefined;
  }
  const openSearch = { ...search, open };
  const requests = listLookedAt(openSearch);
  let match: Match | undefined;
  [chooseInTime, chooseAny].some((choose) =>
    requests.some((request) => {
      const chosen = choose(openSearch, request);
      match = chosen && { request, chosen };
      return match !== undefined;
    }),
  );
  return match;
}
