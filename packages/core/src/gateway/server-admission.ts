/**
 * Whether a backend server may be sent a request now.
 *
 * Asked when a grant is used, and once more right before the first byte leaves: a scheduler may
 * not have heard of a change, and a connection may take tenths of a second to open.
 */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as allowedDomains from './allowed-domains.js';
import * as backendServers from './backend-servers.js';
import * as evacuations from './evacuations.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as serverStatements from './server-statements.js';

/** Why a backend server may not be used. */
export enum UnusableReason {
  /** It leaves, is gone, or another one is at its address. */
  NOT_IN_SERVICE = 'not-in-service',
  EVACUATED = 'evacuated',
  /** It lies outside the regions of the request. */
  REGION = 'region',
  /** It takes nothing from this gateway for now. */
  BACKOFF = 'backoff',
}

export type ServerAdmission =
  | { kind: 'usable'; server: backendServerEntry.BackendServerEntry }
  | { kind: 'unusable'; reason: UnusableReason };

/** Decides whether a backend server may be sent a request now. */
export function admitToServer(
  state: gatewayState.GatewayState,
  { regions }: gatewayRequest.GatewayRequest,
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
  if (serverStatements.computeBackoffLeft(servers.statements, entry, now) > 0) {
    return { kind: 'unusable', reason: UnusableReason.BACKOFF };
  }
  const server = backendServers.findUsable(servers, serverId, now);
  return server === undefined
    ? { kind: 'unusable', reason: UnusableReason.NOT_IN_SERVICE }
    : { kind: 'usable', server };
}

/** Tells whether the backend server that a request was assigned to may still be sent it. */
export function isStillUsable(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): boolean {
  const { serverId, serverBornMs } = request;
  if (serverId === undefined) {
    return false;
  }
  const admission = admitToServer(state, request, serverId, now);
  return admission.kind === 'usable' && admission.server.bornMs === serverBornMs;
}
