/**
 * Tracks the connections of callers, so that a shutdown closes them without cutting a response.
 *
 * The HTTP library regards a connection as idle once its last response has been handed over, even
 * if the caller has not read it, or if responses to further requests on it are still to come.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

type Connection = {
  /** Responses that have not left the process, also to requests that are being read. */
  open: Set<http.ServerResponse>;
  /** Bytes received up to the end of the last request; undefined before. */
  requestBytes: number | undefined;
  /** The response after which the connection is closed, if one is chosen. */
  last: http.ServerResponse | undefined;
  openedMs: number;
};

/** What connections are open for, at the end of a shutdown. */
export type ConnectionCounts = {
  /** A response has not left the process. */
  responding: number;
  /** A part of a request has been read. */
  reading: number;
  /** Nothing has been read. */
  unused: number;
  /** The last request has its response. */
  idle: number;
};

export type CallerConnections = {
  add: (socket: net.Socket) => void;
  /**
   * Holds the connection of a response until the response has left the process. Returns false if
   * the response cannot be sent, as an earlier one has announced that the connection closes.
   */
  hold: (response: http.ServerResponse) => boolean;
  /** Closes each connection after its last response, of those that are open or still to come. */
  closeAfterResponses: () => void;
  /** Lists the responses of a connection that are held, the oldest first. */
  listOpen: (socket: net.Socket) => http.ServerResponse[];
  /** Returns whether a connection has or may soon have a request without a response. */
  areBusy: (now: number) => boolean;
  /** Counts the bytes that have been read from the connections that are open. */
  countBytes: () => number;
  /** Counts the connections by what they are open for. */
  countConnections: () => ConnectionCounts;
  /** Closes connections without a request, now and as they become idle. */
  closeIdle: () => void;
};

/** Time within which a caller sends its first request on a connection, milliseconds. */
const FIRST_REQUEST_MS = 200;

/** Finds what a connection is open for. */
function findUse(socket: net.Socket, connection: Connection): keyof ConnectionCounts {
  const { open, requestBytes } = connection;
  if (open.size > 0) {
    return 'responding';
  }
  if (socket.bytesRead !== (requestBytes ?? 0)) {
    return 'reading';
  }
  return requestBytes === undefined ? 'unused' : 'idle';
}

/** Counts connections by what they are open for. */
function countUses(connections: Map<net.Socket, Connection>): ConnectionCounts {
  const counts = { responding: 0, reading: 0, unused: 0, idle: 0 };
  connections.forEach((connection, socket) => {
    counts[findUse(socket, connection)] += 1;
  });
  return counts;
}

/** Returns whether a connection has or may soon have a request without a response. */
function isBusy(socket: net.Socket, connection: Connection, now: number): boolean {
  const use = findUse(socket, connection);
  const isNew = now - connection.openedMs < FIRST_REQUEST_MS;
  return use === 'responding' || use === 'reading' || (use === 'unused' && isNew);
}

/** Chooses the newest response of a connection as its last one; returns false if it is too late. */
function chooseLast(connection: Connection): boolean {
  const { last, open } = connection;
  if (last?.headersSent === true) {
    return false;
  }
  const newest = [...open].at(-1);
  if (newest !== undefined && newest !== last && !newest.headersSent) {
    if (last !== undefined) {
      last.shouldKeepAlive = true;
    }
    newest.shouldKeepAlive = false;
    connection.last = newest;
  }
  return true;
}

/** Creates a record without connections. */
export function createCallerConnections(readNow: () => number): CallerConnections {
  const connections = new Map<net.Socket, Connection>();
  let isLeaving = false;
  let isClosing = false;
  const closeIfIdle = (socket: net.Socket) => {
    const connection = connections.get(socket);
    if (connection !== undefined && findUse(socket, connection) === 'idle') {
      socket.destroySoon();
    }
  };
  return {
    add: (socket) => {
      const openedMs = readNow();
      const connection = { open: new Set<http.ServerResponse>(), openedMs };
      connections.set(socket, { ...connection, requestBytes: undefined, last: undefined });
      socket.on('close', () => {
        const { open } = connections.get(socket) ?? {};
        connections.delete(socket);
        // The HTTP library does not close responses that are queued behind another one.
        open?.forEach((response) => response.socket === null && response.emit('close'));
      });
    },
    hold: (response) => {
      const { socket } = response.req;
      const connection = connections.get(socket);
      connection?.open.add(response);
      if (isLeaving && connection !== undefined && !chooseLast(connection)) {
        connection.open.delete(response);
        return false;
      }
      response.req.on('end', () => {
        if (connection !== undefined) {
          connection.requestBytes = socket.bytesRead;
        }
      });
      response.on('close', () => {
        connection?.open.delete(response);
        if (isClosing) {
          closeIfIdle(socket);
        }
      });
      return true;
    },
    closeAfterResponses: () => {
      isLeaving = true;
      connections.forEach(chooseLast);
    },
    listOpen: (socket) => [...(connections.get(socket)?.open ?? [])],
    areBusy: (now) =>
      [...connections].some(([socket, connection]) => isBusy(socket, connection, now)),
    countBytes: () => [...connections.keys()].reduce((sum, { bytesRead }) => sum + bytesRead, 0),
    countConnections: () => countUses(connections),
    closeIdle: () => {
      isClosing = true;
      [...connections.keys()].forEach(closeIfIdle);
    },
  };
}
