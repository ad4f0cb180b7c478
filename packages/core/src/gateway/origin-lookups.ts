/**
 * Finds out which software version began the streams that callers take up at this gateway.
 *
 * A gateway that did not forward the first event, or has restarted since, asks the others. Its
 * request waits meanwhile and is refused as not run if nobody knows.
 */
import * as schema from '@toucanproxy/schema';
import * as rendezvous from '../shared/rendezvous.js';
import * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as originMessages from './origin-messages.js';
import type * as outgoingMessage from './outgoing-message.js';
import * as pendingAsks from './pending-asks.js';
import * as refusal from './refusal.js';
import * as requestEnd from './request-end.js';
import * as streamOrigins from './stream-origins.js';
import * as streamVersions from './stream-versions.js';
import * as unservableRequests from './unservable-requests.js';

/**
 * Maximum time of a lookup, milliseconds. A gateway with a quarter of a core may be paused for
 * 75 ms, and one datagram of a round trip may be lost.
 */
const LOOKUP_MS = 400;
/** Time after which the gateways that have not replied are asked again, milliseconds. */
const ASK_AGAIN_MS = 80;
/** Gateways that each round asks in addition; some of the keepers may be gone. */
const FAN_OUT = 8;
/** Time after its start in which a gateway may not know all others yet, milliseconds. */
const NEW_GATEWAY_MS = 3000;

/** A request whose stream cannot be continued, and the refusal for its caller. */
export type UnknownOrigin = unservableRequests.UnservableRequest;

/** Results of one pass over the lookups. */
export type LookupResult = {
  outgoing: outgoingMessage.OutgoingMessage[];
  refused: UnknownOrigin[];
};

/** Starts to look up the version that began the stream of an admitted request. */
export function startLookup(
  { origins: { lookups } }: gatewayState.GatewayState,
  { serial }: gatewayRequest.GatewayRequest,
  attemptId: string,
  now: number,
): void {
  const lookup = lookups.get(attemptId) ?? {
    serials: new Set(),
    startedMs: now,
    askedMs: -Infinity,
    rounds: 0,
    asked: [],
    ignorant: new Set(),
  };
  lookup.serials.add(serial);
  lookups.set(attemptId, lookup);
}

/** Builds the refusal of a request to continue a stream of an unknown version. */
export function buildUnknownRefusal(): refusal.Refusal {
  return refusal.buildRefusal(
    schema.ResultCode.STREAM_VERSION_UNKNOWN,
    refusal.OTHER_GATEWAY_RETRY_AFTER_MS,
  );
}

/** Returns whether nobody is left who may know the version. */
function isExhausted(
  { startedMs }: gatewayState.GatewayState,
  lookup: streamOrigins.OriginLookup,
  now: number,
): boolean {
  const isNew = now - startedMs < NEW_GATEWAY_MS;
  const isAllIgnorant = lookup.rounds > 0 && lookup.asked.every((one) => lookup.ignorant.has(one));
  return now - lookup.startedMs >= LOOKUP_MS || (isAllIgnorant && !isNew);
}

/** Returns the refusal of a request whose lookup has ended, if it cannot be served. */
function findRefusal(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  software: streamOrigins.StreamSoftware | undefined,
  now: number,
): refusal.Refusal | undefined {
  if (software === undefined) {
    return buildUnknownRefusal();
  }
  return streamVersions.applyOrigin(request, software)
    ? unservableRequests.findUnservableRefusal(state, request, now)
    : refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER);
}

/** Ends the wait of a request whose lookup has ended: it asks for a slot or is refused. */
function endLookup(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  software: streamOrigins.StreamSoftware | undefined,
  now: number,
): UnknownOrigin[] {
  const { PEER, UNKNOWN } = streamOrigins.OriginSource;
  state.origins.totals[software === undefined ? UNKNOWN : PEER] += 1;
  const notRun = findRefusal(state, request, software, now);
  if (notRun === undefined) {
    pendingAsks.askPlace(state, request, now);
    return [];
  }
  return [{ request, refusal: requestEnd.refuseWaiting(state, request, notRun) }];
}

/** Collects the queries that are due; the gateways that most likely keep a record go first. */
function collectQueries(
  state: gatewayState.GatewayState,
  now: number,
): outgoingMessage.OutgoingMessage[] {
  if (state.origins.lookups.size === 0) {
    return [];
  }
  const askable = originMessages.listAskable(state);
  const idsByAddress = new Map<string, string[]>();
  [...state.origins.lookups]
    .filter(([, { askedMs }]) => now - askedMs >= ASK_AGAIN_MS)
    .forEach(([attemptId, lookup]) => {
      lookup.askedMs = now;
      lookup.rounds += 1;
      const ranked = rendezvous.rankByRendezvous(attemptId, askable);
      lookup.asked = ranked.slice(0, FAN_OUT * lookup.rounds);
      lookup.asked
        .filter((to) => !lookup.ignorant.has(to))
        .forEach((to) => idsByAddress.set(to, [...(idsByAddress.get(to) ?? []), attemptId]));
    });
  return [...idsByAddress].flatMap(([to, ids]) => originMessages.buildQueries(state, to, ids));
}

/** Ends the lookups that have a result or no hope of one, and asks other gateways for the rest. */
export function advanceLookups(state: gatewayState.GatewayState, now: number): LookupResult {
  const { origins } = state;
  const refused = [...origins.lookups].flatMap(([attemptId, lookup]) => {
    const software = streamOrigins.findOrigin(origins, attemptId, now);
    if (software === undefined && !isExhausted(state, lookup, now)) {
      return [];
    }
    origins.lookups.delete(attemptId);
    return [...lookup.serials]
      .map((serial) => state.requests.get(serial))
      .filter((request) => request !== undefined)
      .flatMap((request) => endLookup(state, request, software, now));
  });
  return { outgoing: collectQueries(state, now), refused };
}
