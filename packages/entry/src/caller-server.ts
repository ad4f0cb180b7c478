/** The task that owns callers' connections. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as core from '@toucanproxy/core';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';
import * as callerResponse from './caller-response.js';
import * as callerShutdown from './caller-shutdown.js';
import * as failureResponse from './failure-response.js';
import * as requestReader from './request-reader.js';

export type CallerServer = {
  port: number;
  applyEffect: (effect: callerResponse.CallerEffect) => void;
  /**
   * Refuses further requests, and closes the listening socket once no connection waits to be accepted;
   * `closed` is called then.
   */
  stopListening: (closed: () => void) => void;
  /** Calls `idle` once every response has been sent, and nothing that has arrived is unread. */
  notifyIdle: (idle: () => void) => void;
  stop: () => void;
};

export type CallerServerOptions = {
  host: string;
  port: number;
  limits: schema.EffectiveCallerLimits & callerResponse.ResponseLimits;
  context: requestReader.ReaderContext;
  post: (event: core.EntryEvent) => void;
  /** Called for requests that are refused before the core gets them. */
  reportRefusal: (code: schema.ResultCode) => void;
};

type ServerState = {
  options: CallerServerOptions;
  exchanges: Map<number, callerResponse.Exchange>;
  bySocket: WeakMap<net.Socket, Set<callerResponse.Exchange>>;
  connections: Set<net.Socket>;
  /** Connections that were opened beyond the limit. */
  overLimit: WeakSet<net.Socket>;
  nextCallerId: number;
  closing: boolean;
  shutdown: callerShutdown.CallerShutdown | undefined;
};

/** Maximum interval between checks for slow requests, milliseconds. */
const MAX_TIMEOUT_CHECK_MS = 1000;
/**
 * How many connections beyond the limit still get a refusal as their response;
 * further ones are dropped.
 */
const REJECTED_CONNECTIONS = 64;

const { ExchangePhase } = callerResponse;

/** Refuses a request that the core has not received. */
function refuse(
  state: ServerState,
  exchange: callerResponse.Exchange,
  code: schema.ResultCode,
): void {
  state.options.reportRefusal(code);
  if (exchange.response.headersSent || exchange.response.destroyed) {
    return;
  }
  exchange.phase = ExchangePhase.HELD;
  const failure = failureResponse.buildRefusal(code);
  callerResponse.sendFailure(exchange, failure, state.options.limits);
}

/** Removes a request whose response has been sent or whose caller has disconnected. */
function closeExchange(state: ServerState, exchange: callerResponse.Exchange): void {
  const { callerId, request } = exchange;
  clearTimeout(exchange.stallTimer);
  state.exchanges.delete(callerId);
  state.bySocket.get(request.socket)?.delete(exchange);
  state.options.post({ kind: 'callerLeft', callerId });
  state.shutdown?.check();
}

/** Creates and registers the record of a request. */
function openExchange(
  state: ServerState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): callerResponse.Exchange {
  const exchange = callerResponse.makeExchange(state.nextCallerId, request, response);
  state.nextCallerId += 1;
  state.exchanges.set(exchange.callerId, exchange);
  const { socket } = request;
  const ofSocket = state.bySocket.get(socket) ?? new Set();
  state.bySocket.set(socket, ofSocket.add(exchange));
  response.on('close', () => closeExchange(state, exchange));
  response.on('error', () => response.destroy());
  return exchange;
}

/**
 * Returns the code of the connection limit that a new request exceeds; undefined
 * if there is none.
 */
function findRefusal(
  state: ServerState,
  exchange: callerResponse.Exchange,
): schema.ResultCode | undefined {
  const { limits } = state.options;
  if (state.closing) {
    return schema.ResultCode.SHUTTING_DOWN;
  }
  const { socket } = exchange.request;
  const pipelined = state.bySocket.get(socket)?.size ?? 0;
  const tooMany = state.overLimit.has(socket) || pipelined > limits.maxPipelined;
  return tooMany ? schema.ResultCode.QUEUE_FULL : undefined;
}

/** Reads one request and passes it to the core, or refuses it. */
async function handleRequest(
  state: ServerState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  expectsContinue: boolean,
): Promise<void> {
  const exchange = openExchange(state, request, response);
  const { context, post } = state.options;
  const refusal = findRefusal(state, exchange);
  if (refusal !== undefined) {
    response.setHeader('connection', 'close');
    refuse(state, exchange, refusal);
    return;
  }
  const head = requestReader.readHead(request, context);
  if (head.kind === 'faulty') {
    if (expectsContinue) {
      response.setHeader('connection', 'close');
    }
    refuse(state, exchange, head.code);
    return;
  }
  if (expectsContinue) {
    response.writeContinue();
  }
  const read = await requestReader.readRequest(request, head, exchange.callerId, context);
  if (read.kind === 'faulty') {
    refuse(state, exchange, read.code);
    return;
  }
  exchange.phase = ExchangePhase.HELD;
  post({ kind: 'requestArrived', request: read.request });
}

