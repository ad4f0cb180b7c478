/** Authorizes requests under the active configuration. */
import * as schema from '@toucanproxy/schema';
import * as configurationLease from './configuration-lease.js';
import * as configurationStatus from './configuration-status.js';
import * as configurationIndex from './configuration-index.js';
import type * as configuration from './configuration.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as gatewayState from './gateway-state.js';
import * as refusal from './refusal.js';

export type Authorization = {
  route: configuration.Route;
  /** Undefined if the route is public or callers need no credentials. */
  workspace: configuration.WorkspaceDeclaration | undefined;
};

export type AuthorizationDecision =
  { kind: 'granted'; authorization: Authorization } | { kind: 'refused'; refusal: refusal.Refusal };

/** Builds a decision to refuse. */
function refuse(code: schema.ResultCode, retryAfterMs?: number): AuthorizationDecision {
  return { kind: 'refused', refusal: refusal.buildRefusal(code, retryAfterMs) };
}

/**
 * Checks whether a request is authorized, and finds its route and workspace.
 *
 * A gateway whose configuration is missing or possibly outdated refuses requests as not run, so
 * that the caller can try another gateway: it can distinguish neither revoked credentials from
 * valid ones nor new credentials from invalid ones.
 */
export function checkAuthorization(
  state: gatewayState.GatewayState,
  arrived: Pick<gatewayRequest.ArrivedRequest, 'host' | 'path' | 'credential'>,
  clocks: configurationLease.ClockReading,
): AuthorizationDecision {
  const { index } = state;
  const status = configurationStatus.getConfigurationStatus(state, clocks);
  const { LeaseStatus } = configurationLease;
  if (index === undefined || status === LeaseStatus.OUTDATED) {
    const wait = refusal.OTHER_GATEWAY_RETRY_AFTER_MS;
    return refuse(schema.ResultCode.CONFIGURATION_UNCONFIRMED, wait);
  }
  const route = configurationIndex.findRoute(index, arrived.host, arrived.path);
  const needsNoCredential = route?.isPublic === true || index.workspaceByCredential === undefined;
  if (status !== LeaseStatus.CONFIRMED && !needsNoCredential) {
    const wait = refusal.OTHER_GATEWAY_RETRY_AFTER_MS;
    return refuse(schema.ResultCode.CONFIGURATION_UNCONFIRMED, wait);
  }
  if (route === undefined) {
    return refuse(schema.ResultCode.UNKNOWN_PATH);
  }
  if (needsNoCredential) {
    return { kind: 'granted', authorization: { route, workspace: undefined } };
  }
  const workspace = index.workspaceByCredential?.get(arrived.credential ?? '');
  return workspace === undefined
    ? refuse(schema.ResultCode.UNAUTHENTICATED)
    : { kind: 'granted', authorization: { route, workspace } };
}
