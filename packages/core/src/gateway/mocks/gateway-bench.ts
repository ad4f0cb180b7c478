/** A gateway's state with two engines, and calls that tests make on it. */
import * as belief from '../belief.js';
import * as configurationIndex from '../configuration-index.js';
import * as configuration from '../configuration.js';
import type * as gatewayRequest from '../gateway-request.js';
import * as gatewayState from '../gateway-state.js';
import * as backendServers from '../backend-servers.js';

export const KEY = 'key-1';
export const ADDRESS = '10.0.0.1:1';

/** Builds a reading in which all clocks agree. */
export function buildClocks(steadyMs: number): belief.ClockReading {
  return { steadyMs, wallMs: steadyMs, uptimeMs: steadyMs };
}

/** Builds a route. */
export function buildRoute(changes: Partial<configuration.Route> = {}): configuration.Route {
  return {
    name: 'route',
    hostname: 'a.example',
    prefix: '/a/',
    kind: configuration.RouteKind.STREAM,
    timeoutMs: 15_000,
    targetMs: 800,
    patienceMs: 3200,
    urgency: 0,
    targets: [{ service: 'one', weight: 1 }],
    maxAttempts: 1,
    isPublic: false,
    resumable: false,
    ...changes,
  };
}

/** Builds a configuration with one workspace. */
export function buildConfiguration(
  version: number,
  routes: configuration.Route[],
  workspaces: configuration.WorkspaceDeclaration[] = [
    { name: 'w1', credentials: [KEY], urgency: undefined, quota: undefined },
    { name: 'w2', credentials: ['key-2'], urgency: undefined, quota: undefined },
  ],
): configuration.Configuration {
  return {
    version,
    routes,
    services: [{ name: 'one', maxConnections: 100, engine: { slots: 2, tokensPerEvent: 5 } }],
    workspaces,
    callerBounds: {
      maxHeaderBytes: 1000,
      maxBodyBytes: 1000,
      headerTimeoutMs: 1000,
      idleTimeoutMs: 1000,
    },
  };
}

/** Builds the entry of a backend server. */
export function buildEntry(
  id: string,
  changes: Partial<backendServers.BackendServerEntry> = {},
): backendServers.BackendServerEntry {
  return {
    id,
    service: 'one',
    address: `10.0.1.${id.length}:80`,
    failureDomain: 'd1',
    slots: 2,
    leaving: false,
    bornMs: 1,
    ...changes,
  };
}

/** Creates a gateway with the given backend servers, confirmed at time 0. */
export function createBench(
  ids: readonly string[],
  routes: configuration.Route[] = [buildRoute()],
): gatewayState.GatewayState {
  const bounds = {
    leaseMs: 3000,
    entryReturnMs: 2000,
    quotaTolerance: { overage: 0, slack: 0, windowMs: 0 },
    retryPercent: 20,
    retryExtra: 10,
  };
  const state = gatewayState.createGatewayState(ADDRESS, 'd1', bounds, () => 0.5, 0);
  state.index = configurationIndex.buildConfigurationIndex(buildConfiguration(1, routes));
  belief.noteConfirmed(state.belief, buildClocks(0));
  ids.forEach((id) => backendServers.applyEntry(state.servers, buildEntry(id)));
  return state;
}

/** Builds a request as its caller sent it. */
export function buildArrived(
  attemptId: string,
  changes: Partial<gatewayRequest.ArrivedRequest> = {},
): gatewayRequest.ArrivedRequest {
  return {
    attemptId,
    host: 'a.example',
    path: '/a/x',
    credential: KEY,
    deadlineMs: 15_000,
    tokens: { prompt: 1000, answer: 100 },
    answerGuess: undefined,
    hashContent: () => attemptId,
    ...changes,
  };
}
