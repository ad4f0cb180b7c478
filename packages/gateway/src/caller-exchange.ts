/** One request of a caller and the response to it. */
import * as http from 'node:http';
import type * as gateway from '@toucanproxy/core/gateway';
import * as endToEndHeaders from './end-to-end-headers.js';
import * as localResponse from './local-response.js';
import type * as heldRequest from './held-request.js';
import type * as wireProtocol from './wire-protocol.js';

export type CallerExchange = {
  method: string;
  /** Path and query as received. */
  target: string;
  headers: wireProtocol.RawHeaders;
  body: Buffer;
  response: http.ServerResponse;
  /** How long the request may have waited to be read, milliseconds; 0 if it was read at once. */
  unreadMs: number;
};

/**
 * Returns whether the caller has left. The end of its side of the connection counts too: the
 * HTTP server closes the other side in response.
 */
export function hasCallerLeft({ response }: CallerExchange): boolean {
  const { socket } = response.req;
  return response.destroyed || socket.destroyed || socket.readableEnded;
}

/**
 * Starts a response: sends its status and headers.
 *
 * A response without a length gets chunked coding. Otherwise the end of its connection would be
 * its only end: a caller may read the end before the reset that marks the response as truncated.
 */
export function startResponse(exchange: CallerExchange, head: heldRequest.ResponseHead): void {
  const { response } = exchange;
  response.sendDate = false;
  response.writeHead(head.status, head.headers);
}

/**
 * Sends a complete response with the length of its body, also one that came without a length: the
 * caller would take a part for the whole if this process ends while it sends.
 */
export function sendResponse(
  exchange: CallerExchange,
  head: heldRequest.ResponseHead,
  body: Buffer,
): void {
  const { response } = exchange;
  // The response to HEAD has no body that would tell the length.
  const isUnknown =
    exchange.method === 'HEAD' && head.framing === endToEndHeaders.BodyFraming.UNTIL_CLOSE;
  const length = isUnknown ? [] : ['Content-Length', String(body.length)];
  startResponse(exchange, { ...head, headers: [...head.headers, ...length] });
  response.end(body);
}

/** Responds with a refusal; a response that has already started is aborted instead. */
export function sendRefusal(exchange: CallerExchange, refusal: gateway.Refusal): void {
  if (exchange.response.headersSent) {
    abortResponse(exchange);
    return;
  }
  const { status, headers, body } = localResponse.buildLocalResponse(refusal);
  exchange.response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
  exchange.response.end(body);
}

/**
 * Aborts a response that cannot be completed.
 *
 * If it ended normally, the caller would take the part it has received for the complete response. A
 * response to an HTTP/1.0 caller has no chunks; only a connection reset can mark it as truncated.
 */
export function abortResponse({ response }: CallerExchange): void {
  // The library holds back the first bytes until the next step, and a destroyed socket drops them.
  response.socket?.uncork();
  if (response.useChunkedEncodingByDefault) {
    response.destroy();
  } else {
    response.socket?.resetAndDestroy();
  }
}
