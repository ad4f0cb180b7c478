/**
 * Refuses connections without reading from them.
 *
 * A refusal is sent although the request may not have arrived yet: the connection is closed after
 * it, so that no request on it is ever read. Closing a connection with unread bytes resets it, and
 * the reset may reach the caller before the refusal does; hence only one direction is closed at
 * first (RFC 9112, section 9.6).
 */
import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as gateway from '@toucanproxy/core/gateway';
import * as runtime from '@toucanproxy/runtime';
import * as localResponse from './local-response.js';

export type UnreadRefusals = {
  /** Sends a refusal on a connection that has not been read, and closes it. */
  refuse: (socket: net.Socket, refusal: gateway.Refusal) => void;
  /** Counts the connections whose callers may still be receiving their refusal. */
  countOpen: () => number;
  /** Closes all connections. */
  stop: () => void;
};

/** Time for a caller to receive its refusal and to close the connection, milliseconds. */
const LINGER_MS = 1000;
/** Most connections that are kept open for that; each may hold a receive buffer of the kernel. */
const MAX_LINGERING = 256;

/**
 * Creates a record without connections.
 *
 * @param reportClosed called for each connection that is closed before `LINGER_MS`
 */
export function createUnreadRefusals(reportClosed: () => void): UnreadRefusals {
  /** Connections in the order of their refusals, with the timers that close them. */
  const lingering = new Map<net.Socket, NodeJS.Timeout>();
  const close = (socket: net.Socket) => {
    clearTimeout(lingering.get(socket));
    lingering.delete(socket);
    socket.destroy();
  };
  const closeEarly = (socket: net.Socket) => {
    if (lingering.has(socket)) {
      close(socket);
      reportClosed();
    }
  };
  return {
    refuse: (socket, refusal) => {
      socket.on('error', () => closeEarly(socket));
      lingering.set(
        socket,
        setTimeout(() => close(socket), LINGER_MS),
      );
      socket.end(runtime.formatResponse(localResponse.buildLocalResponse(refusal)));
      const [oldest] = lingering.keys();
      if (lingering.size > MAX_LINGERING) {
        closeEarly(oldest);
      }
    },
    countOpen: () => lingering.size,
    stop: () => [...lingering.keys()].forEach(close),
  };
}

/**
 * Has connections decided on before anything is read from them.
 *
 * @param isTaken returns whether the server handles a connection no further
 */
export function filterConnections(
  server: http.Server,
  isTaken: (socket: net.Socket) => boolean,
): void {
  const listeners = server.listeners('connection');
  server.removeAllListeners('connection');
  // The HTTP server does not pass on this option of the server that it is based on.
  Object.assign(server, { pauseOnConnect: true });
  server.on('connection', (socket) => {
    if (!isTaken(socket)) {
      listeners.forEach((listener) => Reflect.apply(listener, server, [socket]));
      socket.resume();
    }
  });
}
