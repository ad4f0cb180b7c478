/** Refuses requests that have not been read completely. */
import type * as http from 'node:http';
import type * as gateway from '@toucanproxy/core/gateway';
import * as localResponse from './local-response.js';

/** Limits of what is read and dropped after a refusal. */
const MAX_DISCARDED_BYTES = 8_388_608;
const MAX_DISCARD_MS = 3000;

/**
 * Sends a refusal and closes the connection. If the caller is still sending, what it sends is read
 * and dropped first: closing a connection with unread data resets it, and the reset may reach the
 * caller before the refusal does.
 */
export function refuseEarly(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  refusal: gateway.Refusal,
  noteDropped: (bytes: number) => void,
): void {
  const { status, headers, body } = localResponse.buildLocalResponse(refusal);
  const length = Buffer.byteLength(body);
  response.writeHead(status, { ...headers, 'content-length': length, connection: 'close' });
  if (request.complete) {
    response.end(body);
    return;
  }
  response.write(body);
  let discardedBytes = 0;
  const timer = setTimeout(() => response.end(), MAX_DISCARD_MS);
  response.on('close', () => clearTimeout(timer));
  request.on('end', () => response.end());
  request.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    noteDropped(chunk.length);
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      response.end();
    }
  });
  request.resume();
}
