/** Builds configurations as the operator writes them: PROTOCOL.md, "The operator's API". */

/** Builds a route. */
export function buildRoute(name, service, changes = {}) {
  return {
    name,
    hostname: 'ficu95.example',
    prefix: `/${name}/`,
    routeType: 'unsafe',
    timeoutMs: 4000,
    targetLatencyMs: 386,
    priority: 0,
    service,
    maxAttempts: 1,
    public: false,
    ...changes,
  };
}

/** Builds a configuration with one tenant. */
export function buildConfiguration(version, routes, apiKeys = ['key-1']) {
  const names = [...new Set(routes.map(({ service }) => service))];
  return {
    version,
    routes,
    services: names.map((name) => ({ name, healthPath: '/healthz', maxConnections: 100 })),
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 1048576,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: [{ name: 'tenant-1', apiKeys, ratePerS: 0, burst: 0 }],
  };
}
