/** Gives waiting requests to backend servers that have a place. */
import * as schema from '@toucanproxy/schema';
import * as retryBudget from '../shared/retry-budget.js';
import type * as backendServers from './backend-servers.js';
import type * as belief from './belief.js';
import * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as peerView from './peer-view.js';
import * as refusal from './refusal.js';
import * as requestEnd from './request-end.js';
import * as rights from './rights.js';
import * as requestMatch from './request-match.js';
import type * as serverChoice from './server-choice.js';
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
  chosen: serverChoice.Candidate,
  now: number,
): void {
  gatewayState.getServiceWork(state, request.service).inFlight += 1;
  request.phase = gatewayRequest.RequestPhase.SENT;
  request.serverId = chosen.id;
  request.sentMs = now;
  request.sends += 1;
  request.idleFirstMs = waiting.estimateFirstMs(request) * chosen.slowness;
  gatewayState.getLoad(state, chosen.id).inFlight += 1;
}

/** Assigns the next request of a service; undefined where none can be. */
function assignNext(
  state: gatewayState.GatewayState,
  service: string,
  clocks: belief.ClockReading,
): Assignment | undefined {
  const now = clocks.steadyMs;
  const found = requestMatch.findNextMatch(state, service, now);
  const known = found && state.servers.byId.get(found.chosen.id);
  if (found === undefined || known === undefined) {
    return undefined;
  }
  const { request, chosen } = found;
  const obstacle = findObstacle(state, request, clocks);
  if (obstacle !== undefined) {
    waiting.removeRequest(state, request);
    const told = requestEnd.refuseWaiting(state, request, obstacle);
    return { kind: 'refuse', request, refusal: told };
  }
  waiting.takeRequest(state, request, now);
  beginSend(state, request, chosen, now);
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
