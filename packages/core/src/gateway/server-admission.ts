/**
 * Decides whether a request may be sent to a backend server now.
 *
 * This is checked when a grant is used and again right before the first byte is sent: the scheduler
 * may not know of a recent change, and opening a connection may take tenths of a second.
 */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as softwareVersions from '../shared/software-version.js';
import * as allowedDomains from './allowed-domains.js';
import * as backendServers from './backend-servers.js';
import * as evacuations from './evacuations.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as serverStatements from './server-statements.js';

/** Why a backend server may not be used. */
export enum UnusableReason {
  /** It is leaving or gone, or another one has taken over its address. */
  NOT_IN_SERVICE = 'not-in-service',
  EVACUATED = 'evacuated',
  /** It is outside the regions in which the request may be served. */
  REGION = 'region',
  /** It has asked this gateway to send nothing for some time. */
  BACKOFF = 'backoff',
  /** Its software version is not the one that began the stream. */
  VERSION = 'version',
}

export type ServerAdmission =
  | { kind: 'usable'; server: backendServerEntry.BackendServerEntry }
  | { kind: 'unusable'; reason: UnusableReason };

/** Decides whether a request may be sent to a backend server now. */
export function admitToServer(
  state: gatewayState.GatewayState,
  { regions, streamVersion }: gatewayRequest.GatewayRequest,
  serverId: string,
  now: number,
): ServerAdmission {
  const { servers } = state;
  const entry = servers.byId.get(serverId)?.entry;
  if (entry === undefined) {
    return { kind: 'unusable', reason: UnusableReason.NOT_IN_SERVICE };
  }
  if (evacuations.isEvacuated(servers.evacuations, entry.failureDomain)) {
    return { kind: 'unusable', reason: UnusableReason.EVACUATED };
  }
  if (!allowedDomains.isInRegions(state, regions, entry.failureDomain)) {
    return { kind: 'unusable', reason: UnusableReason.REGION };
  }
  if (!softwareVersions.isOfVersion(streamVersion, entry)) {
    return { kind: 'unusable', reason: UnusableReason.VERSION };
  }
  if (serverStatements.computeBackoffLeft(servers.statements, entry, now) > 0) {
    return { kind: 'unusable', reason: UnusableReason.BACKOFF };
  }
  const server = backendServers.findUsable(servers, serverId, now);
  return server === undefined
    ? { kind: 'unusable', reason: UnusableReason.NOT_IN_SERVICE }
    : { kind: 'usable', server };
}

/**
 * Returns whether a request may still be sent to the backend server that it was assigned to. A
 * server that has restarted or changed its software since the assignment is not used.
 */
export function isStillUsable(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): boolean {
  const { serverId, serverBornMs, serverVersion } = request;
  if (serverId === undefined) {
    return false;
  }
  const admission = admitToServer(state, request, serverId, now);
  return (
    admission.kind === 'usable' &&
    admission.server.bornMs === serverBornMs &&
    admission.server.softwareVersion === serverVersion
  );
}
