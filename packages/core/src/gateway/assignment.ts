/** Gives waiting requests to backend servers that have a place. */
import * as schema from '@toucanproxy/schema';
import * as drainRate from '../shared/drain-rate.js';
import * as retryBudget from '../shared/retry-budget.js';
import * as startQueue from '../shared/start-queue.js';
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
import * as turnAway from './turn-away.js';
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
    .map(({ entry, load }) => ({
      id: entry.id,
      slots: entry.slots || DEFAULT_SLOTS,
      ownInFlight: load.inFlight,
      peersInFlight: peerView.countInFlight(state.peers, entry.id, now),
      slowness: enginePace.estimateSlowness(load.pace, fastest, now),
      failureShare: serverLoad.computeFailureShare(load),
      isNear: entry.failureDomain === state.failureDomain,
    }));
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
  const { drain } = gatewayState.getServiceWork(state, request.service);
  drainRate.noteStart(drain, request.workTokens, request.arrivedMs, now);
  request.phase = gatewayRequest.RequestPhase.SENT;
  request.serverId = serverId;
  request.sentMs = now;
  request.sends += 1;
  gatewayState.getLoad(state, serverId).inFlight += 1;
}

/** Assigns the next request of a service; undefined where none can be. */
function assignNext(
  state: gatewayState.GatewayState,
  service: string,
  clocks: belief.ClockReading,
): Assignment | undefined {
  const now = clocks.steadyMs;
  const { queue } = gatewayState.getServiceWork(state, service);
  if (startQueue.countQueued(queue) === 0) {
    return undefined;
  }
  const candidates = listCandidates(state, service, now);
  const gateways = peerView.countGateways(state.peers);
  const open = candidates.filter((one) => serverChoice.hasPlace(one, gateways));
  if (open.length === 0) {
    return undefined;
  }
  const item = startQueue.findNext(queue);
  const request = item && state.requests.get(Number(item.id));
  if (item === undefined || request === undefined) {
    return undefined;
  }
  const untried = open.filter((one) => !request.triedIds.has(one.id));
  const chosen = serverChoice.chooseServer(untried.length > 0 ? untried : open, state.drawRandom);
  const known = chosen && state.servers.byId.get(chosen.id);
  if (chosen === undefined || known === undefined) {
    return undefined;
  }
  startQueue.takeItem(queue, item);
  const obstacle = findObstacle(state, request, clocks);
  if (obstacle !== undefined) {
    requestEnd.endWithoutRun(state, request);
    return { kind: 'refuse', request, refusal: obstacle };
  }
  beginSend(state, request, chosen.id, now);
  return { kind: 'send', request, server: known.entry, candidates };
}

/** Refuses the requests of a service that have no time left. */
function refuseSpent(state: gatewayState.GatewayState, service: string, now: number): Assignment[] {
  const { drain, queue } = gatewayState.getServiceWork(state, service);
  return waiting.updateLate(state, service, now).map((request) => {
    requestEnd.endWithoutRun(state, request);
    const advice = turnAway.drawRetryAfter(drain, queue, state.drawRandom);
    return {
      kind: 'refuse',
      request,
      refusal: refusal.buildRefusal(schema.ResultCode.DEADLINE_UNREACHABLE, advice),
    };
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
