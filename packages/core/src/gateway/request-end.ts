/** Ends requests, releases what they occupy and settles their quota charges. */
import * as schema from '@toucanproxy/schema';
import * as crashDetection from './crash-detection.js';
import * as pendingAsks from './pending-asks.js';
import type * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as refusal from './refusal.js';
import * as retries from './retries.js';
import * as tokenQuota from './token-quota.js';

/** Releases the slot of a request at its backend server, if it has one. */
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

/** Ends a request that has run or may have run. */
export function endRequest(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): void {
  releaseServer(state, request);
  retries.releaseRetry(state, request);
  state.requests.delete(request.serial);
}

/** Ends a request that has not run and refunds its quota charge. */
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
 * Ends a waiting request and returns the refusal for its caller.
 *
 * A request that waits for a retry may have run before; reporting it as not run would be wrong.
 *
 * @param notRun the refusal to return if the request has never run
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

/** Ends a request, in any phase, because its time is over or its caller has disconnected. */
export function abandonRequest(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  mayHaveRun: boolean,
  now: number,
): void {
  pendingAsks.withdrawAsk(state, request);
  if (mayHaveRun) {
    crashDetection.noteCancelledRun(state, request, now);
    endRequest(state, request);
  } else {
    endWithoutRun(state, request);
  }
}
