/**
 * Forwards the response of a backend server to the caller.
 *
 * A response that is not a stream is buffered until it is complete, so that after a truncated one
 * the request can still be retried or refused. A stream is forwarded as it arrives; if it can be
 * resumed, only complete events are forwarded.
 */
import * as gateway from '@toucanproxy/core/gateway';
import type * as backendAttempt from './backend-attempt.js';
import * as byteCollector from './byte-collector.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import * as eventStream from './event-stream.js';
import type * as heldRequest from './held-request.js';
import * as relayState from './relay-state.js';
import * as responseEnd from './response-end.js';
import * as responseHead from './response-head.js';

/** Responses up to this size are buffered until they are complete, bytes. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Limit of the bytes of a stream in which no event ends. */
const MAX_UNFINISHED_BYTES = 4_194_304;
/** Number of events over which the time between events is averaged. */
const SAMPLE_EVENTS = 8;

/** Handles the status and headers of a response; returns false if the attempt has ended. */
function handleHead(
  relay: relayState.Relay,
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
    relayState.endWithFault(relay, found.fault, found.reason);
    return false;
  }
  const isStream = held.events !== undefined && head.status <= relayState.MAX_SUCCESS;
  const type = responseHead.detectBodyType(head.headers);
  relay.statesEvents =
    type === responseHead.BodyType.EVENTS
      ? head.status <= relayState.MAX_SUCCESS
      : isStream && type === responseHead.BodyType.UNSTATED;
  if (held.exchange.response.headersSent && !(isStream && relay.statesEvents)) {
    relayState.endWithFault(relay, gateway.AttemptFault.FAILED, `resumed-${head.status}`);
    return false;
  }
  relay.eventStream.isStated = relay.statesEvents;
  relay.head = { ...head, headers: endToEndHeaders.listEndToEnd(head.headers) };
  relay.isStream = isStream;
  relay.statedLength =
    !isStream && head.framing === endToEndHeaders.BodyFraming.LENGTH
      ? endToEndHeaders.findHeader(head.headers, 'content-length')
      : undefined;
  return true;
}

/** Counts events and reports the time to the first one and the average time between later ones. */
function recordEvents(relay: relayState.Relay, count: number): void {
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
function readEvents(relay: relayState.Relay, chunk: Buffer): eventStream.CompleteEvents {
  if (!relay.options.held.request.repeatable) {
    const { events, end } = eventStream.readChunk(relay.eventStream, chunk);
    return { bytes: relay.eventStream.hasStatusLine ? chunk.subarray(0, end) : chunk, events };
  }
  return eventStream.pushChunk(relay.eventStream, chunk);
}

/** Forwards a chunk of a stream; returns false if the caller reads too slowly. */
function forwardStreamChunk(relay: relayState.Relay, chunk: Buffer): boolean {
  const eventsBefore = relay.eventStream.events;
  const complete = readEvents(relay, chunk);
  const hasEnded = relay.eventStream.events > eventsBefore;
  relay.unfinishedBytes = hasEnded ? 0 : relay.unfinishedBytes + chunk.length;
  if (relay.unfinishedBytes > MAX_UNFINISHED_BYTES && responseEnd.hasEvents(relay)) {
    relayState.endWithFault(relay, gateway.AttemptFault.BROKEN, 'event-too-long');
    return true;
  }
  const canContinue = complete.bytes.length === 0 || writeEvents(relay, complete);
  if (relay.eventStream.hasStatusLine) {
    relayState.endWithFault(relay, gateway.AttemptFault.BROKEN, 'extra-response');
  }
  return canContinue;
}

/** Sends events to the caller; returns false if it reads too slowly. */
function writeEvents(
  relay: relayState.Relay,
  { bytes, events }: eventStream.CompleteEvents,
): boolean {
  recordEvents(relay, Math.max(events, 1));
  relayState.startResponseOnce(relay);
  return relay.options.held.exchange.response.write(bytes);
}

/** Handles a chunk of a response body; returns false if the caller reads too slowly. */
function handleBodyChunk(relay: relayState.Relay, chunk: Buffer): boolean {
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
  byteCollector.addBytes(relay.body, chunk);
  if (relay.body.length <= MAX_BUFFERED_BYTES) {
    return true;
  }
  if ((relay.head?.status ?? 0) >= relayState.MIN_SERVER_ERROR) {
    relayState.endWithFault(relay, gateway.AttemptFault.BROKEN, 'failure-too-long');
    return true;
  }
  relayState.startResponseOnce(relay);
  return exchange.response.write(byteCollector.takeBytes(relay.body));
}

/** Creates the listener that relays the response of one attempt. */
export function createRelay(options: relayState.RelayOptions): backendAttempt.AttemptListener {
  const relay: relayState.Relay = {
    options,
    head: undefined,
    statedLength: undefined,
    isStream: false,
    statesEvents: false,
    eventStream: options.held.events ?? eventStream.createEventStream(),
    body: byteCollector.createByteCollector(),
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
    onWithdrawn: () =>
      relayState.endWithFault(relay, gateway.AttemptFault.WITHDRAWN, 'not-to-be-used'),
    onEnd: () => responseEnd.endResponse(relay),
    onExtraResponse: options.observeExtraResponse,
    onBroken: (reason, mayHaveBeenSent) => {
      const { BROKEN, UNREACHABLE } = gateway.AttemptFault;
      relayState.endWithFault(relay, mayHaveBeenSent ? BROKEN : UNREACHABLE, reason);
    },
  };
}
