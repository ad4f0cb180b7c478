/**
 * Requests that no backend server may take at present, whatever is free.
 *
 * Load pattern: all failure domains of a service are evacuated while its callers wait.
 * Left in line, each would be refused only when its time is nearly over; told at once that
 * it has not run, its caller may turn elsewhere.
 */
import * as schema from '@toucanproxy/schema';
import * as overloads from '../shared/overload.js';
import * as allowedDomains from './allowed-domains.js';
import * as pendingAsks from './pending-asks.js';
import * as backendServers from './backend-servers.js';
import * as evacuationChanges from './evacuation-changes.js';
import * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as refusal from './refusal.js';
import * as requestEnd from './request-end.js';
import * as serverStatements from './server-statements.js';

/**
 * Advice to a caller whose service is evacuated, milliseconds: operators take it back by
 * hand, and a call each second finds it soon enough.
 */
const EVACUATED_RETRY_AFTER_MS = 1000;

/**
 * Refuses a request whose caller leaves before any backend server takes something from this
 * gateway again; undefined where one does in time.
 *
 * @param backoffLefts how much longer each of them takes nothing, milliseconds
 */
function findBackoffRefusal(
  state: gatewayState.GatewayState,
  { service, leaveMs }: gatewayRequest.GatewayRequest,
  backoffLefts: readonly number[],
  now: number,
): refusal.Refusal | undefined {
  const firstMs = Math.min(...backoffLefts);
  if (backoffLefts.length === 0 || now + firstMs < leaveMs) {
    return undefined;
  }
  const { overload } = gatewayState.getServiceWork(state, service);
  overloads.noteRefusal(overload, now);
  const adviceMs = overloads.drawRetryAfter(overload, firstMs, state.drawRandom, now);
  return refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER, adviceMs);
}

/** Finds why no backend server may take a request; undefined where one may. */
export function findUnservableRefusal(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): refusal.Refusal | undefined {
  const { service, regions } = request;
  if (evacuationChanges.isServiceEvacuated(state.servers, service)) {
    const { DOMAINS_EVACUATED } = schema.ResultCode;
    return refusal.buildRefusal(DOMAINS_EVACUATED, EVACUATED_RETRY_AFTER_MS);
  }
  const { statements } = state.servers;
  if (regions === undefined && !serverStatements.hasBackoffs(statements, now)) {
    return undefined;
  }
  const inside = backendServers
    .listUsable(state.servers, service, now)
    .filter(({ failureDomain }) => allowedDomains.isInRegions(state, regions, failureDomain));
  if (inside.length === 0 && regions !== undefined) {
    return refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER, EVACUATED_RETRY_AFTER_MS);
  }
  const lefts = inside.map((entry) => serverStatements.computeBackoffLeft(statements, entry, now));
  return findBackoffRefusal(state, request, lefts, now);
}

/** A request that was refused, and what its caller is told. */
export type UnservableRequest = {
  request: gatewayRequest.GatewayRequest;
  refusal: refusal.Refusal;
};

/** Refuses the waiting requests that no backend server may take any more. */
export function refuseUnservable(
  state: gatewayState.GatewayState,
  now: number,
): UnservableRequest[] {
  if (state.checkedRevision === state.servers.revision) {
    return [];
  }
  state.checkedRevision = state.servers.revision;
  return [...state.requests.values()].flatMap((request) => {
    const isWaiting = request.phase === gatewayRequest.RequestPhase.WAITING;
    const stranding = isWaiting ? findUnservableRefusal(state, request, now) : undefined;
    if (stranding === undefined) {
      return [];
    }
    pendingAsks.withdrawAsk(state, request);
    return [{ request, refusal: requestEnd.refuseWaiting(state, request, stranding) }];
  });
}
