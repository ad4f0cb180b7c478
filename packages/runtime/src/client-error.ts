/** Responds to requests that the HTTP parser rejects, with a result code for each kind of error. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as schema from '@toucanproxy/schema';

/** A response that this process generates itself. */
export type LocalResponse = { status: number; headers: Record<string, string>; body: string };

const CODE_BY_ERROR: Record<string, schema.ResultCode> = {
  HPE_HEADER_OVERFLOW: schema.ResultCode.HEADERS_TOO_LARGE,
  ERR_HTTP_REQUEST_TIMEOUT: schema.ResultCode.REQUEST_TIMEOUT,
};

/** Maps a parser error to a result code; undefined if no response can be sent. */
export function toResultCode(error: Error): schema.ResultCode | undefined {
  const name = (error as NodeJS.ErrnoException).code ?? '';
  const isSyntax = name.startsWith('HPE_');
  return CODE_BY_ERROR[name] ?? (isSyntax ? schema.ResultCode.MALFORMED_REQUEST : undefined);
}

/** Formats the bytes of a response after which the connection closes. */
export function formatResponse({ status, headers, body }: LocalResponse): string {
  const lines = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Writes an error response to a connection whose request could not be read, and closes it. */
export function writeErrorResponse(socket: net.Socket, response: LocalResponse): void {
  // Node.js leaves no error listener on the connection of a tunnel, and an unhandled error event
  // would terminate the process.
  socket.on('error', () => socket.destroy());
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  socket.end(formatResponse(response), () => socket.destroySoon());
}
