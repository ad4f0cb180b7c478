/** Computes how much of the retry budget, which all gateways share, one gateway has. */
import type * as retryBudget from '../shared/retry-budget.js';
import type * as gatewayState from './gateway-state.js';
import * as peerCounts from './peer-counts.js';

/** Smallest burst with which a gateway can make a retry at all. */
const MIN_BURST = 1;

/**
 * Computes this gateway's part of a retry budget. A gateway that has heard no peer does not know
 * how many gateways share the additional retries.
 */
export function computeRetryLimit({
  bounds,
  peers,
  seeds,
}: gatewayState.GatewayState): retryBudget.RetryLimit {
  const isIsolated = peers.byAddress.size === 0 && seeds.length > 0;
  const gateways = peerCounts.countSharers(peers, seeds);
  const burst = isIsolated ? MIN_BURST : Math.max(bounds.retryExtra / gateways, MIN_BURST);
  return { perAttempt: bounds.retryRatio, burst };
}

/**
 * Computes how many retries a gateway may make before it has admitted requests. A predecessor of
 * this process may have spent its part; only if the whole system starts is there none.
 */
export function computeFirstRetries(state: gatewayState.GatewayState): number {
  return state.isFirstStart ? computeRetryLimit(state).burst : 0;
}
