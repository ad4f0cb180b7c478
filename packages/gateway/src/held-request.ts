/** A request that a gateway task has in hand, with its connections. */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as backendAttempt from './backend-attempt.js';
import type * as callerExchange from './caller-exchange.js';
import type * as eventStream from './event-stream.js';
import type * as wireProtocol from './wire-protocol.js';

/** The head of a backend server's answer. */
export type AnswerHead = {
  status: number;
  headers: wireProtocol.RawHeaders;
  /** It says where it ends, other than by its connection's end. */
  isFramed: boolean;
};

export type HeldRequest = {
  request: gateway.GatewayRequest;
  exchange: callerExchange.CallerExchange;
  attempt: backendAttempt.BackendAttempt | undefined;
  giveUpTimer: NodeJS.Timeout | undefined;
  /** Events passed on so far, over all attempts; undefined for other answers. */
  events: eventStream.EventStream | undefined;
  /** Time from arrival to the first event, milliseconds; undefined before it. */
  firstEventMs: number | undefined;
  /** The final answer has been given, or the caller has left. */
  done: boolean;
};
