/**
 * Passes the answer of a backend server on to the caller.
 *
 * A plain answer is kept until it is whole, so that a cut one can be repeated or
 * refused. A stream is passed on as it comes; where it may be resumed, complete
 * events only.
 */
import * as gateway from '@toucanproxy/core/gateway';
import type * as backendAttempt from './backend-attempt.js';
import * as callerExchange from './caller-exchange.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import * as eventStream from './event-stream.js';
import type * as heldRequest from './held-request.js';
import type * as wireProtocol from './wire-protocol.js';

/** How an attempt ended. */
export type AttemptOutcome =
  | { kind: 'complete'; status: number }
  | {
      kind: 'fault';
      fault: gateway.AttemptFault;
      reason: string;
      /** The whole answer of a backend server that failed by itself. */
      failure: (heldRequest.AnswerHead & { body: Buffer }) | undefined;
    };

type RelayOptions = {
  held: heldRequest.HeldRequest;
  protocol: wireProtocol.WireProtocol;
  readNow: () => number;
  /** Told once. */
  settle: (outcome: AttemptOutcome) => void;
  /** Told of the time between events, milliseconds. */
  observePace: (unitMs: number) => void;
  observeFirstEvent: (ms: number) => void;
  /** Tells whether the request may be sent now that its connection is open. */
  mayLeave: () => boolean;
  /** Told of each answer that comes from the backend server. */
  observeStatements: (names: wireProtocol.ParsedResponseHeaders) => void;
};

type Relay = {
  options: RelayOptions;
  head: heldRequest.AnswerHead | undefined;
  isStream: boolean;
  parts: Buffer[];
  partBytes: number;
  lastMs: number;
  events: number;
};

/** Plain answers up to this size are kept until they are whole, bytes. */
const MAX_KEPT_BYTES = 1_048_576;
/** Events after which the pace of a stream is told again. */
const PACE_EVENTS = 8;
const MIN_SERVER_ERROR = 500;
const MAX_SUCCESS = 299;

/** Settles an attempt with a fault. */
function endWithFault(relay: Relay, fault: gateway.AttemptFault, reason: string): void {
  relay.options.settle({ kind: 'fault', fault, reason, failure: undefined });
}

/** Finds the fault that the head of an answer shows. */
function findHeadFault(
  { options }: Relay,
  head: heldRequest.AnswerHead,
  names: wireProtocol.ParsedResponseHeaders,
  isFresh: boolean,
): { fault: gateway.AttemptFault; reason: string } | undefined {
  const { attemptId } = options.held.request.arrived;
  const isOwn = names.attemptId === attemptId;
  const notRun = names.isNotRun || names.isMisdirected;
  // The refusal of a backend server may lack the id; on a new connection it can
  // belong to no other request.
  if (!isOwn && !(names.attemptId === undefined && notRun && isFresh)) {
    return { fault: gateway.AttemptFault.BROKEN, reason: 'other-request' };
  }
  if (names.isMisdirected) {
    return { fault: gateway.AttemptFault.MISDIRECTED, reason: 'misdirected' };
  }
  if (names.isNotRun) {
    return { fault: gateway.AttemptFault.REFUSED, reason: String(head.status) };
  }
  const isSuccess = head.status <= MAX_SUCCESS;
  const isEncoded = endToEndHeaders.findHeader(head.headers, 'content-encoding') !== undefined;
  return isSuccess && (!names.isSigned || isEncoded)
    ? { fault: gateway.AttemptFault.BROKEN, reason: 'not-the-servers' }
    : undefined;
}

/**
 * Tells whether an answer comes from the backend server that is meant. A refusal without an id
 * may belong to an earlier request on the connection: it is no answer to this one, but what it
 * states about its backend server holds.
 */
function isFromServer(
  { attemptId, isNotRun, isMisdirected }: wireProtocol.ParsedResponseHeaders,
  fault: gateway.AttemptFault | undefined,
): boolean {
  const isPlainRefusal = attemptId === undefined && isNotRun && !isMisdirected;
  return fault === undefined || fault === gateway.AttemptFault.REFUSED || isPlainRefusal;
}

/** Takes the head of an answer; false ends the attempt. */
function takeHead(relay: Relay, head: heldRequest.AnswerHead, isFresh: boolean): boolean {
  const names = relay.options.protocol.parseResponseHeaders(head.status, head.headers);
  const found = findHeadFault(relay, head, names, isFresh);
  if (isFromServer(names, found?.fault)) {
    relay.options.observeStatements(names);
  }
  if (found !== undefined) {
    endWithFault(relay, found.fault, found.reason);
    return false;
  }
  const { held } = relay.options;
  const isStream = held.events !== undefined && head.status <= MAX_SUCCESS;
  if (held.exchange.response.headersSent && !isStream) {
    endWithFault(relay, gateway.AttemptFault.FAILED, `resumed-${head.status}`);
    return false;
  }
  relay.head = { ...head, headers: endToEndHeaders.listEndToEnd(head.headers) };
  relay.isStream = isStream;
  return true;
}

