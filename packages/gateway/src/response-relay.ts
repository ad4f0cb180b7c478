/**
 * Forwards the response of a backend server to the caller.
 *
 * A response that is not a stream is buffered until it is complete, so that after a truncated one
 * the request can still be retried or refused. A stream is forwarded as it arrives; if it can be
 * resumed, only complete events are forwarded.
 */
import * as gateway from '@toucanproxy/core/gateway';
import type * as backendAttempt from './backend-attempt.js';
import * as callerExchange from './caller-exchange.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import * as eventStream from './event-stream.js';
import type * as heldRequest from './held-request.js';
import * as responseHead from './response-head.js';
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

type RelayOptions = {
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
  /** Called for each response that comes from the intended backend server. */
  observeStatements: (parsed: wireProtocol.ParsedResponseHeaders) => void;
};

type Relay = {
  options: RelayOptions;
  head: heldRequest.ResponseHead | undefined;
  isStream: boolean;
  /** Whether the response states that it consists of server-sent events. */
  statesEvents: boolean;
  /** Events forwarded so far; of this attempt only on routes that do not stream. */
  eventStream: eventStream.EventStream;
  /** Body of a response that is buffered until it is complete. */
  chunks: Buffer[];
  bufferedBytes: number;
  /** When the current sample of the time between events began. */
  sampleStartMs: number;
  /** Bytes of a stream since the end of its last event. */
  unfinishedBytes: number;
  /** Events counted in the current sample; 0 before the first event. */
  events: number;
};

/** Responses up to this size are buffered until they are complete, bytes. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Limit of the bytes of a stream in which no event ends. */
const MAX_UNFINISHED_BYTES = 8_388_608;
/** Number of events over which the time between events is averaged. */
const SAMPLE_EVENTS = 8;
const MIN_SERVER_ERROR = 500;
const MAX_SUCCESS = 299;

/** Ends an attempt with a fault. */
function endWithFault(relay: Relay, fault: gateway.AttemptFault, reason: string): void {
  relay.options.settle({ kind: 'fault', fault, reason, failure: undefined });
}

/** Handles the status and headers of a response; returns false if the attempt has ended. */
function handleHead(
  relay: Relay,
  head: heldRequest.ResponseHead,
  isNewConnection: boolean,
): boolean {
  const { held, protocol } = relay.options;
  const parsed = protocol.parseResponseHeaders(head.status, head.headers);
  const found = responseHead.findHeadFault(
    held.request.arrived.attemptId,
    head,
    parsed,
    isNewConnection,
  );
  if (responseHead.isFromServer(parsed, found?.fault)) {
    relay.options.observeStatements(parsed);
  }
  if (found !== undefined) {
    endWithFault(relay, found.fault, found.reason);
    return false;
  }
  const isStream = held.events !== undefined && head.status <= MAX_SUCCESS;
  const type = responseHead.detectBodyType(head.headers);
  relay.statesEvents =
    type === responseHead.BodyType.EVENTS
      ? head.status <= MAX_SUCCESS
      : isStream && type === responseHead.BodyType.UNSTATED;
  if (held.exchange.response.headersSent && !(isStream && relay.statesEvents)) {
    endWithFault(relay, gateway.AttemptFault.FAILED, `resumed-${head.status}`);
    return false;
  }
  relay.head = { ...head, headers: endToEndHeaders.listEndToEnd(head.headers) };
  relay.isStream = isStream;
  return true;
}

/** Starts the response to the caller unless it has been started already. */
function startResponseOnce(relay: Relay): void {
  const { exchange } = relay.options.held;
  if (relay.head !== undefined && !exchange.response.headersSent) {
    if (relay.isStream) {
      relay.options.observeStreamBegun();
    }
    callerExchange.startResponse(exchange, relay.head);
  }
}

/** Counts events and reports the time to the first one and the average time between later ones. */
function recordEvents(relay: Relay, count: number): void {
  const now = relay.options.readNow();
  if (relay.events === 0) {
    relay.sampleStartMs = now;
    relay.events = count;
    relay.options.observeFirstEvent(now - relay.options.held.request.sentMs);
    return;
  }
  relay.options.observeLaterEvents();
  relay.events += count;
  if (relay.events > SAMPLE_EVENTS) {
    relay.options.observeUnitTime((now - relay.sampleStartMs) / relay.events);
    relay.sampleStartMs = now;
    relay.events = 1;
  }
}

/** Reads a chunk of a stream; returns what can be forwarded of it. */
function readEvents(relay: Relay, chunk: Buffer): eventStream.CompleteEvents {
  if (!relay.options.held.request.repeatable) {
    return { bytes: chunk, events: eventStream.readChunk(relay.eventStream, chunk).events };
  }
  return eventStream.pushChunk(relay.eventStream, chunk);
}

/** Forwards a chunk of a stream; returns false if the caller reads too slowly. */
function forwardStreamChunk(relay: Relay, chunk: Buffer): boolean {
  const eventsBefore = relay.eventStream.events;
  const complete = readEvents(relay, chunk);
  const hasEnded = relay.eventStream.events > eventsBefore;
  relay.unfinishedBytes = hasEnded ? 0 : relay.unfinishedBytes + chunk.length;
  if (relay.unfinishedBytes > MAX_UNFINISHED_BYTES && hasEvents(relay)) {
    endWithFault(relay, gateway.AttemptFault.BROKEN, 'event-too-long');
    return true;
  }
  if (complete.bytes.length === 0) {
    return true;
  }
  recordEvents(relay, Math.max(complete.events, 1));
  startResponseOnce(relay);
  return relay.options.held.exchange.response.write(complete.bytes);
}

