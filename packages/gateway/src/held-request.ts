/**
 * A request that the gateway is processing, with its connections to the caller and the backend
 * server.
 */
import * as gateway from '@toucanproxy/core/gateway';
import type * as backendAttempt from './backend-attempt.js';
import type * as callerExchange from './caller-exchange.js';
import type * as endToEndHeaders from './end-to-end-headers.js';
import type * as eventStream from './event-stream.js';
import type * as wireProtocol from './wire-protocol.js';

/** Status and headers of a backend server's response. */
export type ResponseHead = {
  status: number;
  headers: wireProtocol.RawHeaders;
  framing: endToEndHeaders.BodyFraming;
};

/** How far a request in progress is. */
export enum HeldPhase {
  /** It waits for a slot, also between two attempts. */
  WAITING = 'waiting',
  /** It was sent, and the response to the caller has not begun. */
  SENT = 'sent',
  /** A part of the response has been passed on to the caller. */
  BEGUN = 'begun',
}

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

/** Number of requests in progress, by phase. */
export type PhaseCounts = Record<HeldPhase, number>;

/** Returns how far a request is. A begun response that waits to be resumed counts as begun. */
export function getPhase({ request, exchange }: HeldRequest): HeldPhase {
  if (exchange.response.headersSent) {
    return HeldPhase.BEGUN;
  }
  return request.phase === gateway.RequestPhase.WAITING ? HeldPhase.WAITING : HeldPhase.SENT;
}

/** Counts requests by phase. */
export function countPhases(all: Iterable<HeldRequest>): PhaseCounts {
  const counts = { [HeldPhase.WAITING]: 0, [HeldPhase.SENT]: 0, [HeldPhase.BEGUN]: 0 };
  [...all].forEach((held) => {
    counts[getPhase(held)] += 1;
  });
  return counts;
}
