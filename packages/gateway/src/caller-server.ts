/** HTTP server for callers; owns their connections. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as gateway from '@toucanproxy/core/gateway';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';
import * as acceptDelay from './accept-delay.js';
import type * as bodyMemory from './body-memory.js';
import * as bodyReading from './body-reading.js';
import * as callerConnections from './caller-connections.js';
import * as callerContainment from './caller-containment.js';
import type * as callerExchange from './caller-exchange.js';
import * as callerTimeouts from './caller-timeouts.js';
import * as clientErrors from './client-errors.js';
import * as clocks from './clocks.js';
import * as droppedRequests from './dropped-requests.js';
import * as earlyRefusal from './early-refusal.js';
import type * as gatewaySettings from './gateway-settings.js';
import * as requestHead from './request-head.js';
import * as unreadRefusals from './unread-refusals.js';

export type CallerServer = {
  /** Starts listening; resolves to the port. */
  listen: () => Promise<number>;
  /** Applies the limits for callers that the configuration declares. */
  applyBounds: (bounds: gateway.CallerBounds) => void;
  /** Closes each connection after its next response. */
  beginShutdown: () => void;
  /** Closes idle connections, now and as they become idle. */
  closeIdle: () => void;
  /** Accepts the connections that wait, and closes the listening socket; then calls `stopped`. */
  stopListening: (stopped: () => void) => void;
  /** Refuses the requests that have not been read completely. */
  refuseUnread: (refusal: gateway.Refusal) => void;
  /** Returns whether a connection has or may soon have a request without a response. */
  areBusy: (now: number) => boolean;
  /** Counts the bytes that have been read from the connections that are open. */
  countBytes: () => number;
  /** Counts the connections by what they are open for. */
  countConnections: () => callerConnections.ConnectionCounts;
  stop: () => void;
};

type CallerServerOptions = {
  listen: gatewaySettings.ListenAddress;
  /** Called with each request that has been read completely. */
  receive: (exchange: callerExchange.CallerExchange) => void;
  reportRefusal: (code: schema.ResultCode, fields: Record<string, unknown>) => void;
  bodyMemory: bodyMemory.BodyMemory;
  /** Runs an event of a caller's connection. */
  runContained: runtime.RunContained;
  /** Called if connections cannot be accepted, as without free descriptors. */
  reportProblem: (reason: string) => void;
  /** Computes how long data that is read now may have waited, milliseconds. */
  computeUnreadMs: () => number;
  /**
   * Returns why a new connection that has waited for the given time, milliseconds, is refused
   * unread; undefined if it is served.
   */
  findLateRefusal: (waitedMs: number) => gateway.Refusal | undefined;
  /** Called for each connection that was closed soon after it was refused unread. */
  reportClosedUnread: () => void;
};

type ServerState = {
  options: CallerServerOptions;
  bounds: gateway.CallerBounds;
  connections: callerConnections.CallerConnections;
  /** Requests that have not been read completely, with what refuses them. */
  unread: Map<http.ServerResponse, bodyReading.BodyListener['refuse']>;
  /**
   * When connections that were just accepted after a stall of the event loop may have been opened,
   * milliseconds.
   */
  openedMs: WeakMap<net.Socket, number>;
  acceptDelay: acceptDelay.AcceptDelay;
  unreadRefusals: unreadRefusals.UnreadRefusals;
  /** When the server began to listen, milliseconds. */
  listeningMs: number;
  server: http.Server | undefined;
};

/**
 * Limit of the HTTP parser, bytes. It is fixed before the first configuration is known, so it is
 * the most that any configuration can allow.
 */
const PARSER_MAX_HEADER_BYTES = 65_536;
/** Limits that apply until a configuration is active. */
const DEFAULT_BOUNDS: gateway.CallerBounds = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};
/** Timeout for reading a whole request, milliseconds; bodies that arrive slowly occupy memory. */
const REQUEST_TIMEOUT_MS = 30_000;
/** Interval at which request timeouts are checked, milliseconds. */
const TIMEOUT_CHECK_MS = 1000;

/** Refuses a request that has not been read completely, and closes its connection. */
function refuse(
  state: ServerState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  refusal: gateway.Refusal,
  fields: Record<string, unknown> = {},
): void {
  // A refusal for another reason may have been sent already.
  if (response.headersSent) {
    return;
  }
  state.options.reportRefusal(refusal.code, fields);
  earlyRefusal.refuseEarly(request, response, refusal, state.options.bodyMemory.noteCopied);
}

/** Computes how long data that is read now may have waited, milliseconds. */
function computeUnreadMs({ options, listeningMs }: ServerState): number {
  return Math.min(options.computeUnreadMs(), clocks.readSteadyMs() - listeningMs);
}

/**
 * Records when a new connection may have been opened, if it was accepted late. What its
 * caller sent meanwhile is read in the next turn of the event loop. Returns whether nothing is read
 * from the connection, as it was opened by this process or has been refused.
 */
function noteConnection(state: ServerState, socket: net.Socket): boolean {
  const stallMs = computeUnreadMs(state);
  if (state.acceptDelay.noteAccepted(socket, stallMs)) {
    return true;
  }
  const refusal = state.options.findLateRefusal(state.acceptDelay.getMeasuredMs());
  if (refusal !== undefined) {
    state.unreadRefusals.refuse(socket, refusal);
    return true;
  }
  const unreadMs = Math.max(stallMs, gateway.computeUnreadMs(state.acceptDelay.getDelayMs()));
  if (unreadMs > 0) {
    state.openedMs.set(socket, clocks.readSteadyMs() - unreadMs);
    setImmediate(() => setImmediate(() => state.openedMs.delete(socket)));
  }
  return false;
}

