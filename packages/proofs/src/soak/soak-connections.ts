/** Records what a caller of the soak test sees of the connection that its call uses. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as soakRecords from './soak-records.js';

/** Records the connection of a request. Returns the function that completes the record at its end. */
export function watchConnection(
  request: http.ClientRequest,
  connection: soakRecords.ConnectionRecord,
  readNow: () => number,
): () => void {
  let countBytes = () => 0;
  request.on('socket', (socket: net.Socket) => {
    const { bytesRead } = socket;
    countBytes = () => socket.bytesRead - bytesRead;
    Object.assign(connection, { isNew: !request.reusedSocket });
    // The request is small, so that the system takes all of it as soon as there is a connection.
    const noteSent = () => Object.assign(connection, { sentMs: readNow() });
    if (socket.connecting) {
      socket.once('connect', noteSent);
    } else {
      noteSent();
    }
  });
  return () => Object.assign(connection, { responseBytes: countBytes() });
}
