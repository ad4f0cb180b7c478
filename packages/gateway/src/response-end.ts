/** Handles the end of a response: completes it, or breaks it off if its end is not known. */
import * as gateway from '@toucanproxy/core/gateway';
import * as byteCollector from './byte-collector.js';
import * as callerExchange from './caller-exchange.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import * as eventStream from './event-stream.js';
import type * as heldRequest from './held-request.js';
import * as relayState from './relay-state.js';

/** Builds the outcome of an attempt whose response is passed on to its end. */
function buildComplete({
  head,
  eventStream: { events },
}: relayState.Relay): relayState.AttemptOutcome {
  return { kind: 'complete', head: head as heldRequest.ResponseHead, events };
}

/** Handles the end of a stream. */
function endStream(relay: relayState.Relay): void {
  const { held, settle } = relay.options;
  relayState.startResponseOnce(relay);
  held.exchange.response.end(eventStream.takePending(relay.eventStream));
  settle(buildComplete(relay));
}

/** Handles the end of a buffered response; a server error is reported as a fault with its body. */
function endBuffered(relay: relayState.Relay): void {
  const { held, settle, readNow, observeUnitTime } = relay.options;
  const head = relay.head as heldRequest.ResponseHead;
  if (held.exchange.response.headersSent) {
    held.exchange.response.end();
    settle(buildComplete(relay));
    return;
  }
  const body = byteCollector.takeBytes(relay.body);
  if (head.status >= relayState.MIN_SERVER_ERROR) {
    const failure = { ...head, body };
    const reason = String(head.status);
    settle({ kind: 'fault', fault: gateway.AttemptFault.FAILED, reason, failure });
    return;
  }
  if (held.events === undefined) {
    observeUnitTime(readNow() - held.request.sentMs);
  }
  callerExchange.sendResponse(held.exchange, head, body);
  settle(buildComplete(relay));
}

/** Completes a response whose end is known. */
function completeResponse(relay: relayState.Relay): void {
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
export function hasEvents({
  statesEvents,
  isStream,
  eventStream: stream,
}: relayState.Relay): boolean {
  return statesEvents || (isStream && eventStream.hasPossibleEvents(stream));
}

/** Returns whether only the end of the connection has ended a response. */
function isEndUnproven({ options, head }: relayState.Relay): boolean {
  const hasBody = options.held.exchange.method !== 'HEAD';
  return hasBody && head?.framing === endToEndHeaders.BodyFraming.UNTIL_CLOSE;
}

/** Handles the end of a response. */
export function endResponse(relay: relayState.Relay): void {
  if (hasEvents(relay) && eventStream.isInsideEvent(relay.eventStream)) {
    relayState.endWithFault(relay, gateway.AttemptFault.BROKEN, 'ended-in-event');
    return;
  }
  if (!isEndUnproven(relay)) {
    completeResponse(relay);
    return;
  }
  if (relay.isStream && hasEvents(relay) && relay.eventStream.events === 0) {
    relayState.endWithFault(relay, gateway.AttemptFault.BROKEN, 'ended-before-event');
    return;
  }
  relay.options.checkServer((isPresent) => {
    if (isPresent) {
      completeResponse(relay);
    } else {
      relayState.endWithFault(relay, gateway.AttemptFault.BROKEN, 'server-gone');
    }
  });
}
