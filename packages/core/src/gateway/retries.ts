/**
 * Applies the retry budget of a service, which all gateways share.
 *
 * Each gateway limits its own retries: those that its requests add, and its part of the additional
 * ones. Only sends after which an earlier send of the request may have arrived count.
 */
import * as retryBudget from '../shared/retry-budget.js';
import type * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as retryLimit from './retry-limit.js';

/** Records that a request to a service was admitted. */
export function noteAdmitted(state: gatewayState.GatewayState, service: string): void {
  const { retries } = gatewayState.getServiceState(state, service);
  retryBudget.noteFirstAttempt(retries, retryLimit.computeRetryLimit(state));
}

/** Returns whether a request may be sent once more, and reserves that retry in the budget. */
export function reserveRetry(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): boolean {
  if (!request.mayHaveArrived) {
    return true;
  }
  const { retries, retryTotals } = gatewayState.getServiceState(state, request.service);
  const isAllowed = retryBudget.reserveRetry(retries);
  retryTotals[isAllowed ? 'allowed' : 'denied'] += 1;
  request.hasRetryReserved = isAllowed;
  request.isBudgetSpent = !isAllowed;
  return isAllowed;
}

/** Settles the retry that was reserved for a request, if there is one. */
function takeReserved(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  settle: (retries: retryBudget.RetryBudget) => void,
): void {
  if (request.hasRetryReserved) {
    request.hasRetryReserved = false;
    settle(gatewayState.getServiceState(state, request.service).retries);
  }
}

/** Records that a request is being sent. */
export function noteSent(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): void {
  takeReserved(state, request, retryBudget.noteRetrySent);
}

/** Returns the retry that was reserved for a request, if it ended before that retry was sent. */
export function releaseRetry(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): void {
  takeReserved(state, request, retryBudget.releaseRetry);
}
