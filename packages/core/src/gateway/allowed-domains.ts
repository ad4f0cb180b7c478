/**
 * Determines which failure domains a request may be sent to.
 *
 * A domain is excluded if operators have evacuated it, or if it lies outside the regions to
 * which the route or the workspace of the request is restricted. Gateways send request bodies
 * only to backend servers, never to other gateways, so checking the backend server suffices.
 */
import * as evacuations from './evacuations.js';
import type * as gatewayState from './gateway-state.js';
import type * as regionBinding from './region-binding.js';

/**
 * Returns whether the regions of a request allow a failure domain. A request that is restricted to
 * regions may not use a domain whose region is unknown.
 */
export function isInRegions(
  { regionByDomain }: gatewayState.GatewayState,
  regions: regionBinding.RegionBinding,
  failureDomain: string,
): boolean {
  const region = regionByDomain.get(failureDomain);
  return regions === undefined || (region !== undefined && regions.has(region));
}

/**
 * Lists the domains of known servers that are evacuated or outside the request's regions. Others need
 * not be named: a server that this gateway does not know is not used, and a list of whatever somebody
 * has evacuated may not fit in a datagram.
 */
export function listExcluded(
  state: gatewayState.GatewayState,
  regions: regionBinding.RegionBinding,
): string[] {
  const { servers } = state;
  if (regions === undefined && !evacuations.hasEvacuations(servers.evacuations)) {
    return [];
  }
  const domains = new Set([...servers.byId.values()].map(({ entry }) => entry.failureDomain));
  return [...domains].filter(
    (one) => evacuations.isEvacuated(servers.evacuations, one) || !isInRegions(state, regions, one),
  );
}
