/**
 * A stand-in for a plain service: echoes the body of each call, and keeps a
 * journal of the calls that it ran.
 */
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';

export type PlainServiceOptions = {
  host: string;
  port: number;
  /** File to which one JSON line is appended per call; empty for none. */
  journalFile: string;
};

export const DEFAULT_PLAIN_SERVICE_OPTIONS: PlainServiceOptions = {
  host: '127.0.0.1',
  port: 0,
  journalFile: '',
};

export type PlainService = { port: number; stop: () => void };

/** Reads a request body as bytes. */
async function readBytes(request: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Serves one call: echoes its body and content type, with status 404 under `/missing`. */
async function serve(
  options: PlainServiceOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const body = await readBytes(request);
  if (options.journalFile !== '') {
    const { method, url } = request;
    const requestId = request.headers['x-request-id'];
    fs.appendFileSync(options.journalFile, `${JSON.stringify({ method, url, requestId })}\n`);
  }
  const contentType = request.headers['content-type'] ?? 'application/octet-stream';
  const status = request.url?.startsWith('/missing') ? 404 : 200;
  response.writeHead(status, { 'content-type': contentType }).end(body);
}

/** Starts a plain service. */
export async function startPlainService(
  given: Partial<PlainServiceOptions>,
): Promise<PlainService> {
  const options = { ...DEFAULT_PLAIN_SERVICE_OPTIONS, ...given };
  const server = http.createServer((request, response) => {
    serve(options, request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
