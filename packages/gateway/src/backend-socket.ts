/** Opens the sockets of connections to backend servers and observes them. */
import type * as net from 'node:net';
import * as runtime from '@toucanproxy/runtime';
import * as undici from 'undici';

export type BackendSocket = {
  isReset: boolean;
  countBytesRead: () => number;
  /** Called when bytes have been read, before they are parsed. */
  readListener: () => void;
  /** Called after an exception in an event of the socket. */
  failureListener: () => void;
};

export type ConnectHooks = {
  /** Runs a step once the event loop has read which callers have left. */
  runWhenPolled: (step: () => void) => void;
  /** Runs an event of the socket. */
  runContained: runtime.RunContained;
  handleTimeout: () => void;
};

/**
 * Timeout for connecting, milliseconds. The latency between failure domains is a few milliseconds;
 * an unresponsive backend server must not delay a request for long. The library's own timers fire up
 * to a second late.
 */
const CONNECT_TIMEOUT_MS = 400;

/** Calls a listener before the library handles the end of a connection that was reset. */
function watchResets(socket: net.Socket, handleReset: () => void): void {
  socket.prependListener('error', handleReset);
  socket.prependListener('end', () => {
    // The runtime reports a reset that it reads together with the last bytes as a plain end; after it
    // the system knows no other side any more.
    if (socket.remoteAddress === undefined) {
      handleReset();
    }
  });
}

/** Creates the record of a socket that has not been opened. */
export function createBackendSocket(): BackendSocket {
  return {
    isReset: false,
    countBytesRead: () => 0,
    readListener: () => {},
    failureListener: () => {},
  };
}

/** Builds the function by which the HTTP library opens the socket. */
export function buildConnect(
  record: BackendSocket,
  { runWhenPolled, runContained, handleTimeout }: ConnectHooks,
): undici.buildConnector.connector {
  const connect = undici.buildConnector({ timeout: 0 });
  return (options, callback) => {
    const timer = setTimeout(handleTimeout, CONNECT_TIMEOUT_MS);
    connect(options, (...results) => {
      clearTimeout(timer);
      if (results[0] !== null) {
        runWhenPolled(() => callback(...results));
        return;
      }
      const [, socket] = results;
      watchResets(socket, () => {
        record.isReset = true;
      });
      socket.on('readable', () => record.readListener());
      record.countBytesRead = () => socket.bytesRead;
      runWhenPolled(() => {
        runtime.makeSocketSafe(socket, runContained, () => record.failureListener());
        callback(...results);
      });
    });
  };
}
