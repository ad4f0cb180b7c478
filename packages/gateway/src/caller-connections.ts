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
};

export type CallerConnections = {
  add: (socket: net.Socket) => void;
  /** Holds the connection of a response until the response has left the process. */
  hold: (response: http.ServerResponse) => void;
  /** Counts the responses that are held. */
  countOpen: () => number;
  /** Closes connections without a request, now and as they become idle. */
  closeIdle: () => void;
};

/** Creates a record without connections. */
export function createCallerConnections(): CallerConnections {
  const connections = new Map<net.Socket, Connection>();
  let isClosing = false;
  const closeIfIdle = (socket: net.Socket) => {
    const { open, requestBytes } = connections.get(socket) ?? {};
    if (open?.size === 0 && socket.bytesRead === requestBytes) {
      socket.destroySoon();
    }
  };
  return {
    add: (socket) => {
      connections.set(socket, { open: new Set(), requestBytes: undefined });
      socket.on('close', () => connections.delete(socket));
    },
    hold: (response) => {
      const { socket } = response.req;
      const connection = connections.get(socket);
      connection?.open.add(response);
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
    },
    countOpen: () => [...connections.values()].reduce((sum, { open }) => sum + open.size, 0),
    closeIdle: () => {
      isClosing = true;
      [...connections.keys()].forEach(closeIfIdle);
    },
  };
}
