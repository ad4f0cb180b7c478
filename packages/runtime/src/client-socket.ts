/**
 * Makes sockets safe for the HTTP client, so that the end of a connection never ends the process.
 *
 * The client pauses its parser while the reader of a response is slow, and asserts that it is not
 * paused when the connection ends. What it does in events of a socket is called by no code of ours,
 * so an exception there would be an uncaught one.
 */
import type * as net from 'node:net';
import * as undici from 'undici';
import * as containedEvents from './contained-events.js';

const RESET = 'ECONNRESET';

/**
 * Converts a reset to the error that the client uses for broken connections. It takes one with the
 * code of the system for the end of a response that has no length.
 */
function toClientError(error: unknown): unknown {
  const isReset = (error as NodeJS.ErrnoException | undefined)?.code === RESET;
  return isReset
    ? Object.assign(new undici.errors.SocketError((error as Error).message), { cause: error })
    : error;
}

/** Returns the code by which an error of a connection is logged, or its message if it has none. */
export function describeConnectionError(error: Error): string {
  const { code } = (error.cause ?? error) as NodeJS.ErrnoException;
  return code ?? error.message;
}

/** Emits the end of a socket only once its reader has asked for more than it has. */
function holdEnd(socket: net.Socket): void {
  const { push, read } = socket;
  let hasEnded = false;
  socket.push = (...chunk) => {
    hasEnded ||= chunk[0] === null;
    return push.apply(socket, chunk);
  };
  // The runtime reads nothing at all, only for the event. A paused parser does not expect it.
  socket.read = (size) => (size === 0 && hasEnded ? null : (read.call(socket, size) as unknown));
}

/**
 * Makes a connected socket safe; to be called before the client listens to its events.
 *
 * @param handleFailure called after an exception; what the client knows of the connection may be wrong
 */
export function makeSocketSafe(
  socket: net.Socket,
  runContained: containedEvents.RunContained,
  handleFailure: () => void,
): void {
  holdEnd(socket);
  containedEvents.runEventsContained(socket, runContained, handleFailure, (name, values) =>
    name === 'error' ? values.map(toClientError) : values,
  );
}
