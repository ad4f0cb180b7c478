/** HTTP server for operators: metrics, status and health. */
import * as http from 'node:http';
import * as net from 'node:net';

export type OperatorServer = { port: number; stop: () => void };

type OperatorServerOptions = {
  host: string;
  port: number;
  renderMetrics: () => string;
  describeStatus: () => unknown;
  /** Returns false once the process accepts no new work. */
  isReady?: () => boolean;
  /** Path that the platform's load balancer checks, in addition to `/health`. */
  readinessPath?: string;
};

const HEALTH_PATH = '/health';
const TEXT = { 'content-type': 'text/plain; version=0.0.4' };
const JSON_TYPE = { 'content-type': 'application/json' };

/** Responds whether the platform's load balancer may send work here. */
function serveHealth(response: http.ServerResponse, isReady: boolean): void {
  response.writeHead(isReady ? 200 : 503, TEXT).end(isReady ? 'ok\n' : 'leaving\n');
}

/** Responds to a request. */
function serveRequest(
  options: OperatorServerOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const isReadiness = request.url === (options.readinessPath ?? HEALTH_PATH);
  switch (isReadiness ? HEALTH_PATH : request.url) {
    case '/metrics': {
      const text = options.renderMetrics();
      response.writeHead(200, TEXT).end(text);
      return;
    }
    case '/status': {
      const text = JSON.stringify(options.describeStatus());
      response.writeHead(200, JSON_TYPE).end(text);
      return;
    }
    case HEALTH_PATH:
      serveHealth(response, options.isReady?.() ?? true);
      return;
    default:
      response.writeHead(404, TEXT).end('not found\n');
  }
}

/** Starts listening. */
export async function startOperatorServer(options: OperatorServerOptions): Promise<OperatorServer> {
  const server = http.createServer((request, response) => {
    try {
      serveRequest(options, request, response);
    } catch (error) {
      // Operators see what has failed; the requests of callers are not concerned.
      response.writeHead(500, TEXT).end(`${(error as Error).message}\n`);
    }
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
