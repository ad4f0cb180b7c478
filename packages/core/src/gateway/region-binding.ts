/** The regions in which a request may be served, by its route and its workspace. */
import type * as configuration from './configuration.js';

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
