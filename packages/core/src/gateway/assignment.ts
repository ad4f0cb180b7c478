/** Gives waiting requests to backend servers that have a place. */
import * as schema from '@toucanproxy/schema';
import * as retryBudget from '../shared/retry-budget.js';
import * as backendServers from './backend-servers.js';
import type * as belief from './belief.js';
import * as enginePace from './engine-pace.js';
import * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as peerView from './peer-view.js';
import * as refusal from './refusal.js';
import * as requestEnd from './request-end.js';
import * as rights from './rights.js';
import * as serverChoice from './server-choice.js';
import * as serverLoad from './server-load.js';
import * as waiting from './waiting.js';

export type Assignment =
  | {
      kind: 'send';
      request: gatewayRequest.GatewayRequest;
      server: backendServers.BackendServerEntry;
      /** Those that were weighed, for the log. */
      candidates: serverChoice.Candidate[];
    }
  | { kind: 'refuse'; request: gatewayRequest.GatewayRequest; refusal: refusal.Refusal };

/** Places of a plain service whose entry names none. */
const DEFAULT_SLOTS = 4;
/** Waiting requests that are looked at for one place; bounds the work of a burst. */
const MAX_LOOK_AHEAD = 32;

/** Lists the backend servers of a service that may get work now. */
function listCandidates(
  state: gatewayState.GatewayState,
  service: string,
  now: number,
): serverChoice.Candidate[] {
  const usable = backendServers
    .listUsable(state.servers, service)
    .map((entry) => ({ entry, load: gatewayState.getLoad(state, entry.id) }));
  const fastest = enginePace.findFastest(usable.map(({ load }) => load.pace));
  return usable
    .filter(({ load }) => !serverLoad.isPaused(load, now))
    .map(({ entry, load }) => {
      const slowness = enginePace.estimateSlowness(load.pace, fastest, now);
      return {
        id: entry.id,
        slots: entry.slots || DEFAULT_SLOTS,
        ownInFlight: load.inFlight,
        peersInFlight: peerView.countInFlight(state.peers, entry.id, now),
        slowness,
        unitMs: fastest * slowness,
        firstRatio: enginePace.estimateFirstRatio(load.pace, slowness, now),
        failureShare: serverLoad.computeFailureShare(load),
        isNear: entry.failureDomain === state.failureDomain,
      };
    });
}

/**
 * Checks a waiting request against the configuration in force, and against the
 * age of what is known. It may have waited through a change or a freeze.
 */
function findObstacle(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  clocks: belief.ClockReading,
): refusal.Refusal | undefined {
  const decision = rights.findRights(state, request.arrived, clocks);
  if (decision.kind === 'refused') {
    return decision.refusal;
  }
  const version = state.index?.configuration.version ?? 0;
  const { route } = decision.rights;
  const allowed = route.targets.some(
    (target) => target.service === request.service && target.weight > 0,
  );
  request.version = version;
  return allowed
    ? undefined
    : refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER, refusal.ELSEWHERE_RETRY_AFTER_MS);
}

/** Marks a request as sent to a backend server. */
function beginSend(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  serverId: string,
  now: number,
): void {
  gatewayState.getServiceWork(state, request.service).inFlight += 1;
  request.phase = gatewayRequest.RequestPhase.SENT;
  request.serverId = serverId;
  request.sentMs = now;
  request.sends += 1;
  gatewayState.getLoad(state, serverId).inFlight += 1;
}

/**
 * Tells whether a request would be on time at a backend server: its first event
 * before its target, its last one before its time is over. Load pattern: an answer
 * of 45 events within 3 s, which a fast engine ends in one second and a slow one
 * in four; cut at the end, all its work is lost.
 */
function isInTime(
  request: gatewayRequest.GatewayRequest,
  candidate: serverChoice.Candidate,
  tokensPerEvent: number,
  now: number,
): boolean {
  const firstMs = now + waiting.estimateFirstMs(request) * candidate.firstRatio;
  const { tokens, answerGuess } = request.arrived;
  const answer = Math.min(answerGuess ?? tokens?.answer ?? 0, tokens?.answer ?? 0);
  const endMs = firstMs + (answer / tokensPerEvent) * candidate.unitMs;
  return firstMs <= request.targetMs && endMs <= request.giveUpMs;
}

type Match = { request: gatewayRequest.GatewayRequest; chosen: serverChoice.Candidate };