/** Computes how long a request whose headers are read now may have waited, milliseconds. */
function computeRequestUnreadMs(state: ServerState, socket: net.Socket): number {
  const now = clocks.readSteadyMs();
  return Math.max(computeUnreadMs(state), now - (state.openedMs.get(socket) ?? now));
}

/** Reads the body, then passes the request to `receive`. */
function readBody(
  state: ServerState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  headerBytes: number,
): void {
  const { options, bounds } = state;
  const headUnreadMs = computeRequestUnreadMs(state, request.socket);
  const receive = (body: Buffer, stoppedMs: number) => {
    state.unread.delete(response);
    // The rest of a request may arrive after its refusal.
    if (response.headersSent) {
      return;
    }
    const { method = '', url = '', rawHeaders } = request;
    const unreadMs = Math.max(headUnreadMs, computeUnreadMs(state)) + stoppedMs;
    options.receive({ method, target: url, headers: rawHeaders, body, response, unreadMs });
  };
  const listener: bodyReading.BodyListener = {
    receive,
    refuse: (refusal, fields) => refuse(state, request, response, refusal, fields),
  };
  state.unread.set(response, listener.refuse);
  response.on('close', () => state.unread.delete(response));
  const { bodyMemory: memory } = options;
  const { maxBodyBytes } = bounds;
  const readNow = clocks.readSteadyMs;
  bodyReading.readBody({ memory, readNow, maxBodyBytes, request, response, listener }, headerBytes);
}

/** Handles one request. */
function handleRequest(
  state: ServerState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  // A caller that resets its connection must not raise an unhandled error here.
  request.on('error', () => response.destroy());
  response.on('error', () => response.destroy());
  if (!state.connections.hold(response)) {
    droppedRequests.dropRequest(request, state.options.bodyMemory.noteCopied);
    return;
  }
  const headerBytes = requestHead.countHeaderBytes(request.rawHeaders);
  const fault = requestHead.findFault(request, headerBytes, state.bounds);
  if (fault !== undefined) {
    refuse(state, request, response, { code: fault, retryAfterMs: undefined });
    return;
  }
  readBody(state, request, response, headerBytes);
}

/** Creates the functions that handle what cannot be read as a request. */
function createErrorHandlers(state: ServerState, server: http.Server): clientErrors.ErrorHandlers {
  return clientErrors.createErrorHandlers({
    listOpen: state.connections.listOpen,
    refuse: (response, code) =>
      refuse(state, response.req, response, { code, retryAfterMs: undefined }),
    reportRefusal: state.options.reportRefusal,
    ...callerTimeouts.watchTimeouts(server),
  });
}

/** Creates the HTTP server. */
function createServer(state: ServerState): http.Server {
  const server = http.createServer({
    maxHeaderSize: PARSER_MAX_HEADER_BYTES,
    headersTimeout: state.bounds.headerTimeoutMs,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: state.bounds.idleTimeoutMs,
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
    noDelay: true,
  });
  callerContainment.runServerContained(server, state.options.runContained, (request, response) =>
    refuse(state, request, response, {
      code: schema.ResultCode.INTERNAL,
      retryAfterMs: undefined,
    }),
  );
  server.on('connection', state.connections.add);
  unreadRefusals.filterConnections(server, (socket) => noteConnection(state, socket));
  server.on('request', (request, response) => handleRequest(state, request, response));
  server.on('checkContinue', (request, response) => handleRequest(state, request, response));
  const { handleError, refuseTunnel } = createErrorHandlers(state, server);
  server.on('clientError', (error, socket) => handleError(error, socket as net.Socket));
  server.on('error', (error) => state.options.reportProblem(error.message));
  // Without a listener for upgrades, a request that offers one is handled as any other.
  server.on('connect', (_request, socket) => refuseTunnel(socket as net.Socket));
  return server;
}

/** Opens a connection to the listening socket of this process. */
function openProbe({ server }: ServerState): net.Socket {
  const { address, port } = server?.address() as net.AddressInfo;
  const host = new Map([
    ['0.0.0.0', '127.0.0.1'],
    ['::', '::1'],
  ]).get(address);
  return net.connect({ host: host ?? address, port });
}

/** Creates the server; it does not listen yet. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  const state: ServerState = {
    options,
    bounds: DEFAULT_BOUNDS,
    connections: callerConnections.createCallerConnections(clocks.readSteadyMs),
    unread: new Map(),
    openedMs: new WeakMap(),
    acceptDelay: acceptDelay.startAcceptDelay(() => openProbe(state), clocks.readSteadyMs),
    unreadRefusals: unreadRefusals.createUnreadRefusals(options.reportClosedUnread),
    listeningMs: Infinity,
    server: undefined,
  };
  const server = createServer(state);
  state.server = server;
  return {
    listen: async () => {
      state.listeningMs = clocks.readSteadyMs();
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
    beginShutdown: state.connections.closeAfterResponses,
    stopListening: (stopped) => {
      // The method of the HTTP server would also close connections whose response is being read.
      const close = () => net.Server.prototype.close.call(server);
      runtime.closeWhenDrained(server, clocks.readSteadyMs, close, stopped);
    },
    closeIdle: state.connections.closeIdle,
    refuseUnread: (refusal) =>
      [...state.unread.values()].forEach((refuseOne) => refuseOne(refusal, {})),
    areBusy: (now) => state.connections.areBusy(now) || state.unreadRefusals.countOpen() > 0,
    countBytes: state.connections.countBytes,
    countConnections: state.connections.countConnections,
    stop: () => {
      state.unreadRefusals.stop();
      state.acceptDelay.stop();
      server.close();
      server.closeAllConnections();
    },
  };
}
