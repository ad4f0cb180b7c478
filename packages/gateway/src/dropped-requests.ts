/** Drops requests that arrive after the gateway has announced that their connection closes. */
import type * as http from 'node:http';
import type * as net from 'node:net';

/** Limits of what is read and dropped of a connection, after its last response has left. */
const MAX_DISCARDED_BYTES = 8_388_608;
const MAX_DISCARD_MS = 1000;

/**
 * Closes a connection after its last response: one direction at once, and the other when the caller
 * closes it. Closing both with unread data would reset the connection, and the reset may reach
 * the caller before the response does.
 */
function closeInOrder(socket: net.Socket): void {
  socket.end(() => {
    const timer = setTimeout(() => socket.destroy(), MAX_DISCARD_MS);
    socket.on('close', () => clearTimeout(timer));
  });
}

/** Reads a request and drops it. */
export function dropRequest(
  request: http.IncomingMessage,
  noteDropped: (bytes: number) => void,
): void {
  const { socket } = request;
  let discardedBytes = 0;
  // The HTTP library closes the connection by this method once its last response has left.
  socket.destroySoon = () => closeInOrder(socket);
  request.on('data', (chunk: Buffer) => {
    noteDropped(chunk.length);
    discardedBytes += socket.writableEnded ? chunk.length : 0;
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      socket.destroy();
    }
  });
}