/**
 * Finds a place for one waiting request.
 *
 * One that would be late at all open places leaves them to others while a
 * backend server that is full now would have it on time. Load pattern: the fast
 * engines are full, and a long prompt takes a second at a slow one, where ten
 * short ones would be on time.
 */
function findMatch(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  candidates: readonly serverChoice.Candidate[],
  open: readonly serverChoice.Candidate[],
  now: number,
): Match | undefined {
  const untried = open.filter((one) => !request.triedIds.has(one.id));
  const places = untried.length > 0 ? untried : open;
  const tokensPerEvent =
    state.index?.serviceByName.get(request.service)?.engine?.tokensPerEvent ?? 1;
  const isGood = (one: serverChoice.Candidate) => isInTime(request, one, tokensPerEvent, now);
  const inTime = places.filter(isGood);
  const mayWait = inTime.length === 0 && candidates.some(isGood);
  const chosen = mayWait
    ? undefined
    : serverChoice.chooseServer(inTime.length > 0 ? inTime : places, state.drawRandom);
  return chosen && { request, chosen };
}

/** Finds the first waiting request of a service that gets a place. */
function findNextMatch(
  state: gatewayState.GatewayState,
  service: string,
  now: number,
): { match: Match; candidates: serverChoice.Candidate[] } | undefined {
  const { queue } = gatewayState.getServiceWork(state, service);
  if (queue.items.length === 0) {
    return undefined;
  }
  const candidates = listCandidates(state, service, now);
  const own = gatewayState.getServiceWork(state, service).toldDemand;
  const share = peerView.computeDemandShare(state.peers, state.address, service, own, now);
  const open = candidates.filter((one) =>
    serverChoice.hasPlace(one, share, gatewayState.getOffset(one.id)),
  );
  if (open.length === 0) {
    return undefined;
  }
  let match: Match | undefined;
  queue.items.slice(0, MAX_LOOK_AHEAD).some((item) => {
    const request = state.requests.get(item.serial);
    match = request && findMatch(state, request, candidates, open, now);
    return match !== undefined;
  });
  return match && { match, candidates };
}

/** Assigns the next request of a service; undefined where none can be. */
function assignNext(
  state: gatewayState.GatewayState,
  service: string,
  clocks: belief.ClockReading,
): Assignment | undefined {
  const now = clocks.steadyMs;
  const found = findNextMatch(state, service, now);
  const known = found && state.servers.byId.get(found.match.chosen.id);
  if (found === undefined || known === undefined) {
    return undefined;
  }
  const { request, chosen } = found.match;
  const obstacle = findObstacle(state, request, clocks);
  if (obstacle !== undefined) {
    waiting.removeRequest(state, request);
    const told = requestEnd.refuseWaiting(state, request, obstacle);
    return { kind: 'refuse', request, refusal: told };
  }
  waiting.takeRequest(state, request, now);
  beginSend(state, request, chosen.id, now);
  return { kind: 'send', request, server: known.entry, candidates: found.candidates };
}

/** Refuses the requests of a service that would wait in vain. */
function refuseSpent(state: gatewayState.GatewayState, service: string, now: number): Assignment[] {
  return waiting.updateLate(state, service, now).map((request) => {
    const advice = waiting.drawRetryAfter(state, service, now);
    const notRun = refusal.buildRefusal(schema.ResultCode.DEADLINE_UNREACHABLE, advice);
    const told = requestEnd.refuseWaiting(state, request, notRun);
    return { kind: 'refuse', request, refusal: told };
  });
}

/** Assigns what can be assigned in all services. */
export function assignWaiting(
  state: gatewayState.GatewayState,
  clocks: belief.ClockReading,
): Assignment[] {
  return [...state.services.keys()].flatMap((service) => {
    const assignments = refuseSpent(state, service, clocks.steadyMs);
    let next = assignNext(state, service, clocks);
    while (next !== undefined) {
      assignments.push(next);
      next = assignNext(state, service, clocks);
    }
    return assignments;
  });
}

/** Takes one repeat from the budget that all gateways share. */
export function takeRepeat(
  state: gatewayState.GatewayState,
  service: string,
  now: number,
): boolean {
  const { retryPercent, retryExtra } = state.bounds;
  const floor = retryExtra / peerView.countGateways(state.peers);
  const { retries } = gatewayState.getServiceWork(state, service);
  return retryBudget.takeRepeat(retries, retryPercent, now, floor);
}
