/**
 * Requests that no backend server may take at present, whatever is free.
 *
 * Load pattern: all failure domains of a service are evacuated while its callers wait.
 * Left in line, each would be refused only when its time is nearly over; told at once that
 * it has not run, its caller may turn elsewhere.
 */
import * as schema from '@toucanproxy/schema';
import * as allowedDomains from './allowed-domains.js';
import * as asking from './asking.js';
import * as backendServers from './backend-servers.js';
import * as evacuationChanges from './evacuation-changes.js';
import * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as refusal from './refusal.js';
import * as requestEnd from './request-end.js';

/**
 * Advice to a caller whose service is evacuated, milliseconds: operators take it back by
 * hand, and a call each second finds it soon enough.
 */
const EVACUATED_RETRY_AFTER_MS = 1000;

/** Finds why no backend server may take a request; undefined where one may. */
export function findStranding(
  state: gatewayState.GatewayState,
  { service, regions }: gatewayRequest.GatewayRequest,
  now: number,
): refusal.Refusal | undefined {
  if (evacuationChanges.isServiceEvacuated(state.servers, service)) {
    const { DOMAINS_EVACUATED } = schema.ResultCode;
    return refusal.buildRefusal(DOMAINS_EVACUATED, EVACUATED_RETRY_AFTER_MS);
  }
  if (regions === undefined) {
    return undefined;
  }
  const usable = backendServers.listUsable(state.servers, service, now);
  const isInside = usable.some(({ failureDomain }) =>
    allowedDomains.isInRegions(state, regions, failureDomain),
  );
  return isInside
    ? undefined
    : refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER, EVACUATED_RETRY_AFTER_MS);
}

/** A request that was refused, and what its caller is told. */
export type StrandedRequest = {
  request: gatewayRequest.GatewayRequest;
  refusal: refusal.Refusal;
};

/** Refuses the waiting requests that no backend server may take any more. */
export function refuseStranded(state: gatewayState.GatewayState, now: number): StrandedRequest[] {
  if (state.checkedRevision === state.servers.revision) {
    return [];
  }
  state.checkedRevision = state.servers.revision;
  return [...state.requests.values()].flatMap((request) => {
    const isWaiting = request.phase === gatewayRequest.RequestPhase.WAITING;
    const stranding = isWaiting ? findStranding(state, request, now) : undefined;
    if (stranding === undefined) {
      return [];
    }
    asking.withdrawAsk(state, request);
    return [{ request, refusal: requestEnd.refuseWaiting(state, request, stranding) }];
  });
}
