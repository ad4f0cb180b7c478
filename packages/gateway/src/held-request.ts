/**
 * A request that the gateway is processing, with its connections to the caller and the backend
 * server.
 */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as backendAttempt from './backend-attempt.js';
import type * as callerExchange from './caller-exchange.js';
import type * as eventStream from './event-stream.js';
import type * as wireProtocol from './wire-protocol.js';

/** Status and headers of a backend server's response. */
export type ResponseHead = {
  status: number;
  headers: wireProtocol.RawHeaders;
  /** Whether the end of the body is known without the connection being closed. */
  isSelfDelimited: boolean;
};

export type HeldRequest = {
  request: gateway.GatewayRequest;
  exchange: callerExchange.CallerExchange;
  attempt: backendAttempt.BackendAttempt | undefined;
  timeoutTimer: NodeJS.Timeout | undefined;
  /** Events forwarded so far, over all attempts; undefined on routes that do not stream. */
  events: eventStream.EventStream | undefined;
  /** Time from arrival to the first event, milliseconds; undefined until it arrives. */
  firstEventMs: number | undefined;
  /** Whether the request needs no further processing: it has its response or the caller is gone. */
  done: boolean;
};
