/** Writes responses to callers' connections. */
import * as http from 'node:http';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as failureResponse from './failure-response.js';

export type CallerEffect = Extract<
  core.EntryEffect,
  { kind: 'answerHead' | 'answerData' | 'answerEnd' | 'answerFailure' }
>;
type EffectOf<K extends CallerEffect['kind']> = Extract<CallerEffect, { kind: K }>;

export enum ExchangePhase {
  /** The body is still being received. */
  READING = 'reading',
  /** The core has the request, or its response is being sent. */
  HELD = 'held',
}

/** A request of a caller and its response. */
export type Exchange = {
  callerId: number;
  request: http.IncomingMessage;
  response: http.ServerResponse;
  phase: ExchangePhase;
  streamed: boolean;
  /** The result code follows the body as a trailer. */
  sendsTrailer: boolean;
  writtenBytes: number;
  stallTimer: NodeJS.Timeout | undefined;
};

export type ResponseLimits = {
  maxAnswerBufferBytes: number;
  readTimeoutMs: number;
  /** Called when a response was aborted because its caller does not read it. */
  reportSlowCaller: (callerId: number, unreadBytes: number) => void;
};

const EVENT_STREAM = 'text/event-stream';
const RESULT_HEADER = 'x-toucanproxy-result';
const BODILESS_STATUSES = new Set([204, 304]);
const COMPLETED = String(schema.ResultCode.COMPLETED);

/** Creates the record of a request that has begun to arrive. */
export function makeExchange(
  callerId: number,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Exchange {
  const phase = ExchangePhase.READING;
  const base = { callerId, request, response, phase };
  return { ...base, streamed: false, sendsTrailer: false, writtenBytes: 0, stallTimer: undefined };
}

/** Computes how many bytes of the response have left this process. */
function computeSentBytes(exchange: Exchange): number {
  return exchange.writtenBytes - exchange.response.writableLength;
}

/** Aborts a response whose caller does not read it, and reports the caller. */
function abortSlowResponse(exchange: Exchange, limits: ResponseLimits): void {
  const { callerId, response } = exchange;
  limits.reportSlowCaller(callerId, response.writableLength);
  response.destroy();
}

/**
 * Aborts a response that its caller has stopped reading.
 *
 * Unread bytes stay in this process. A caller that opens many streams and reads
 * none of them would otherwise use up all its memory.
 */
function watchReading(exchange: Exchange, limits: ResponseLimits): void {
  const { response } = exchange;
  if (exchange.stallTimer !== undefined || response.writableLength === 0) {
    return;
  }
  const sentBefore = computeSentBytes(exchange);
  exchange.stallTimer = setTimeout(() => {
    exchange.stallTimer = undefined;
    if (response.writableLength > 0 && computeSentBytes(exchange) <= sentBefore) {
      abortSlowResponse(exchange, limits);
      return;
    }
    watchReading(exchange, limits);
  }, limits.readTimeoutMs);
}

/**
 * Whether the result code may follow the body as a trailer.
 *
 * Node.js throws if a trailer is announced for a response that is not chunked,
 * that is, one over HTTP/1.0 or one without a body.
 */
function hasTrailer(exchange: Exchange, status: number): boolean {
  const { request, streamed } = exchange;
  const hasBody = request.method !== 'HEAD' && !BODILESS_STATUSES.has(status);
  return streamed && hasBody && request.httpVersion === '1.1';
}

/** Sends the response head. The result code of a streamed response is known only at its end. */
function sendHead(exchange: Exchange, effect: EffectOf<'answerHead'>): void {
  const { status, contentType, requestId } = effect;
  exchange.streamed = contentType.startsWith(EVENT_STREAM);
  exchange.sendsTrailer = hasTrailer(exchange, status);
  const trailer = exchange.sendsTrailer ? { trailer: RESULT_HEADER } : {};
  const result = exchange.streamed ? trailer : { [RESULT_HEADER]: COMPLETED };
  const headers = { 'content-type': contentType, 'x-request-id': requestId, ...result };
  exchange.response.writeHead(status, headers);
}

/** Sends one part of a response. */
function sendData(exchange: Exchange, data: Uint8Array, limits: ResponseLimits): void {
  const { response } = exchange;
  exchange.writtenBytes += data.length;
  response.write(data);
  if (exchange.streamed && response.writableLength > limits.maxAnswerBufferBytes) {
    abortSlowResponse(exchange, limits);
    return;
  }
  watchReading(exchange, limits);
}

/** Sends the end of a complete response. */
function sendEnd(exchange: Exchange, limits: ResponseLimits): void {
  const { response } = exchange;
  if (exchange.sendsTrailer) {
    response.addTrailers({ [RESULT_HEADER]: COMPLETED });
  }
  response.end();
  watchReading(exchange, limits);
}

/**
 * Aborts a response that has begun: a stream gets an error event, and the normal
 * end is never sent.
 */
function abortWithError(exchange: Exchange, body: string, limits: ResponseLimits): void {
  const { response, streamed } = exchange;
  const event = streamed ? `event: error\ndata: ${body}\n\n` : '';
  // The socket is destroyed rather than ended: the missing last chunk tells a
  // client that the response is truncated, even if it ignores the event. This waits
  // until the event has been sent, because destroying discards buffered data.
  response.write(event, () => response.destroy());
  watchReading(exchange, limits);
}

/** Sends a failure, whether or not the response has begun. */
export function sendFailure(
  exchange: Exchange,
  failure: failureResponse.Failure,
  limits: ResponseLimits,
): void {
  const { response } = exchange;
  const rendered = failureResponse.buildFailureResponse(failure);
  if (response.headersSent) {
    abortWithError(exchange, rendered.body, limits);
    return;
  }
  response.writeHead(rendered.status, rendered.headers).end(rendered.body);
}

/** Carries out one effect on a caller's connection. */
export function applyEffect(
  exchange: Exchange,
  effect: CallerEffect,
  limits: ResponseLimits,
): void {
  switch (effect.kind) {
    case 'answerHead':
      sendHead(exchange, effect);
      return;
    case 'answerData':
      sendData(exchange, effect.data, limits);
      return;
    case 'answerEnd':
      sendEnd(exchange, limits);
      return;
    default:
      sendFailure(exchange, effect, limits);
  }
}
