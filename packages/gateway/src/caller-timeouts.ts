/**
 * Handles timeouts of connections of callers.
 *
 * Timers fire before the event loop polls. After a stall, what a caller sent in time is still unread
 * when its timeout is handled, so each timeout is decided on after the poll of its turn.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

export type CallerTimeouts = {
  /**
   * Calls `refuse` if the request that timed out has not been read after the next poll. If at
   * least its head has, the rest of it has the time that a whole request has.
   */
  handleRequestTimeout: (socket: net.Socket, refuse: () => void) => void;
};

/** Closes an idle connection unless something has been read from it after the next poll. */
function closeIfUnread(socket: net.Socket): void {
  const { bytesRead } = socket;
  setImmediate(() => {
    if (socket.bytesRead === bytesRead) {
      socket.destroy();
    }
  });
}

/** Watches the connections of a server. */
export function watchTimeouts(server: http.Server): CallerTimeouts {
  const newest = new WeakMap<net.Socket, http.IncomingMessage>();
  const note = (request: http.IncomingMessage) => newest.set(request.socket, request);
  server.on('request', note);
  server.on('checkContinue', note);
  server.on('timeout', closeIfUnread);
  return {
    handleRequestTimeout: (socket, refuse) => {
      const before = newest.get(socket);
      const isInBody = before?.complete === false;
      setImmediate(() => {
        const request = newest.get(socket);
        if (request === undefined || (request === before && !(isInBody && request.complete))) {
          refuse();
        } else if (!request.complete) {
          const timer = setTimeout(() => request.complete || refuse(), server.requestTimeout);
          request.once('close', () => clearTimeout(timer));
        }
      });
    },
  };
}
