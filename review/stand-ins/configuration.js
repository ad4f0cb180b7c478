/** The configuration of the small deployment. */

/** Builds a route. */
export function buildRoute(name, routeType, changes = {}) {
  return {
    name,
    hostname: 'a.example',
    prefix: `/${name}/`,
    routeType,
    timeoutMs: 15_000,
    targetLatencyMs: 800,
    targetGapMs: routeType === 'stream' ? 400 : 0,
    priority: 0,
    service: 'one',
    maxAttempts: 2,
    ...changes,
  };
}

/** Builds a configuration with one tenant, which has no quota. */
export function buildConfiguration(routes) {
  return {
    version: 7,
    routes,
    services: [...new Set(routes.map(({ service }) => service))].map((name) => ({
      name,
      healthPath: '/healthz',
      maxConnections: 360,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'tenant-1', apiKeys: ['key-1'], ratePerS: 0, burst: 0 }],
  };
}
