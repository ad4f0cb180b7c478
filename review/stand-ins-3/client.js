/** A stand-in for a client: one attempt a call, on a connection of its own. */
import * as http from 'node:http';

const FRONTEND = 8221;
export const KEY = 'key-1';

/** Builds a route of the configuration. */
export function buildRoute(name, routeType, changes = {}) {
  return {
    name,
    hostname: 'a.example',
    prefix: `/${name}/`,
    routeType,
    timeoutMs: 15_000,
    targetLatencyMs: 800,
    targetGapMs: 500,
    priority: 1,
    service: 'one',
    maxAttempts: routeType === 'unsafe' ? 1 : 2,
    public: false,
    ...changes,
  };
}

/** Builds a configuration. */
export function buildConfiguration(routes, service = {}) {
  return {
    version: 1,
    routes,
    services: [{ name: 'one', healthPath: '/healthz', maxConnections: 360, ...service }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'tenant-1', apiKeys: [KEY], ratePerS: 0, burst: 0, priority: 0 }],
  };
}

/**
 * Sends one attempt; resolves to what the client saw.
 *
 * @param gapMs the client leaves after a pause of this length, milliseconds; 0 if it never does
 */
export function sendCall({ ip }, { id, target, headers = {}, deadlineMs = 15_000, gapMs = 0 }) {
  return new Promise((resolve) => {
    const seen = { id, target, sentMs: Date.now(), status: 0, body: '', isComplete: false };
    let timer;
    const end = (isComplete, error) => {
      clearTimeout(timer);
      resolve({ ...seen, isComplete, error, endedMs: Date.now() });
    };
    const request = http.request({
      host: ip,
      port: FRONTEND,
      path: target,
      method: 'POST',
      agent: false,
      headers: {
        host: 'a.example',
        'X-Toucanproxy-Attempt-Id': id,
        'X-Toucanproxy-Deadline-Ms': String(deadlineMs),
        'X-Toucanproxy-Credential': KEY,
        'Content-Length': '1',
        ...headers,
      },
    });
    const startGap = () => {
      clearTimeout(timer);
      timer = gapMs > 0 ? setTimeout(() => request.destroy(new Error('left')), gapMs) : undefined;
    };
    request.on('response', (response) => {
      seen.status = response.statusCode;
      seen.headers = response.headers;
      response.setEncoding('latin1');
      response.on('data', (part) => {
        seen.body += part;
        startGap();
      });
      response.on('end', () => end(response.complete));
      response.on('error', (error) => end(false, error.code ?? error.message));
    });
    request.on('error', (error) => end(false, error.code ?? error.message));
    request.end('q');
    startGap();
  });
}
