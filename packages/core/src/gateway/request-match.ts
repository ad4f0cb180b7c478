/**
 * Which waiting request gets which open place.
 *
 * Requests are looked at in the order of the queue, twice: first for one that
 * will be on time at an open place, then for any. Load pattern: all engines are
 * full and callers wait for tenths of a second. The first in line often has too
 * little time left at the engine that has a place; sent there it comes late, and
 * the next one, which had the time, comes late as well.
 */
import * as candidates from './candidates.js';
import type * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as peerView from './peer-view.js';
import * as serverChoice from './server-choice.js';
import * as waiting from './waiting.js';

export type Match = {
  request: gatewayRequest.GatewayRequest;
  chosen: serverChoice.Candidate;
  /** Those that were weighed, for the log. */
  candidates: serverChoice.Candidate[];
};

/** What the search for a match looks at. */
type Search = {
  state: gatewayState.GatewayState;
  candidates: serverChoice.Candidate[];
  /** Those among them with a place for this gateway. */
  open: serverChoice.Candidate[];
  tokensPerEvent: number;
  now: number;
};

/** Waiting requests that are looked at for one place; bounds the work of a burst. */
const MAX_LOOK_AHEAD = 32;

/**
 * Tells whether a request would be on time at a backend server: its first event
 * before its target, its last one before its time is over. Load pattern: an answer
 * of 45 events within 3 s, which a fast engine ends in one second and a slow one
 * in four; cut at the end, all its work is lost.
 */
function isInTime(
  { tokensPerEvent, now }: Search,
  request: gatewayRequest.GatewayRequest,
  candidate: serverChoice.Candidate,
): boolean {
  const idleMs = waiting.estimateFirstMs(request) * candidate.slowness;
  const firstMs = now + idleMs + candidate.firstExtraMs;
  const { tokens, answerGuess } = request.arrived;
  const answer = Math.min(answerGuess ?? tokens?.answer ?? 0, tokens?.answer ?? 0);
  const endMs = firstMs + (answer / tokensPerEvent) * candidate.unitMs;
  return firstMs <= request.targetMs && endMs <= request.giveUpMs;
}

/** Lists the open places of a request; those that failed it only where there are no others. */
function listPlaces(
  { open }: Search,
  { triedIds }: gatewayRequest.GatewayRequest,
): serverChoice.Candidate[] {
  const untried = open.filter((one) => !triedIds.has(one.id));
  return untried.length > 0 ? untried : open;
}

/** Chooses a place at which a request is on time. */
function chooseInTime(
  search: Search,
  request: gatewayRequest.GatewayRequest,
): serverChoice.Candidate | undefined {
  const inTime = listPlaces(search, request).filter((one) => isInTime(search, request, one));
  return serverChoice.chooseServer(inTime, search.state.drawRandom);
}

/**
 * Chooses any place for a request that is on time at none of the open ones.
 *
 * It leaves them to others while a backend server that is full now would have it
 * on time. Load pattern: the fast engines are full, and a long prompt takes a
 * second at a slow one, where ten short ones would be on time.
 */
function chooseAny(
  search: Search,
  request: gatewayRequest.GatewayRequest,
): serverChoice.Candidate | undefined {
  return search.candidates.some((one) => isInTime(search, request, one))
    ? undefined
    : serverChoice.chooseServer(listPlaces(search, request), search.state.drawRandom);
}

/** Lists what may get work, and what has a place for it. */
function beginSearch(state: gatewayState.GatewayState, service: string, now: number): Search {
  const all = candidates.listCandidates(state, service, now);
  const own = gatewayState.getServiceWork(state, service).toldDemand;
  const share = peerView.computeDemandShare(state.peers, state.address, service, own, now);
  const open = all.filter((one) =>
    serverChoice.hasPlace(one, share, gatewayState.getOffset(one.id)),
  );
  const tokensPerEvent = state.index?.serviceByName.get(service)?.engine?.tokensPerEvent ?? 1;
  return { state, candidates: all, open, tokensPerEvent, now };
}

/** Finds the first waiting request of a service that gets a place. */
export function findNextMatch(
  state: gatewayState.GatewayState,
  service: string,
  now: number,
): Match | undefined {
  const { queue } = gatewayState.getServiceWork(state, service);
  if (queue.items.length === 0) {
    return undefined;
  }
  const search = beginSearch(state, service, now);
  if (search.open.length === 0) {
    return undefined;
  }
  const requests = queue.items
    .slice(0, MAX_LOOK_AHEAD)
    .map(({ serial }) => state.requests.get(serial))
    .filter((request) => request !== undefined);
  let match: Match | undefined;
  [chooseInTime, chooseAny].some((choose) =>
    requests.some((request) => {
      const chosen = choose(search, request);
      match = chosen && { request, chosen, candidates: search.candidates };
      return match !== undefined;
    }),
  );
  return match;
}
