/** State of the relay of one attempt's response, and what its parts share. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as byteCollector from './byte-collector.js';
import * as callerExchange from './caller-exchange.js';
import type * as eventStream from './event-stream.js';
import type * as heldRequest from './held-request.js';
import type * as wireProtocol from './wire-protocol.js';

/** How an attempt ended. */
export type AttemptOutcome =
  | {
      kind: 'complete';
      head: heldRequest.ResponseHead;
      /** Events that were found in the body. */
      events: number;
    }
  | {
      kind: 'fault';
      fault: gateway.AttemptFault;
      reason: string;
      /** The complete error response of the backend server, if it sent one. */
      failure: (heldRequest.ResponseHead & { body: Buffer }) | undefined;
    };

export type RelayOptions = {
  held: heldRequest.HeldRequest;
  protocol: wireProtocol.WireProtocol;
  readNow: () => number;
  /** Called once, when the attempt ends by itself; not called after an abort. */
  settle: (outcome: AttemptOutcome) => void;
  /**
   * Called with the time that a unit of work took, milliseconds. A unit is one event of a stream or
   * a complete response.
   */
  observeUnitTime: (unitMs: number) => void;
  /** Called with the time from sending to the first event, milliseconds. */
  observeFirstEvent: (ms: number) => void;
  /** Called when events of a stream arrive after the first one. */
  observeLaterEvents: () => void;
  /** Called before the first part of a stream is forwarded to the caller. */
  observeStreamBegun: () => void;
  /** Whether the request may still be sent now that its connection is open. */
  canSend: () => boolean;
  /** Finds out whether the backend server has outlived the connection that ended the response. */
  checkServer: (settle: (isPresent: boolean) => void) => void;
  /** Called when bytes of a further response were found behind the body. */
  observeExtraResponse: () => void;
  /** Called for each response that comes from the intended backend server. */
  observeStatements: (parsed: wireProtocol.ParsedResponseHeaders) => void;
};

export type Relay = {
  options: RelayOptions;
  head: heldRequest.ResponseHead | undefined;
  /** Length of the body as the server stated it; undefined for streams, which may be resumed. */
  statedLength: string | undefined;
  isStream: boolean;
  /** Whether the response states that it consists of server-sent events. */
  statesEvents: boolean;
  /** Events forwarded so far; of this attempt only on routes that do not stream. */
  eventStream: eventStream.EventStream;
  /** Body of a response that is buffered until it is complete. */
  body: byteCollector.ByteCollector;
  /** When the current sample of the time between events began. */
  sampleStartMs: number;
  /** Bytes of a stream since the end of its last event. */
  unfinishedBytes: number;
  /** Events counted in the current sample; 0 before the first event. */
  events: number;
};

/** Highest status of a success. */
export const MAX_SUCCESS = 299;
/** Lowest status of a server error. */
export const MIN_SERVER_ERROR = 500;

/** Ends an attempt with a fault. */
export function endWithFault(relay: Relay, fault: gateway.AttemptFault, reason: string): void {
  relay.options.settle({ kind: 'fault', fault, reason, failure: undefined });
}

/** Starts the response to the caller unless it has been started already. */
export function startResponseOnce(relay: Relay): void {
  const { exchange } = relay.options.held;
  if (relay.head !== undefined && !exchange.response.headersSent) {
    if (relay.isStream) {
      relay.options.observeStreamBegun();
    }
    const { head, statedLength } = relay;
    const length = statedLength === undefined ? [] : ['Content-Length', statedLength];
    callerExchange.startResponse(exchange, { ...head, headers: [...head.headers, ...length] });
  }
}
