/** Ends requests and settles their accounts. */
import type * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as tokenQuota from './token-quota.js';
import * as waiting from './waiting.js';

/** Takes a request from the backend server that has it. */
export function releaseServer(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): void {
  if (request.serverId !== undefined) {
    const load = gatewayState.getLoad(state, request.serverId);
    load.inFlight -= 1;
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

/** Ends a request whose time is over or whose caller has left, wherever it is. */
export function abandonRequest(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  mayHaveRun: boolean,
): void {
  waiting.removeRequest(state, request);
  if (mayHaveRun) {
    endRequest(state, request);
  } else {
    endWithoutRun(state, request);
  }
}
