/**
 * Keeps a stream at the software version of the backend server that began it.
 *
 * Backend servers of several versions may serve side by side. They do not check what they are asked
 * to resume, and the events of two versions do not fit together.
 */
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as originMessages from './origin-messages.js';
import type * as outgoingMessage from './outgoing-message.js';
import type * as streamOrigins from './stream-origins.js';

/** Time for which callers without a deadline may take a stream up, milliseconds. */
const DEFAULT_KEEP_MS = 60_000;
/** Time by which a caller's last try may arrive after its deadline, milliseconds. */
const KEEP_MARGIN_MS = 2000;

/**
 * Binds a request that takes a stream up to the software that began it; returns false if the route
 * no longer leads to that service.
 */
export function applyOrigin(
  request: gatewayRequest.GatewayRequest,
  { service, version }: streamOrigins.StreamSoftware,
): boolean {
  request.service = service;
  request.streamVersion = version;
  return request.route.targets.some((target) => target.service === service && target.weight > 0);
}

/** Computes how long the caller of a request may still take its stream up, milliseconds. */
function computeKeepMs({ arrived, arrivedMs }: gatewayRequest.GatewayRequest, now: number): number {
  return Math.ceil((arrived.deadlineMs ?? DEFAULT_KEEP_MS) - (now - arrivedMs) + KEEP_MARGIN_MS);
}

/**
 * Records the version that began a stream, and builds the messages with copies of the record; called
 * before the first event is forwarded to the caller. For a stream that the caller has taken up, the
 * copies are renewed: some of the gateways that kept them may be gone.
 *
 * The version stays unknown if the entry of the backend server has changed since the request was
 * sent, or may not describe the process that got it: the event may come from the software before the
 * change or after it.
 */
export function noteStreamBegun(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): outgoingMessage.OutgoingMessage[] {
  const { arrived, route, service, serverId, serverBornMs, serverVersion } = request;
  const entry = state.servers.byId.get(serverId ?? '')?.entry;
  const isUnchanged =
    !request.isIncarnationUnknown &&
    (entry === undefined ||
      (entry.bornMs === serverBornMs && entry.softwareVersion === serverVersion));
  request.streamVersion ??= isUnchanged ? serverVersion : undefined;
  if (request.streamVersion === undefined || !route.resumable) {
    return [];
  }
  const attemptId = arrived.resumption?.firstAttemptId ?? arrived.attemptId;
  const keepMs = computeKeepMs(request, now);
  const origin = { attemptId, service, version: request.streamVersion, keepMs };
  return originMessages.publishOrigin(state, origin, now);
}
