/**
 * Exchanges with other gateways which software version began each stream.
 *
 * Each record is sent to a few other gateways before the first event is forwarded to the caller, and
 * passed on when a gateway starts or leaves. A lost datagram costs one of several copies.
 */
import * as schema from '@toucanproxy/schema';
import * as rendezvous from '../shared/rendezvous.js';
import type * as gatewayState from './gateway-state.js';
import * as messageParts from './message-parts.js';
import type * as outgoingMessage from './outgoing-message.js';
import * as peerCounts from './peer-counts.js';
import * as peerView from './peer-view.js';
import * as streamOrigins from './stream-origins.js';

/** Other gateways that keep a copy of each record. */
const COPIES = 3;
/** Length of the fixed part of a record, characters. */
const RECORD_OVERHEAD = 16;

/** Builds the contents of the messages that carry records. */
function buildContents(
  { address }: gatewayState.GatewayState,
  origins: readonly streamOrigins.StreamOrigin[],
): schema.StreamOrigins[] {
  const countLength = ({ attemptId, service, version }: streamOrigins.StreamOrigin) =>
    attemptId.length + service.length + version.length + RECORD_OVERHEAD;
  return messageParts.listParts(origins, countLength).map((part) =>
    schema.create(schema.StreamOriginsSchema, {
      address,
      origins: part.map(({ attemptId, service, version, keepMs }) => ({
        attemptId,
        service,
        softwareVersion: version,
        keepMs: Math.min(keepMs, streamOrigins.MAX_KEEP_MS),
      })),
    }),
  );
}

/** Lists all other gateways that may be asked, also those that have not been heard yet. */
export function listAskable({ address, seeds, peers }: gatewayState.GatewayState): string[] {
  const all = new Set([...seeds, ...peerView.listKnownAddresses(peers)]);
  all.delete(address);
  return [...all];
}

/** Lists the gateways that records are sent to: the reachable ones, or all if none has been heard. */
function listKeepers(state: gatewayState.GatewayState, now: number): string[] {
  const reachable = peerCounts.listReachablePeers(state.peers, now);
  return reachable.length > 0 ? reachable : listAskable(state);
}

/** Chooses the gateways that keep copies of a record. */
function chooseKeepers(attemptId: string, keepers: readonly string[]): readonly string[] {
  return keepers.length <= COPIES
    ? keepers
    : rendezvous.rankByRendezvous(attemptId, keepers).slice(0, COPIES);
}

/** Records which version began a stream, and builds the messages with copies of the record. */
export function publishOrigin(
  state: gatewayState.GatewayState,
  origin: streamOrigins.StreamOrigin,
  now: number,
): outgoingMessage.OutgoingMessage[] {
  if (!streamOrigins.recordOrigin(state.origins, origin, now)) {
    return [];
  }
  const [origins] = buildContents(state, [origin]);
  const keepers = chooseKeepers(origin.attemptId, listKeepers(state, now));
  return keepers.map((to) => ({ kind: 'origins', to, origins }));
}

/** Builds the messages with the records of which another gateway should keep copies. */
export function buildOriginsFor(
  state: gatewayState.GatewayState,
  to: string,
  now: number,
): outgoingMessage.OutgoingMessage[] {
  const keepers = [...new Set([...peerCounts.listReachablePeers(state.peers, now), to])];
  const kept = streamOrigins
    .listOrigins(state.origins, now)
    .filter(({ attemptId }) => rendezvous.isAmongFirst(attemptId, to, keepers, COPIES));
  return buildContents(state, kept).map((origins) => ({ kind: 'origins', to, origins }));
}

/** Builds the messages that pass all records on to other gateways before this one stops. */
export function buildHandover(
  state: gatewayState.GatewayState,
  now: number,
): outgoingMessage.OutgoingMessage[] {
  return peerCounts
    .listReachablePeers(state.peers, now)
    .flatMap((to) => buildOriginsFor(state, to, now));
}

/** Builds the messages that ask another gateway which versions began some streams. */
export function buildQueries(
  { address }: gatewayState.GatewayState,
  to: string,
  attemptIds: readonly string[],
): outgoingMessage.OutgoingMessage[] {
  const countLength = ({ length }: string) => length + RECORD_OVERHEAD;
  return messageParts.listParts(attemptIds, countLength).map((part) => ({
    kind: 'originQuery',
    to,
    originQuery: schema.create(schema.StreamOriginQuerySchema, { address, attemptIds: part }),
  }));
}

/** Answers another gateway's query. */
export function buildQueryReply(
  state: gatewayState.GatewayState,
  { address: to, attemptIds }: schema.StreamOriginQuery,
  now: number,
): outgoingMessage.OutgoingMessage {
  const origins = attemptIds.flatMap((attemptId) => {
    const software = streamOrigins.findOrigin(state.origins, attemptId, now);
    const expiresMs = state.origins.byAttempt.get(attemptId)?.expiresMs ?? now;
    const keepMs = Math.ceil(expiresMs - now);
    return software === undefined
      ? []
      : [{ attemptId, service: software.service, softwareVersion: software.version, keepMs }];
  });
  const known = new Set(origins.map(({ attemptId }) => attemptId));
  const unknown = attemptIds.filter((attemptId) => !known.has(attemptId));
  const content = { address: state.address, origins, unknown };
  return { kind: 'origins', to, origins: schema.create(schema.StreamOriginsSchema, content) };
}

/** Applies the records that another gateway sent, and which ones it does not know. */
export function receiveOrigins(
  { origins: known }: gatewayState.GatewayState,
  { address, origins, unknown }: schema.StreamOrigins,
  now: number,
): void {
  origins.forEach(({ attemptId, service, softwareVersion: version, keepMs }) =>
    streamOrigins.recordOrigin(known, { attemptId, service, version, keepMs }, now),
  );
  unknown.forEach((attemptId) => known.lookups.get(attemptId)?.ignorant.add(address));
}
