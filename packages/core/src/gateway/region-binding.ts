/** Regions to which the route and the workspace of a request restrict it. */
import type * as configuration from './configuration.js';

/** Regions in which a request may be served; undefined if it is not restricted. */
export type RegionBinding = ReadonlySet<string> | undefined;

/** Computes the regions that both a route and a workspace allow. */
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
