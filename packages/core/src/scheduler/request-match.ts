/**
 * Matches waiting requests with free slots.
 *
 * The queue is searched twice in order: first for a request that will be on time at a free slot,
 * then for any request. When all engines are full and callers wait for tenths of a second, the
 * first request often has too little time left for the engine whose slot becomes free. If it were
 * sent there, it would be late, and so would the next one, which still had enough time.
 */
import * as softwareVersions from '../shared/software-version.js';
import type * as cells from './cell.js';
import * as domainPreference from './domain-preference.js';
import type * as scheduledRequest from './scheduled-request.js';
import * as serverChoice from './server-choice.js';
import * as serverWork from './server-work.js';
import * as streamPauses from './stream-pauses.js';
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
  /** Longest pause between events that all running streams accept, milliseconds. */
  maxPauseMs: number;
  /** Ids of the requests that wait because every free slot is at a server whose streams they delay. */
  deferred: Set<number>;
  /** Requests stay in the failure domain of their caller where they will be on time. */
  keepsDomains: boolean;
  drawRandom: () => number;
  now: number;
};

type OpenSearch = MatchSearch & { open: readonly serverChoice.Candidate[] };

/** Number of waiting requests considered for one slot; bounds the work during a burst. */
const MAX_LOOK_AHEAD = 32;
/**
 * Number of waiting requests among which others are sought if all of those wait for a backend
 * server that reads their prompt without long pauses. A slow engine would otherwise stay idle while
 * a few dozen long prompts wait for fast ones.
 */
const MAX_QUEUE_LOOK_AHEAD = 256;

/**
 * Reports whether a request would be on time at a backend server: its first event by its target,
 * and its last one by its deadline. For example, a response of 45 events with a deadline of 3 s
 * takes a fast engine one second and a slow one four. If it is aborted at the deadline, all its
 * work is lost.
 *
 * @param marginMs how much earlier than that the events must come, milliseconds
 */
function isInTime(
  { cell, tokensPerEvent, now }: MatchSearch,
  request: scheduledRequest.ScheduledRequest,
  candidate: serverChoice.Candidate,
  marginMs = 0,
): boolean {
  const firstMs = now + waiting.estimateFirstMs(cell, request, candidate);
  const endMs = firstMs + (request.answerTokens / tokensPerEvent) * candidate.unitMs;
  return firstMs + marginMs <= request.targetMs && endMs + marginMs <= request.giveUpMs;
}

/** Reports whether a request would make the streams at a backend server pause for too long. */
function isPausing(
  { cell, tokensPerEvent, maxPauseMs }: MatchSearch,
  request: scheduledRequest.ScheduledRequest,
  { inFlight, slowness, unitMs, unreadTokens }: serverChoice.Candidate,
): boolean {
  const promptTokensPerMs = serverWork.estimateTokensPerMs(cell.promptSpeed);
  const promptTokens = request.promptTokens + unreadTokens;
  const input = { promptTokens, promptTokensPerMs, slowness, unitMs, tokensPerEvent };
  return inFlight > 0 && streamPauses.isTooLong(input, maxPauseMs);
}

