/**
 * Pool of connections to backend servers; each carries one request at a time.
 *
 * A connection is reused only after a complete response that has a length, with no bytes after it.
 * Bytes that arrive between two requests close the connection, because the HTTP library has no
 * request that they could belong to.
 */
import type * as runtime from '@toucanproxy/runtime';
import * as undici from 'undici';
import * as backendSocket from './backend-socket.js';
import * as carriedCalls from './carried-calls.js';
import * as idleConnections from './idle-connections.js';

export type BackendConnection = {
  client: undici.Client;
  /** Number of responses received completely; -1 once the connection has been discarded. */
  completedResponses: number;
  /** When the process at the other end started, as it has stated on this connection. */
  bornMs: number | undefined;
  /** Records what a report on this connection has stated. */
  noteStart: (bornMs: number | undefined) => void;
  wasReset: () => boolean;
  /** Whether bytes that belong to no response were read. */
  hasExcess: () => boolean;
  /** What was sent on the connection. */
  calls: carriedCalls.CarriedCalls;
  /** Returns how many bytes have been read from the connection. */
  countBytesRead: () => number;
  /** Sets what is called when bytes have been read, before they are parsed. */
  setReadListener: (listener: () => void) => void;
  /**
   * Sets what is called when the connection is closed because an exception was thrown in one of its
   * events. The client may report nothing more.
   */
  setFailureListener: (listener: () => void) => void;
  /** Runs a step of what the connection carries; an exception closes the connection. */
  runContained: (step: () => void) => void;
  /** Returns the connection to the pool if it can be reused; closes it otherwise. */
  release: (isReusable: boolean) => void;
};

export type BackendConnections = {
  /**
   * Takes an idle connection to an address, or opens a new one. No connection carries two calls with
   * the same id: a second response to the first one could not be told from that to the other. A new
   * connection replaces an idle one that is left for this reason, so that a caller that repeats an id
   * does not add to their number.
   */
  take: (address: string, attemptId: string) => BackendConnection;
  /** Takes an idle connection to a process that has stated the given start on it, if there is one. */
  takeKnown: (address: string, bornMs: number, attemptId: string) => BackendConnection | undefined;
  open: (address: string) => BackendConnection;
  /** Returns the start that was last stated at an address, on any connection. */
  getStatedStart: (address: string) => number | undefined;
  /** Closes idle connections to addresses that are no longer used. */
  closeOthers: (addresses: ReadonlySet<string>) => void;
  stop: () => void;
};

/**
 * Idle connections are closed after this time, milliseconds, or one second before the keep-alive
 * timeout that the backend server announces. It is shorter than the usual idle timeouts of
 * servers: if the server closes a connection while a request is being sent, that request may have
 * run.
 */
const KEEP_ALIVE_MS = 3000;
/** Upper limit for a keep-alive timeout that the backend server announces, milliseconds. */
const MAX_KEEP_ALIVE_MS = 30_000;

const CLIENT_OPTIONS = {
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
  keepAliveTimeout: KEEP_ALIVE_MS,
  keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
};
/** Message of the library's error for bytes that belong to no response. */
const EXCESS_ERROR = 'bad response';

type ConnectionHooks = Pick<backendSocket.ConnectHooks, 'runWhenPolled' | 'runContained'> & {
  removeClosed: (connection: BackendConnection) => void;
  addIdle: (connection: BackendConnection) => void;
  keepStart: (bornMs: number | undefined) => void;
  findAttemptId: carriedCalls.FindAttemptId;
};

/** Opens a connection, and records whether it was reset. */
function openConnection(
  address: string,
  { removeClosed, addIdle, keepStart, findAttemptId, ...hooks }: ConnectionHooks,
): BackendConnection {
  const socket = backendSocket.createBackendSocket();
  let hasExcess = false;
  const client: undici.Client = new undici.Client(`http://${address}`, {
    ...CLIENT_OPTIONS,
    connect: backendSocket.buildConnect(socket, {
      ...hooks,
      handleTimeout: () => client.destroy(new Error('connect-timeout')),
    }),
  });
  const connection: BackendConnection = {
    client,
    completedResponses: 0,
    bornMs: undefined,
    noteStart: (bornMs) => {
      connection.bornMs = bornMs;
      keepStart(bornMs);
    },
    wasReset: () => socket.isReset,
    hasExcess: () => hasExcess,
    calls: carriedCalls.createCarriedCalls(findAttemptId),
    countBytesRead: () => socket.countBytesRead(),
    setReadListener: (listener) => {
      socket.readListener = listener;
    },
    setFailureListener: (listener) => {
      socket.failureListener = () => {
        connection.release(false);
        listener();
      };
    },
    runContained: (step) => hooks.runContained(step, () => socket.failureListener()),
    release: (isReusable) => {
      if (!isReusable || carriedCalls.isFull(connection.calls)) {
        connection.completedResponses = -1;
        removeClosed(connection);
        client.destroy();
        return;
      }
      connection.completedResponses += 1;
      addIdle(connection);
    },
  };
  client.on('disconnect', (_url, _targets, error) => {
    hasExcess = error.message === EXCESS_ERROR;
    removeClosed(connection);
    client.destroy();
  });
  return connection;
}

/** Lists the addresses of a collection that are no longer used. */
function listOthers(
  collection: { keys: () => Iterable<string> },
  addresses: ReadonlySet<string>,
): string[] {
  return [...collection.keys()].filter((address) => !addresses.has(address));
}

/**
 * Creates an empty connection pool.
 *
 * @param runWhenPolled runs a step once the event loop has read which callers have left
 * @param findAttemptId finds the id of the call that a response states
 * @param runContained runs each event of a connection; an exception closes this connection
 */
export function createBackendConnections(
  runWhenPolled: (step: () => void) => void,
  findAttemptId: carriedCalls.FindAttemptId,
  runContained: runtime.RunContained = (step) => step(),
): BackendConnections {
  const idle: idleConnections.IdleConnections = new Map();
  const stated = new Map<string, number | undefined>();
  const open = (address: string) =>
    openConnection(address, {
      removeClosed: (connection) => idleConnections.removeIdle(idle, address, connection),
      addIdle: (connection) => {
        // If the server asked to close the connection, the client is already destroyed here.
        if (!connection.client.destroyed) {
          idleConnections.addIdle(idle, address, connection);
        }
      },
      keepStart: (bornMs) => stated.set(address, bornMs),
      runWhenPolled,
      findAttemptId,
      runContained,
    });
  type IsSuitable = (connection: BackendConnection) => boolean;
  const takeIdle = (address: string, attemptId: string, isSuitable: IsSuitable) =>
    idleConnections.takeIdle(
      idle,
      address,
      (connection) =>
        isSuitable(connection) && !carriedCalls.hasCarried(connection.calls, attemptId),
    );
  const openInstead = (address: string) => {
    idleConnections.closeOldest(idle, address);
    return open(address);
  };
  return {
    take: (address, attemptId) => takeIdle(address, attemptId, () => true) ?? openInstead(address),
    takeKnown: (address, bornMs, attemptId) =>
      takeIdle(address, attemptId, (connection) => connection.bornMs === bornMs),
    open,
    getStatedStart: (address) => stated.get(address),
    closeOthers: (addresses) => {
      listOthers(idle, addresses).forEach((address) => idleConnections.closeIdle(idle, address));
      listOthers(stated, addresses).forEach((address) => stated.delete(address));
    },
    stop: () => [...idle.keys()].forEach((address) => idleConnections.closeIdle(idle, address)),
  };
}
