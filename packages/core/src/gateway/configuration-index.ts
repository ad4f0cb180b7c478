/** A configuration with its lookup tables, built once per version. */
import * as scheduler from '../scheduler/index.js';
import type * as configuration from './configuration.js';

export type ConfigurationIndex = {
  configuration: configuration.Configuration;
  /** Routes of each host, longest prefix first. */
  routesByHost: Map<string, configuration.Route[]>;
  serviceByName: Map<string, configuration.ServiceDeclaration>;
  /** Undefined if callers need no credentials. */
  workspaceByCredential: Map<string, configuration.WorkspaceDeclaration> | undefined;
  /** The shortest `maxPauseMs` of the routes to each service; only services that have one. */
  maxPauseByService: Map<string, number>;
  /** Contains only workspaces with a quota. */
  quotaByWorkspace: Map<string, configuration.Quota>;
  /** Contains only workspaces whose share differs from 1. */
  shareByWorkspace: Map<string, number>;
};

/** Groups routes by host, in matching order. */
function buildRoutes(routes: readonly configuration.Route[]): Map<string, configuration.Route[]> {
  const byHost = new Map<string, configuration.Route[]>();
  routes.forEach((route) => {
    const host = route.hostname.toLowerCase();
    const known = byHost.get(host);
    if (known === undefined) {
      byHost.set(host, [route]);
    } else {
      known.push(route);
    }
  });
  byHost.forEach((hostRoutes) => hostRoutes.sort((a, b) => b.prefix.length - a.prefix.length));
  return byHost;
}

/** Finds the shortest pause between events that any route to each service allows. */
function findMaxPauses(routes: readonly configuration.Route[]): Map<string, number> {
  const byService = new Map<string, number>();
  routes.forEach(({ maxPauseMs, targets }) =>
    targets.forEach(({ service }) => {
      if (maxPauseMs !== undefined) {
        byService.set(service, Math.min(byService.get(service) ?? Infinity, maxPauseMs));
      }
    }),
  );
  return byService;
}

/** Builds the lookup tables of a configuration. */
export function buildConfigurationIndex(given: configuration.Configuration): ConfigurationIndex {
  const { workspaces } = given;
  const credentials = workspaces?.flatMap((workspace) =>
    workspace.credentials.map((credential) => [credential, workspace] as const),
  );
  const quotas = (workspaces ?? []).flatMap(({ name, quota }) =>
    quota === undefined ? [] : [[name, quota] as const],
  );
  return {
    configuration: given,
    routesByHost: buildRoutes(given.routes),
    serviceByName: new Map(given.services.map((service) => [service.name, service])),
    workspaceByCredential: credentials && new Map(credentials),
    maxPauseByService: findMaxPauses(given.routes),
    quotaByWorkspace: new Map(quotas),
    shareByWorkspace: scheduler.computeShares(
      quotas.map(([workspace, { unit, perSecond }]) => ({ workspace, unit, perSecond })),
    ),
  };
}

/** Finds the route of a request: the one with the longest matching prefix for its host. */
export function findRoute(
  index: ConfigurationIndex,
  host: string,
  path: string,
): configuration.Route | undefined {
  const [hostname] = host.toLowerCase().split(':');
  return index.routesByHost.get(hostname)?.find((route) => path.startsWith(route.prefix));
}

/**
 * Chooses the service of a request among the weighted targets of its route.
 *
 * @param draw a random number from 0 to 1, the same for all attempts of one request
 */
export function chooseService(route: configuration.Route, draw: number): string | undefined {
  const weighted = route.targets.filter((target) => target.weight > 0);
  const total = weighted.reduce((sum, target) => sum + target.weight, 0);
  let left = draw * total;
  return weighted.find((target) => {
    left -= target.weight;
    return left < 0;
  })?.service;
}
