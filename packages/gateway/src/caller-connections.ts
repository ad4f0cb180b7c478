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
  /** Counts the responses that are held. */
  countOpen: () => number;
  /** Closes connections without a request, now and as they become idle. */
  closeIdle: () => void;
};

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
export function createCallerConnections(): CallerConnections {
  const connections = new Map<net.Socket, Connection>();
  let isLeaving = false;
  let isClosing = false;
  const closeIfIdle = (socket: net.Socket) => {
    const { open, requestBytes } = connections.get(socket) ?? {};
    if (open?.size === 0 && socket.bytesRead === requestBytes) {
      socket.destroySoon();
    }
  };
  return {
    add: (socket) => {
      connections.set(socket, { open: new Set(), requestBytes: undefined, last: undefined });
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
    countOpen: () => [...connections.values()].reduce((sum, { open }) => sum + open.size, 0),
    closeIdle: () => {
      isClosing = true;
      [...connections.keys()].forEach(closeIfIdle);
    },
  };
}
