/** Reads request bodies within their limits. */
import * as http from 'node:http';
import * as schema from '@toucanproxy/schema';

export type BodyRead =
  { kind: 'read'; payload: Buffer } | { kind: 'faulty'; code: schema.ResultCode };

/** Bytes of the bodies that are being read, over all callers of an entry. */
export type BodyBudget = { usedBytes: number };

/** Limit on the bytes of all bodies that are being read, over all callers. */
const MAX_BUFFERED_BYTES = 512 * 1024 * 1024;

/** Whether the content-length header alone shows that a body is too long. */
export function isDeclaredTooLarge(request: http.IncomingMessage, maxBytes: number): boolean {
  return Number(request.headers['content-length'] ?? 0) > maxBytes;
}

/**
 * Reads a body; resolves once, even if the caller disconnects early.
 *
 * A body is refused as soon as it exceeds its limit. The rest of it is read and
 * discarded: closing immediately would reset the connection, and the caller would
 * lose the response that gives the reason.
 */
export function readBody(
  request: http.IncomingMessage,
  maxBytes: number,
  budget: BodyBudget,
): Promise<BodyRead> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const end = (read: BodyRead) => {
      request.removeAllListeners('data');
      request.resume();
      budget.usedBytes -= size;
      size = 0;
      resolve(read);
    };
    const fail = (code: schema.ResultCode) => end({ kind: 'faulty', code });
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      budget.usedBytes += chunk.length;
      chunks.push(chunk);
      if (size > maxBytes) {
        fail(schema.ResultCode.BODY_TOO_LARGE);
      } else if (budget.usedBytes > MAX_BUFFERED_BYTES) {
        fail(schema.ResultCode.QUEUE_FULL);
      }
    });
    request.on('end', () => end({ kind: 'read', payload: Buffer.concat(chunks) }));
    request.on('close', () => fail(schema.ResultCode.CLIENT_LEFT));
    request.on('error', () => fail(schema.ResultCode.CLIENT_LEFT));
  });
}
