/** Answers what the HTTP parser cannot take: every refusal has its code. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as schema from '@toucanproxy/schema';

/** An answer of this process itself. */
export type LocalResponse = { status: number; headers: Record<string, string>; body: string };

const CODE_BY_ERROR: Record<string, schema.ResultCode> = {
  HPE_HEADER_OVERFLOW: schema.ResultCode.HEADERS_TOO_LARGE,
  ERR_HTTP_REQUEST_TIMEOUT: schema.ResultCode.REQUEST_TIMEOUT,
};

/** Finds the result of an error; undefined where there is nobody to be told. */
export function toResultCode(error: Error): schema.ResultCode | undefined {
  const name = (error as NodeJS.ErrnoException).code ?? '';
  const isSyntax = name.startsWith('HPE_');
  return CODE_BY_ERROR[name] ?? (isSyntax ? schema.ResultCode.MALFORMED_REQUEST : undefined);
}

/** Writes a refusal to a connection on which no request could be read. */
export function writeErrorResponse(socket: net.Socket, answer: LocalResponse): void {
  // Node.js leaves no listener on the connection of a tunnel; an error that
  // nobody takes would end the process.
  socket.on('error', () => socket.destroy());
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const { status, headers, body } = answer;
  const lines = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`, () => socket.destroySoon());
}