/** Writes a refusal to a connection on which no request could be read. */
function writeRefusal(socket: net.Socket, code: schema.ResultCode): void {
  const rendered = failureResponse.buildFailureResponse(failureResponse.buildRefusal(code));
  runtime.writeErrorResponse(socket, rendered);
}

/**
 * Responds on a connection on which parsing failed or a timeout expired.
 *
 * Responses to earlier requests of the connection are sent first. Otherwise the
 * refusal would end up in the middle of another response.
 */
function handleClientError(state: ServerState, error: Error, socket: net.Socket): void {
  const code = runtime.toResultCode(error);
  if (code === undefined) {
    socket.destroy();
    return;
  }
  const exchanges = [...(state.bySocket.get(socket) ?? [])];
  const reading = exchanges.find(
    (exchange) => exchange.phase === ExchangePhase.READING && !exchange.request.complete,
  );
  if (reading !== undefined) {
    reading.response.setHeader('connection', 'close');
    refuse(state, reading, code);
    return;
  }
  const last = exchanges.at(-1);
  if (last === undefined) {
    state.options.reportRefusal(code);
    writeRefusal(socket, code);
    return;
  }
  last.response.once('close', () => handleClientError(state, error, socket));
}

/** Creates the HTTP server with its limits. */
function createServer(state: ServerState): http.Server {
  const { limits } = state.options;
  const headersTimeout = Math.min(limits.headersTimeoutMs, limits.bodyTimeoutMs);
  const server = http.createServer({
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout,
    requestTimeout: limits.bodyTimeoutMs,
    connectionsCheckingInterval: Math.min(MAX_TIMEOUT_CHECK_MS, headersTimeout),
  });
  server.maxConnections = limits.maxConnections + REJECTED_CONNECTIONS;
  const listen =
    (expectsContinue: boolean): http.RequestListener =>
    (request, response) => {
      handleRequest(state, request, response, expectsContinue).catch(() => response.destroy());
    };
  server.on('request', listen(false));
  server.on('checkExpectation', listen(false));
  server.on('checkContinue', listen(true));
  server.on('clientError', (error, socket) =>
    handleClientError(state, error, socket as net.Socket),
  );
  server.on('connect', (_request, socket) =>
    writeRefusal(socket as net.Socket, schema.ResultCode.MALFORMED_REQUEST),
  );
  server.on('connection', (socket) => openConnection(state, socket));
  return server;
}

/** Counts a connection, and marks it if it exceeds the limit. */
function openConnection(state: ServerState, socket: net.Socket): void {
  state.connections.add(socket);
  socket.on('close', () => state.connections.delete(socket));
  if (state.connections.size > state.options.limits.maxConnections) {
    state.overLimit.add(socket);
  }
}

/** Carries out one effect if the caller is still connected. */
function applyCallerEffect(state: ServerState, effect: callerResponse.CallerEffect): void {
  const exchange = state.exchanges.get(effect.callerId);
  if (exchange === undefined || exchange.response.destroyed) {
    return;
  }
  try {
    callerResponse.applyEffect(exchange, effect, state.options.limits);
  } catch {
    // A response that HTTP cannot carry closes only its own connection. If the error
    // propagated, it would stop the task that serves all other callers.
    exchange.response.destroy();
  }
}

/**
 * Asks for each connection to be closed after its last response in flight.
 *
 * Only the last response may carry the header, because the connection closes
 * after the first one that does, and later responses would be lost.
 */
function closeAfterResponses(state: ServerState): void {
  const exchanges = [...state.exchanges.values()];
  const lastBySocket = new Map(exchanges.map((exchange) => [exchange.request.socket, exchange]));
  lastBySocket.forEach(({ response }) => {
    if (!response.headersSent) {
      response.setHeader('connection', 'close');
    }
  });
}

/** Starts to listen for callers. */
export async function startCallerServer(options: CallerServerOptions): Promise<CallerServer> {
  const state: ServerState = {
    options,
    exchanges: new Map(),
    bySocket: new WeakMap(),
    connections: new Set(),
    overLimit: new WeakSet(),
    nextCallerId: 1,
    closing: false,
    shutdown: undefined,
  };
  const server = createServer(state);
  const shutdown = callerShutdown.createCallerShutdown({
    server,
    connections: state.connections,
    countOpen: () => state.exchanges.size,
  });
  state.shutdown = shutdown;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    applyEffect: (effect) => applyCallerEffect(state, effect),
    stopListening: (closed) => {
      state.closing = true;
      closeAfterResponses(state);
      shutdown.begin(closed);
    },
    notifyIdle: shutdown.notify,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
