/**
 * Matches waiting requests with free slots.
 *
 * The queue is searched twice in order: first for a request that will be on time at a free slot,
 * then for any request. When all engines are full and callers wait for tenths of a second, the
 * first request often has too little time left for the engine whose slot becomes free. If it were
 * sent there, it would be late, and so would the next one, which still had enough time.
 */
import type * as cells from './cell.js';
import type * as scheduledRequest from './scheduled-request.js';
import * as serverChoice from './server-choice.js';
import * as serverWork from './server-work.js';
import type * as waitQueue from './wait-queue.js';
import * as waiting from './waiting.js';

export type Match = {
  request: scheduledRequest.ScheduledRequest;
  chosen: serverChoice.Candidate;
};

/** Input of the search for a match. */
export type MatchSearch = {
  cell: cells.Cell;
  candidates: readonly serverChoice.Candidate[];
  tokensPerEvent: number;
  drawRandom: () => number;
  now: number;
};

type OpenSearch = MatchSearch & { open: readonly serverChoice.Candidate[] };

/** Number of waiting requests considered for one slot; bounds the work during a burst. */
const MAX_LOOK_AHEAD = 32;

/** Callers notice a longer pause of a stream, milliseconds. */
const MAX_PAUSE_MS = 300;

/**
 * Reports whether a request would be on time at a backend server, without making others late: its first event by its target,
 * and its last one by its deadline. For example, a response of 45 events with a deadline of 3 s
 * takes a fast engine one second and a slow one four. If it is aborted at the deadline, all its
 * work is lost.
 */
function isInTime(
  { cell, tokensPerEvent, now }: MatchSearch,
  request: scheduledRequest.ScheduledRequest,
  candidate: serverChoice.Candidate,
): boolean {
  const pausesStreams =
    candidate.inFlight > 0 &&
    serverWork.estimatePauseMs(cell.promptSpeed, candidate, request.promptTokens, tokensPerEvent) >
      MAX_PAUSE_MS;
  const firstMs = now + waiting.estimateFirstMs(cell, request, candidate);
  const endMs = firstMs + (request.answerTokens / tokensPerEvent) * candidate.unitMs;
  return !pausesStreams && firstMs <= request.targetMs && endMs <= request.giveUpMs;
}

/** Lists the backend servers that have not asked a gateway to back off. */
function listAccepting(
  { cell, now }: MatchSearch,
  all: readonly serverChoice.Candidate[],
  asker: string,
): readonly serverChoice.Candidate[] {
  const backoffs = cell.askers.get(asker)?.backoffs;
  return backoffs === undefined || backoffs.size === 0
    ? all
    : all.filter(({ id }) => (backoffs.get(id) ?? 0) <= now);
}

/** Lists the backend servers to which a request may be sent. */
function listAllowed(
  search: MatchSearch,
  all: readonly serverChoice.Candidate[],
  { asker, excludedDomains }: scheduledRequest.ScheduledRequest,
): readonly serverChoice.Candidate[] {
  const accepting = listAccepting(search, all, asker);
  return excludedDomains.size === 0
    ? accepting
    : accepting.filter(({ failureDomain }) => !excludedDomains.has(failureDomain));
}

/** Lists the allowed servers with a free slot; already tried ones only if there are no others. */
function listOpenServers(
  search: OpenSearch,
  request: scheduledRequest.ScheduledRequest,
): readonly serverChoice.Candidate[] {
  const allowed = listAllowed(search, search.open, request);
  const untried = allowed.filter((one) => !request.triedIds.has(one.id));
  return untried.length > 0 ? untried : allowed;
}

/** Chooses a backend server at which a request would be on time. */
function chooseInTime(
  search: OpenSearch,
  request: scheduledRequest.ScheduledRequest,
): serverChoice.Candidate | undefined {
  const inTime = listOpenServers(search, request).filter((one) => isInTime(search, request, one));
  return serverChoice.chooseServer(inTime, request.failureDomain, search.drawRandom);
}

/**
 * Chooses a backend server for a request that would not be on time at any free slot.
 *
 * The request continues to wait while it could still be on time at a backend server that is full
 * now. For example, the fast engines are full, and a long prompt would occupy a slow one for a
 * second in which ten short ones could be on time. Backend servers with a rate limit are not worth
 * waiting for: each takes only one of the many waiting requests, and the others would become late
 * for no benefit.
 */
function chooseAny(
  search: OpenSearch,
  request: scheduledRequest.ScheduledRequest,
): serverChoice.Candidate | undefined {
  const unlimited = search.candidates.filter(({ isRateLimited }) => !isRateLimited);
  return listAllowed(search, unlimited, request).some((one) => isInTime(search, request, one))
    ? undefined
    : serverChoice.chooseServer(
        listOpenServers(search, request),
        request.failureDomain,
        search.drawRandom,
      );
}

/**
 * Lists the waiting requests to consider. Requests of gateways from which no free backend server
 * accepts anything are skipped: a few dozen of them at the head of the queue would block all
 * others.
 */
function listConsidered(search: OpenSearch): scheduledRequest.ScheduledRequest[] {
  const { cell, open } = search;
  const blockedAskers = new Set(
    [...cell.askers.keys()].filter((asker) => listAccepting(search, open, asker).length === 0),
  );
  const { items } = cell.queue;
  const isPlaceable = ({ serial }: waitQueue.WaitItem) =>
    !blockedAskers.has(cell.requests.get(serial)?.asker ?? '');
  const placeable = blockedAskers.size === 0 ? items : items.filter(isPlaceable);
  return placeable
    .slice(0, MAX_LOOK_AHEAD)
    .map(({ serial }) => cell.requests.get(serial))
    .filter((request) => request !== undefined);
}

/** Finds the next waiting request of a cell to send, and its backend server. */
export function findNextMatch(search: MatchSearch): Match | undefined {
  const { cell } = search;
  const open = search.candidates.filter((one) => serverChoice.hasPlace(one));
  if (cell.queue.items.length === 0 || open.length === 0) {
    return undefined;
  }
  const openSearch = { ...search, open };
  const requests = listConsidered(openSearch);
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
