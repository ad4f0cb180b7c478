/**
 * Refuses requests that no backend server may take at present, even if it has free slots.
 *
 * This happens, for instance, when all failure domains of a service are evacuated while requests
 * wait. If such requests stayed queued, they would be refused only shortly before their deadline.
 * A caller that learns at once that its request has not run can send it elsewhere.
 */
import * as schema from '@toucanproxy/schema';
import * as overloads from '../shared/overload.js';
import * as softwareVersions from '../shared/software-version.js';
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
 * Retry delay for callers of an evacuated service, milliseconds. Operators end an evacuation by
 * hand, so one retry each second notices the end soon enough.
 */
const EVACUATED_RETRY_AFTER_MS = 1000;

/**
 * Returns a refusal if the caller of a request is expected to disconnect before any backend
 * server accepts requests from this gateway again, and undefined otherwise.
 *
 * @param backoffLefts remaining backoff of each backend server, milliseconds
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
  const { overload } = gatewayState.getServiceState(state, service);
  overloads.noteRefusal(overload, now);
  const adviceMs = overloads.drawRetryAfter(overload, firstMs, state.drawRandom, now);
  return refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER, adviceMs);
}

/** Returns a refusal if no backend server may take a request, and undefined otherwise. */
export function findUnservableRefusal(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): refusal.Refusal | undefined {
  const { service, regions, streamVersion } = request;
  if (evacuationChanges.isServiceEvacuated(state.servers, service)) {
    const { DOMAINS_EVACUATED } = schema.ResultCode;
    return refusal.buildRefusal(DOMAINS_EVACUATED, EVACUATED_RETRY_AFTER_MS);
  }
  const { statements } = state.servers;
  const isRestricted = regions !== undefined || streamVersion !== undefined;
  if (!isRestricted && !serverStatements.hasBackoffs(statements, now)) {
    return undefined;
  }
  const allowed = backendServers
    .listUsable(state.servers, service, now)
    .filter(({ failureDomain }) => allowedDomains.isInRegions(state, regions, failureDomain))
    .filter((entry) => softwareVersions.isOfVersion(streamVersion, entry));
  if (allowed.length === 0 && isRestricted) {
    return refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER, EVACUATED_RETRY_AFTER_MS);
  }
  const backoffLefts = allowed.map((entry) =>
    serverStatements.computeBackoffLeft(statements, entry, now),
  );
  return findBackoffRefusal(state, request, backoffLefts, now);
}

/** A refused request and the refusal for its caller. */
export type UnservableRequest = {
  request: gatewayRequest.GatewayRequest;
  refusal: refusal.Refusal;
};

/**
 * Refuses the waiting requests that no backend server may take any more. Does nothing if the known
 * backend servers have not changed since the last check.
 */
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
    const unservableRefusal = isWaiting ? findUnservableRefusal(state, request, now) : undefined;
    if (unservableRefusal === undefined) {
      return [];
    }
    pendingAsks.withdrawAsk(state, request);
    return [{ request, refusal: requestEnd.refuseWaiting(state, request, unservableRefusal) }];
  });
}
