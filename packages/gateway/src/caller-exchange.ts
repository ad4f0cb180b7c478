/** One request of a caller, with the connection that its answer goes to. */
import * as http from 'node:http';
import type * as gateway from '@toucanproxy/core/gateway';
import * as ownAnswer from './own-answer.js';
import type * as wireProtocol from './wire-protocol.js';

export type CallerExchange = {
  method: string;
  /** Path and query as they came. */
  target: string;
  headers: wireProtocol.RawHeaders;
  body: Buffer;
  response: http.ServerResponse;
};

/** Begins an answer whose length is not known yet. */
export function beginAnswer(
  exchange: CallerExchange,
  status: number,
  headers: wireProtocol.RawHeaders,
): void {
  exchange.response.sendDate = false;
  exchange.response.writeHead(status, headers);
}

/** Sends a whole answer. */
export function sendAnswer(
  exchange: CallerExchange,
  status: number,
  headers: wireProtocol.RawHeaders,
  body: Buffer,
): void {
  beginAnswer(exchange, status, [...headers, 'Content-Length', String(body.length)]);
  exchange.response.end(body);
}

/** Answers with a refusal; an answer that has begun is cut instead. */
export function sendRefusal(exchange: CallerExchange, refusal: gateway.Refusal): void {
  if (exchange.response.headersSent) {
    cutAnswer(exchange);
    return;
  }
  const { status, headers, body } = ownAnswer.buildOwnAnswer(refusal);
  exchange.response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
  exchange.response.end(body);
}

/**
 * Cuts an answer that cannot be completed.
 *
 * Ended in the usual way, a caller would take the part that it has for the whole.
 */
export function cutAnswer(exchange: CallerExchange): void {
  exchange.response.destroy();
}
