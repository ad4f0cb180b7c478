/** Ends requests and settles their accounts. */
import * as schema from '@toucanproxy/schema';
import * as pendingAsks from './pending-asks.js';
import type * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as refusal from './refusal.js';
import * as tokenQuota from './token-quota.js';

/** Takes a request from the backend server that has it. */
export function releaseServer(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): void {
  const { serverId, service } = request;
  if (serverId !== undefined) {
    gatewayState.addInFlight(state, serverId, -1);
    pendingAsks.markLinkDirty(state, serverId, service);
    request.serverId = undefined;
  }
}

/** Ends a request that has run or may have. */
export function endRequest(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): void {
  releaseServer(state, request);
  state.requests.delete(request.serial);
}

/** Ends a request that has not run: its quota is given back. */
export function endWithoutRun(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): void {
  endRequest(state, request);
  if (request.quotaCost > 0) {
    tokenQuota.releaseQuota(state.quotas, request.workspace, request.quotaCost);
  }
}

/**
 * Ends a request that waits and is given up, and builds what its caller is told.
 *
 * One that waits for a repeat has run before, so that "not run" would be untrue.
 */
export function refuseWaiting(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  notRun: refusal.Refusal,
): refusal.Refusal {
  if (request.runs > 0) {
    endRequest(state, request);
    return refusal.buildRefusal(schema.ResultCode.ANSWER_BROKEN);
  }
  endWithoutRun(state, request);
  return notRun;
}

/** Ends a request whose time is over or whose caller has left, wherever it is. */
export function abandonRequest(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  mayHaveRun: boolean,
): void {
  pendingAsks.withdrawAsk(state, request);
  if (mayHaveRun) {
    endRequest(state, request);
  } else {
    endWithoutRun(state, request);
  }
}
