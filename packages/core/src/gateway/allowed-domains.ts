/**
 * Which failure domains a request may be sent to.
 *
 * Two things exclude one: operators have had it evacuated, or it lies outside the regions
 * that the route or the workspace of the request is bound to. The body of a request goes
 * to backend servers only, never to another gateway, so that nothing else is to be kept.
 */
import * as evacuations from './evacuations.js';
import type * as gatewayState from './gateway-state.js';
import type * as regionBinding from './region-binding.js';

/** Tells whether a request that is bound to some regions may be served in a domain. */
export function isInRegions(
  { regionByDomain }: gatewayState.GatewayState,
  regions: regionBinding.RegionBinding,
  failureDomain: string,
): boolean {
  const region = regionByDomain.get(failureDomain);
  return regions === undefined || (region !== undefined && regions.has(region));
}

/** Lists the failure domains of known backend servers that a request may not be sent to. */
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