/** Reports whether a request would be on time at a backend server and would delay no stream. */
function isSuitable(
  search: MatchSearch,
  request: scheduledRequest.ScheduledRequest,
  candidate: serverChoice.Candidate,
): boolean {
  return isInTime(search, request, candidate) && !isPausing(search, request, candidate);
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
  request: scheduledRequest.ScheduledRequest,
): readonly serverChoice.Candidate[] {
  const { asker, excludedDomains, softwareVersion } = request;
  const accepting = listAccepting(search, all, asker);
  return excludedDomains.size === 0 && softwareVersion === undefined
    ? accepting
    : accepting.filter(
        (one) =>
          !excludedDomains.has(one.failureDomain) &&
          softwareVersions.isOfVersion(softwareVersion, one),
      );
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

/** Chooses one of the free backend servers that suit a request. */
function chooseNear(
  search: OpenSearch,
  request: scheduledRequest.ScheduledRequest,
  usable: readonly serverChoice.Candidate[],
): serverChoice.Candidate | undefined {
  const { candidates, keepsDomains, drawRandom, now } = search;
  const { failureDomain } = request;
  const marginMs = domainPreference.MARGIN_SHARE * (request.targetMs - now);
  const isSafe = (one: serverChoice.Candidate) => isInTime(search, request, one, marginMs);
  const preferred = keepsDomains
    ? domainPreference.listPreferred({ usable, all: candidates, failureDomain, isSafe })
    : usable;
  return serverChoice.chooseServer(preferred, failureDomain, drawRandom);
}

/** Chooses a backend server at which a request would be on time. */
function chooseInTime(
  search: OpenSearch,
  request: scheduledRequest.ScheduledRequest,
): serverChoice.Candidate | undefined {
  const inTime = listOpenServers(search, request).filter((one) => isSuitable(search, request, one));
  return chooseNear(search, request, inTime);
}

/**
 * Chooses a backend server for a request that would not be on time at any free slot.
 *
 * The request continues to wait while it could still be on time at a backend server that is full
 * now. For example, the fast engines are full, and a long prompt would occupy a slow one for a
 * second in which ten short ones could be on time. Backend servers with a rate limit are not worth
 * waiting for: each takes only one of the many waiting requests, and the others would become late
 * for no benefit. Until its target, the request also waits while all free slots are at backend
 * servers whose streams it would make pause for too long, and other servers would not be affected.
 * Once it is late it waits no longer: less urgent requests would overtake it for good.
 */
function chooseAny(
  search: OpenSearch,
  request: scheduledRequest.ScheduledRequest,
): serverChoice.Candidate | undefined {
  const unlimited = search.candidates.filter(({ isRateLimited }) => !isRateLimited);
  const allowed = listAllowed(search, unlimited, request);
  if (allowed.some((one) => isSuitable(search, request, one))) {
    return undefined;
  }
  const open = listOpenServers(search, request);
  const unpaused = open.filter((one) => !isPausing(search, request, one));
  const mayBeOnTime = search.now < request.targetMs;
  const canWait = mayBeOnTime && allowed.some((one) => !isPausing(search, request, one));
  if (unpaused.length === 0 && canWait) {
    search.deferred.add(request.id);
    return undefined;
  }
  return chooseNear(search, request, unpaused.length > 0 ? unpaused : open);
}

/**
 * Lists the waiting requests that may be considered, in order. Requests of gateways from which no
 * free backend server accepts anything are skipped, and streams that no free one may continue: a
 * few dozen of them at the head of the queue would block all others.
 */
function listPlaceable(search: OpenSearch): scheduledRequest.ScheduledRequest[] {
  const { cell, open } = search;
  const blockedAskers = new Set(
    [...cell.askers.keys()].filter((asker) => listAccepting(search, open, asker).length === 0),
  );
  const openVersions = new Set([undefined, ...open.map((one) => one.softwareVersion)]);
  const placeable: scheduledRequest.ScheduledRequest[] = [];
  cell.queue.items.some(({ serial }) => {
    const request = cell.requests.get(serial);
    if (
      request !== undefined &&
      !blockedAskers.has(request.asker) &&
      openVersions.has(request.softwareVersion)
    ) {
      placeable.push(request);
    }
    return placeable.length === MAX_QUEUE_LOOK_AHEAD;
  });
  return placeable;
}

/** Lists the first requests that some server with a free slot reads without long pauses. */
function listUnpausing(
  search: OpenSearch,
  requests: readonly scheduledRequest.ScheduledRequest[],
): scheduledRequest.ScheduledRequest[] {
  return search.maxPauseMs === Infinity
    ? []
    : requests
        .filter((request) => search.open.some((one) => !isPausing(search, request, one)))
        .slice(0, MAX_LOOK_AHEAD);
}

/** Finds the first of some requests that can be sent, and its backend server. */
function findMatch(
  search: OpenSearch,
  requests: readonly scheduledRequest.ScheduledRequest[],
): Match | undefined {
  let match: Match | undefined;
  [chooseInTime, chooseAny].some((choose) =>
    requests.some((request) => {
      const chosen = choose(search, request);
      match = chosen && { request, chosen };
      return match !== undefined;
    }),
  );
  return match;
}

/** Finds the next waiting request of a cell to send, and its backend server. */
export function findNextMatch(search: MatchSearch): Match | undefined {
  const { cell } = search;
  const open = search.candidates.filter((one) => serverChoice.hasPlace(one));
  if (cell.queue.items.length === 0 || open.length === 0) {
    return undefined;
  }
  const openSearch = { ...search, open };
  const placeable = listPlaceable(openSearch);
  return (
    findMatch(openSearch, placeable.slice(0, MAX_LOOK_AHEAD)) ??
    findMatch(openSearch, listUnpausing(openSearch, placeable.slice(MAX_LOOK_AHEAD)))
  );
}