/** Handles a chunk of a response body; returns false if the caller reads too slowly. */
function handleBodyChunk(relay: Relay, chunk: Buffer): boolean {
  const { exchange } = relay.options.held;
  if (relay.isStream) {
    return forwardStreamChunk(relay, chunk);
  }
  if (relay.statesEvents) {
    eventStream.readChunk(relay.eventStream, chunk);
  }
  if (exchange.response.headersSent) {
    return exchange.response.write(chunk);
  }
  relay.chunks.push(chunk);
  relay.bufferedBytes += chunk.length;
  if (relay.bufferedBytes <= MAX_BUFFERED_BYTES) {
    return true;
  }
  if ((relay.head?.status ?? 0) >= MIN_SERVER_ERROR) {
    endWithFault(relay, gateway.AttemptFault.BROKEN, 'failure-too-long');
    return true;
  }
  startResponseOnce(relay);
  return exchange.response.write(Buffer.concat(relay.chunks.splice(0)));
}

/** Handles the end of a stream. */
function endStream(relay: Relay): void {
  const { held, settle } = relay.options;
  startResponseOnce(relay);
  held.exchange.response.end(eventStream.takePending(relay.eventStream));
  settle({
    kind: 'complete',
    head: relay.head as heldRequest.ResponseHead,
    events: relay.eventStream.events,
  });
}

/** Handles the end of a buffered response; a server error is reported as a fault with its body. */
function endBuffered(relay: Relay): void {
  const { held, settle, readNow, observeUnitTime } = relay.options;
  const head = relay.head as heldRequest.ResponseHead;
  const outcome: AttemptOutcome = { kind: 'complete', head, events: relay.eventStream.events };
  if (held.exchange.response.headersSent) {
    held.exchange.response.end();
    settle(outcome);
    return;
  }
  const body = Buffer.concat(relay.chunks);
  if (head.status >= MIN_SERVER_ERROR) {
    const failure = { ...head, body };
    const reason = String(head.status);
    settle({ kind: 'fault', fault: gateway.AttemptFault.FAILED, reason, failure });
    return;
  }
  if (held.events === undefined) {
    observeUnitTime(readNow() - held.request.sentMs);
  }
  callerExchange.sendResponse(held.exchange, head, body);
  settle(outcome);
}

/** Completes a response whose end is known. */
function completeResponse(relay: Relay): void {
  if (relay.isStream) {
    endStream(relay);
  } else {
    endBuffered(relay);
  }
}

/**
 * Returns whether a response consists of server-sent events. On routes that stream, the body decides
 * for a response that states another type.
 */
function hasEvents({ statesEvents, isStream, eventStream: stream }: Relay): boolean {
  return statesEvents || (isStream && eventStream.hasPossibleEvents(stream));
}

/** Returns whether only the end of the connection has ended a response. */
function isEndUnproven({ options, head }: Relay): boolean {
  const hasBody = options.held.exchange.method !== 'HEAD';
  return hasBody && head?.framing === endToEndHeaders.BodyFraming.UNTIL_CLOSE;
}

/** Handles the end of a response. */
function endResponse(relay: Relay): void {
  if (hasEvents(relay) && eventStream.isInsideEvent(relay.eventStream)) {
    endWithFault(relay, gateway.AttemptFault.BROKEN, 'ended-in-event');
    return;
  }
  if (!isEndUnproven(relay)) {
    completeResponse(relay);
    return;
  }
  if (relay.isStream && hasEvents(relay) && relay.eventStream.events === 0) {
    endWithFault(relay, gateway.AttemptFault.BROKEN, 'ended-before-event');
    return;
  }
  relay.options.checkServer((isPresent) => {
    if (isPresent) {
      completeResponse(relay);
    } else {
      endWithFault(relay, gateway.AttemptFault.BROKEN, 'server-gone');
    }
  });
}

/** Creates the listener that relays the response of one attempt. */
export function createRelay(options: RelayOptions): backendAttempt.AttemptListener {
  const relay: Relay = {
    options,
    head: undefined,
    isStream: false,
    statesEvents: false,
    eventStream: options.held.events ?? eventStream.createEventStream(),
    chunks: [],
    bufferedBytes: 0,
    unfinishedBytes: 0,
    sampleStartMs: 0,
    events: 0,
  };
  return {
    onHead: (status, headers, isNewConnection) => {
      const framing = endToEndHeaders.detectFraming(status, headers);
      return handleHead(relay, { status, headers, framing }, isNewConnection);
    },
    onData: (chunk) => handleBodyChunk(relay, chunk),
    canSend: options.canSend,
    onWithdrawn: () => endWithFault(relay, gateway.AttemptFault.WITHDRAWN, 'not-to-be-used'),
    onEnd: () => endResponse(relay),
    onBroken: (reason, mayHaveBeenSent) => {
      const { BROKEN, UNREACHABLE } = gateway.AttemptFault;
      endWithFault(relay, mayHaveBeenSent ? BROKEN : UNREACHABLE, reason);
    },
  };
}