/** Begins the answer to the caller unless it has begun. */
function beginOnce(relay: Relay): void {
  const { exchange } = relay.options.held;
  if (relay.head !== undefined && !exchange.response.headersSent) {
    callerExchange.beginAnswer(exchange, relay.head);
  }
}

/** Notes when events came, for the pace of the backend server. */
function noteEvents(relay: Relay, count: number): void {
  const now = relay.options.readNow();
  if (relay.events === 0) {
    relay.lastMs = now;
    relay.events = count;
    relay.options.observeFirstEvent(now - relay.options.held.request.sentMs);
    return;
  }
  relay.events += count;
  if (relay.events > PACE_EVENTS) {
    relay.options.observePace((now - relay.lastMs) / relay.events);
    relay.lastMs = now;
    relay.events = 1;
  }
}

/** Passes a part of a stream on; false where the caller reads too slowly. */
function passStreamPart(relay: Relay, chunk: Buffer): boolean {
  const { held } = relay.options;
  const events = held.events as eventStream.EventStream;
  const resumable = held.request.repeatable;
  const bytes = resumable ? eventStream.takeEvents(events, chunk) : chunk;
  if (bytes.length === 0) {
    return true;
  }
  noteEvents(relay, Math.max(eventStream.countEventEnds(bytes), 1));
  beginOnce(relay);
  return held.exchange.response.write(bytes);
}

/** Takes a part of an answer; false where the caller reads too slowly. */
function takePart(relay: Relay, chunk: Buffer): boolean {
  const { exchange } = relay.options.held;
  if (relay.isStream) {
    return passStreamPart(relay, chunk);
  }
  if (exchange.response.headersSent) {
    return exchange.response.write(chunk);
  }
  relay.parts.push(chunk);
  relay.partBytes += chunk.length;
  if (relay.partBytes <= MAX_KEPT_BYTES) {
    return true;
  }
  beginOnce(relay);
  return exchange.response.write(Buffer.concat(relay.parts.splice(0)));
}

/** Ends a stream. */
function endStream(relay: Relay): void {
  const { held, settle } = relay.options;
  const isMidEvent = held.request.repeatable && (held.events?.rest.length ?? 0) > 0;
  if (isMidEvent) {
    endWithFault(relay, gateway.AttemptFault.BROKEN, 'ended-in-event');
    return;
  }
  beginOnce(relay);
  if (relay.head?.isFramed === false && held.exchange.response.useChunkedEncodingByDefault) {
    // Begun by another run, in chunks; an end of them would say that it is whole.
    endWithFault(relay, gateway.AttemptFault.BROKEN, 'ended-without-length');
    return;
  }
  held.exchange.response.end();
  settle({ kind: 'complete', status: relay.head?.status ?? 0 });
}

/** Ends a plain answer; a failure of the backend server is kept for the verdict. */
function endPlain(relay: Relay): void {
  const { held, settle, readNow, observePace } = relay.options;
  const head = relay.head as heldRequest.AnswerHead;
  if (held.exchange.response.headersSent) {
    held.exchange.response.end();
    settle({ kind: 'complete', status: head.status });
    return;
  }
  const body = Buffer.concat(relay.parts);
  if (head.status >= MIN_SERVER_ERROR) {
    const failure = { ...head, body };
    const reason = String(head.status);
    settle({ kind: 'fault', fault: gateway.AttemptFault.FAILED, reason, failure });
    return;
  }
  if (held.events === undefined) {
    observePace(readNow() - held.request.sentMs);
  }
  callerExchange.sendAnswer(held.exchange, head, body);
  settle({ kind: 'complete', status: head.status });
}

/** Creates the listener of one attempt. */
export function createRelay(options: RelayOptions): backendAttempt.AttemptListener {
  const relay: Relay = {
    options,
    head: undefined,
    isStream: false,
    parts: [],
    partBytes: 0,
    lastMs: 0,
    events: 0,
  };
  return {
    onHead: (status, headers, isFresh) => {
      const isFramed = endToEndHeaders.isFramed(status, headers);
      return takeHead(relay, { status, headers, isFramed }, isFresh);
    },
    onData: (chunk) => takePart(relay, chunk),
    mayLeave: options.mayLeave,
    onWithdrawn: () => endWithFault(relay, gateway.AttemptFault.WITHDRAWN, 'not-to-be-used'),
    onEnd: () => (relay.isStream ? endStream(relay) : endPlain(relay)),
    onBroken: (reason, mayHaveLeft) => {
      const { BROKEN, UNREACHABLE } = gateway.AttemptFault;
      endWithFault(relay, mayHaveLeft ? BROKEN : UNREACHABLE, reason);
    },
  };
}
