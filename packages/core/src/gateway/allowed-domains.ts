/**
 * Which failure domains a request may be sent to.
 *
 * Two things exclude one: operators have had it evacuated, or it lies outside the regions
 * that the route or the workspace of the request is bound to. The body of a request goes
 * to backend servers only, never to another gateway, so that nothing else is to be kept.
 */
import type * as configuration from './configuration.js';
import * as evacuations from './evacuations.js';
import type * as gatewayState from './gateway-state.js';

/** Regions that a request is bound to; undefined for none. */
export type RegionBinding = ReadonlySet<string> | undefined;

/** Computes the regions in which both a route and a workspace let requests be served. */
export function computeRegions(
  route: configuration.Route,
  workspace: configuration.WorkspaceDeclaration | undefined,
): RegionBinding {
  const bindings = [route.regions, workspace?.regions ?? []].filter((one) => one.length > 0);
  if (bindings.length === 0) {
    return undefined;
  }
  const [first, ...others] = bindings;
  return new Set(first.filter((region) => others.every((one) => one.includes(region))));
}

/** Tells whether a request that is bound to some regions may be served in a domain. */
export function isInRegions(
  { regionByDomain }: gatewayState.GatewayState,
  regions: RegionBinding,
  failureDomain: string,
): boolean {
  const region = regionByDomain.get(failureDomain);
  return regions === undefined || (region !== undefined && regions.has(region));
}

/** Tells whether a request may be sent to a failure domain now. */
export function isDomainAllowed(
  state: gatewayState.GatewayState,
  regions: RegionBinding,
  failureDomain: string,
): boolean {
  return (
    isInRegions(state, regions, failureDomain) &&
    !evacuations.isEvacuated(state.servers.evacuations, failureDomain)
  );
}

/** Lists the failure domains of known backend servers that a request may not be sent to. */
export function listExcluded(state: gatewayState.GatewayState, regions: RegionBinding): string[] {
  const evacuated = evacuations.listEvacuated(state.servers.evacuations);
  if (regions === undefined) {
    return evacuated;
  }
  const domains = [...state.servers.byId.values()].map(({ entry }) => entry.failureDomain);
  const outside = domains.filter((one) => !isInRegions(state, regions, one));
  return [...new Set([...evacuated, ...outside])];
}
