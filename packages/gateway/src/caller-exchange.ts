/** One request of a caller, with the connection that its answer goes to. */
import * as http from 'node:http';
import type * as gateway from '@toucanproxy/core/gateway';
import * as ownAnswer from './own-answer.js';
import type * as heldRequest from './held-request.js';
import type * as wireProtocol from './wire-protocol.js';

export type CallerExchange = {
  method: string;
  /** Path and query as they came. */
  target: string;
  headers: wireProtocol.RawHeaders;
  body: Buffer;
  response: http.ServerResponse;
};

/**
 * Begins an answer.
 *
 * An answer without a length ends with its connection, cut short or not: nobody
 * can tell. Given a length here, a short one would look whole to the caller. So
 * it is passed on as it came, without a length.
 */
export function beginAnswer(exchange: CallerExchange, head: heldRequest.AnswerHead): void {
  const { response } = exchange;
  response.sendDate = false;
  if (!head.isFramed) {
    response.shouldKeepAlive = false;
    response.useChunkedEncodingByDefault = false;
  }
  response.writeHead(head.status, head.headers);
}

/** Sends a whole answer. */
export function sendAnswer(
  exchange: CallerExchange,
  head: heldRequest.AnswerHead,
  body: Buffer,
): void {
  const length = head.isFramed ? ['Content-Length', String(body.length)] : [];
  beginAnswer(exchange, { ...head, headers: [...head.headers, ...length] });
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
 * Ended in the usual way, a caller would take the part that it has for the
 * whole. An answer without a length needs a reset to look cut.
 */
export function cutAnswer({ response }: CallerExchange): void {
  if (response.useChunkedEncodingByDefault) {
    response.destroy();
  } else {
    response.socket?.resetAndDestroy();
  }
}
