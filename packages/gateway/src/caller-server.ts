/** The task that owns callers' connections. */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as gateway from '@toucanproxy/core/gateway';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';
import type * as callerExchange from './caller-exchange.js';
import type * as gatewaySettings from './gateway-settings.js';
import * as ownAnswer from './own-answer.js';

export type CallerServer = {
  /** Begins to listen and gives the port. */
  listen: () => Promise<number>;
  /** Brings what callers may do in line with the configuration. */
  applyBounds: (bounds: gateway.CallerBounds) => void;
  /** Asks each connection to close after its next answer. */
  beginShutdown: () => void;
  /** Takes no new connection and closes those that are idle. */
  stopListening: () => void;
  stop: () => void;
};

type CallerServerOptions = {
  listen: gatewaySettings.ListenAddress;
  /** A request has been read. */
  receive: (exchange: callerExchange.CallerExchange) => void;
  reportRefusal: (code: schema.ResultCode) => void;
};

type ServerState = {
  options: CallerServerOptions;
  bounds: gateway.CallerBounds;
  closing: boolean;
};

/** Before the first configuration; the largest headers that any may allow, bytes. */
const HARD_HEADER_BYTES = 65_536;
/** Where nothing is declared yet. */
const DEFAULT_BOUNDS: gateway.CallerBounds = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};
/** Longest time for a whole request, milliseconds; slow bodies hold memory. */
const REQUEST_TIMEOUT_MS = 30_000;
/** How often slow requests are looked for, milliseconds. */
const TIMEOUT_CHECK_MS = 1000;

/** Refuses a request before it is read to its end; the connection closes. */
function refuse(state: ServerState, response: http.ServerResponse, code: schema.ResultCode): void {
  state.options.reportRefusal(code);
  const { status, headers, body } = ownAnswer.buildOwnAnswer({ code, retryAfterMs: undefined });
  response.writeHead(status, { ...headers, connection: 'close' });
  response.end(body);
}

/** Counts the bytes of headers. */
function countHeaderBytes(headers: string[]): number {
  return headers.reduce((sum, part) => sum + part.length + 2, 0);
}

/** Finds what is wrong with the head of a request. */
function findHeadFault(
  state: ServerState,
  request: http.IncomingMessage,
): schema.ResultCode | undefined {
  const { maxHeaderBytes, maxBodyBytes } = state.bounds;
  if (countHeaderBytes(request.rawHeaders) > maxHeaderBytes) {
    return schema.ResultCode.HEADERS_TOO_LARGE;
  }
  if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) {
    return schema.ResultCode.BODY_TOO_LARGE;
  }
  const isPath = request.url?.startsWith('/') === true;
  return isPath ? undefined : schema.ResultCode.MALFORMED_REQUEST;
}

/** Reads the body and hands the request on. */
function readBody(
  state: ServerState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const parts: Buffer[] = [];
  let bytes = 0;
  request.on('data', (part: Buffer) => {
    bytes += part.length;
    if (bytes <= state.bounds.maxBodyBytes) {
      parts.push(part);
    } else if (!response.headersSent) {
      refuse(state, response, schema.ResultCode.BODY_TOO_LARGE);
    }
  });
  request.on('end', () => {
    if (!response.headersSent && request.complete) {
      const body = parts.length === 1 ? parts[0] : Buffer.concat(parts);
      const { method = '', url = '', rawHeaders } = request;
      state.options.receive({ method, target: url, headers: rawHeaders, body, response });
    }
  });
}

/** Takes one request. */
function handleRequest(
  state: ServerState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  // A caller that resets its connection is no fault of this process.
  request.on('error', () => response.destroy());
  response.on('error', () => response.destroy());
  if (state.closing) {
    response.shouldKeepAlive = false;
  }
  const fault = findHeadFault(state, request);
  if (fault !== undefined) {
    refuse(state, response, fault);
    return;
  }
  readBody(state, request, response);
}

/** Answers a connection on which the parser gave up or the time ran out. */
function handleClientError(state: ServerState, error: Error, socket: net.Socket): void {
  const code = runtime.toResultCode(error);
  if (code === undefined) {
    socket.destroy();
    return;
  }
  state.options.reportRefusal(code);
  runtime.writeErrorResponse(socket, ownAnswer.buildOwnAnswer({ code, retryAfterMs: undefined }));
}

/** Creates the HTTP server. */
function createServer(state: ServerState): http.Server {
  const server = http.createServer({
    maxHeaderSize: HARD_HEADER_BYTES,
    headersTimeout: state.bounds.headerTimeoutMs,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: state.bounds.idleTimeoutMs,
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
    noDelay: true,
  });
  server.on('request', (request, response) => handleRequest(state, request, response));
  server.on('clientError', (error, socket) =>
    handleClientError(state, error, socket as net.Socket),
  );
  server.on('connect', (_request, socket) => socket.destroy());
  server.on('upgrade', (_request, socket) => socket.destroy());
  return server;
}

/** Creates the server; it does not listen yet. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  const state: ServerState = { options, bounds: DEFAULT_BOUNDS, closing: false };
  const server = createServer(state);
  return {
    listen: async () => {
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(options.listen.port, options.listen.host, resolve);
      });
      return (server.address() as net.AddressInfo).port;
    },
    applyBounds: (bounds) => {
      state.bounds = bounds;
      server.headersTimeout = bounds.headerTimeoutMs;
      server.keepAliveTimeout = bounds.idleTimeoutMs;
    },
    beginShutdown: () => {
      state.closing = true;
    },
    stopListening: () => {
      server.close();
      server.closeIdleConnections();
    },
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
