/** Checks the heads of callers' requests. */
import type * as http from 'node:http';
import type * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';

/** Counts the bytes of raw headers, with two bytes of separators for each name and each value. */
export function countHeaderBytes(headers: string[]): number {
  return headers.reduce((sum, part) => sum + part.length + 2, 0);
}

/**
 * Checks the headers and target of a request; returns the result code if they are not acceptable.
 */
export function findFault(
  request: http.IncomingMessage,
  headerBytes: number,
  { maxHeaderBytes, maxBodyBytes }: gateway.CallerBounds,
): schema.ResultCode | undefined {
  if (headerBytes > maxHeaderBytes) {
    return schema.ResultCode.HEADERS_TOO_LARGE;
  }
  if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) {
    return schema.ResultCode.BODY_TOO_LARGE;
  }
  const isPath = request.url?.startsWith('/') === true;
  return isPath ? undefined : schema.ResultCode.MALFORMED_REQUEST;
}
