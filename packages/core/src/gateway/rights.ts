/** Which route and workspace a request has by the configuration in force. */
import * as schema from '@toucanproxy/schema';
import * as configurationLease from './configuration-lease.js';
import * as configurationIndex from './configuration-index.js';
import type * as configuration from './configuration.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as refusal from './refusal.js';

export type Rights = {
  route: configuration.Route;
  /** Undefined where the route is public or callers need no credentials. */
  workspace: configuration.WorkspaceDeclaration | undefined;
};

export type RightsDecision =
  { kind: 'granted'; rights: Rights } | { kind: 'refused'; refusal: refusal.Refusal };

/** Refuses by a code. */
function refuse(code: schema.ResultCode, retryAfterMs?: number): RightsDecision {
  return { kind: 'refused', refusal: refusal.buildRefusal(code, retryAfterMs) };
}

/**
 * Decides on the rights of a request.
 *
 * A gateway without a configuration, or with one that may be outdated, refuses
 * as not run: it cannot tell a revoked credential from a good one, nor a new
 * credential from a wrong one. Its caller finds another gateway.
 */
export function findRights(
  state: gatewayState.GatewayState,
  arrived: gatewayRequest.ArrivedRequest,
  clocks: configurationLease.ClockReading,
): RightsDecision {
  const { index, bounds } = state;
  if (index === undefined) {
    const wait = refusal.ELSEWHERE_RETRY_AFTER_MS;
    return refuse(schema.ResultCode.CONFIGURATION_UNCONFIRMED, wait);
  }
  const standing = configurationLease.getLeaseStatus(state.lease, true, bounds.leaseMs, clocks);
  const route = configurationIndex.findRoute(index, arrived.host, arrived.path);
  const open = route?.isPublic === true || index.workspaceByCredential === undefined;
  if (standing !== configurationLease.LeaseStatus.CONFIRMED && !open) {
    const wait = refusal.ELSEWHERE_RETRY_AFTER_MS;
    return refuse(schema.ResultCode.CONFIGURATION_UNCONFIRMED, wait);
  }
  if (route === undefined) {
    return refuse(schema.ResultCode.UNKNOWN_PATH);
  }
  if (open) {
    return { kind: 'granted', rights: { route, workspace: undefined } };
  }
  const workspace = index.workspaceByCredential?.get(arrived.credential ?? '');
  return workspace === undefined
    ? refuse(schema.ResultCode.UNAUTHENTICATED)
    : { kind: 'granted', rights: { route, workspace } };
}
