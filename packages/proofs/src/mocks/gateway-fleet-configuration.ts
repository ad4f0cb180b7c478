/** The configuration of gateways in virtual time: one route for each urgency. */
import * as gateway from '@toucanproxy/core/gateway';

export const KEY = 'key-1';
export const SERVICE = 'one';
export const DEADLINE_MS = 10_000;
const PATIENCE_MS = 3000;
const MAX_ATTEMPTS = 2;
/** Urgencies of the routes; the path prefix of a route is its urgency, `/0/` the most urgent. */
const URGENCIES = [0, 1, 2];

/** Properties of the service, of its routes and of the workspace. */
export type ConfigurationOptions = {
  slots: number;
  /** Load limits of a backend server that warms up; undefined for no limit. */
  warmUp: gateway.WarmUpTraits | undefined;
  /** Requests may run more than once. */
  isRepeatable: boolean;
  /** Undefined if the workspace has none. */
  quota: gateway.Quota | undefined;
};

/** Builds a configuration with one service, one workspace and a route for each urgency. */
export function buildConfiguration({
  slots,
  warmUp,
  isRepeatable,
  quota,
}: ConfigurationOptions): gateway.Configuration {
  const routes = URGENCIES.map((urgency) => ({
    name: `route-${urgency}`,
    hostname: 'h',
    prefix: `/${urgency}/`,
    kind: isRepeatable ? gateway.RouteKind.SAFE : gateway.RouteKind.UNSAFE,
    timeoutMs: DEADLINE_MS,
    targetMs: 2000,
    patienceMs: PATIENCE_MS,
    maxPauseMs: undefined,
    urgency,
    targets: [{ service: SERVICE, weight: 1 }],
    maxAttempts: isRepeatable ? MAX_ATTEMPTS : 1,
    isPublic: false,
    resumable: false,
    regions: [],
  }));
  const workspace = { name: 'w', credentials: [KEY], urgency: undefined, quota, regions: [] };
  const engine = { slots, tokensPerEvent: 5 };
  const services = [{ name: SERVICE, maxConnections: 100, engine, warmUp }];
  const callerBounds = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  return { version: 1, routes, services, workspaces: [workspace], callerBounds };
}
