/**
 * Keeps a stream at the software version of the backend server that began it.
 *
 * Backend servers of several versions may serve side by side. They do not check what they are asked
 * to resume, and the events of two versions do not fit together.
 */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';

/**
 * Returns whether a backend server may continue a stream.
 *
 * @param streamVersion the version that began the stream; undefined if it has not begun
 */
export function isContinuableAt(
  streamVersion: string | undefined,
  { softwareVersion }: backendServerEntry.BackendServerEntry,
): boolean {
  return streamVersion === undefined || streamVersion === softwareVersion;
}

/**
 * Records the version that began a stream; called before the first event is forwarded to the caller.
 *
 * The version stays unknown if the entry of the backend server has changed since the request was
 * sent: the event may come from the software before the change or after it.
 */
export function noteStreamBegun(
  { servers }: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): void {
  const { serverId, serverBornMs, serverVersion } = request;
  const entry = servers.byId.get(serverId ?? '')?.entry;
  const isUnchanged =
    entry === undefined ||
    (entry.bornMs === serverBornMs && entry.softwareVersion === serverVersion);
  request.streamVersion ??= isUnchanged ? serverVersion : undefined;
}
