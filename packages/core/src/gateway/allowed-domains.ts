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

/** Lists the evacuated domains, and the known servers' domains outside the request's regions. */
export function listExcluded(
  state: gatewayState.GatewayState,
  regions: regionBinding.RegionBinding,
): string[] {
  const evacuated = evacuations.listEvacuated(state.servers.evacuations);
  if (regions === undefined) {
    return evacuated;
  }
  const domains = [...state.servers.byId.values()].map(({ entry }) => entry.failureDomain);
  const outside = domains.filter((one) => !isInRegions(state, regions, one));
  return [...new Set([...evacuated, ...outside])];
}
