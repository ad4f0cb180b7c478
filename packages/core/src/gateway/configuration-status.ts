/**
 * Decides which requests the active configuration allows a gateway to serve.
 *
 * A configuration must be active everywhere within a bounded time. A gateway that cannot read a
 * newer one, over a slow link or for lack of processor time, learns of it from its peers. It
 * refuses all requests from then on rather than handle them by routes that have been changed.
 */
import * as configurationLease from './configuration-lease.js';
import type * as gatewayState from './gateway-state.js';
import * as peerView from './peer-view.js';

/**
 * After this time a version that only peers have is ignored, in milliseconds. A peer that reports
 * a wrong version must not lock callers out for good.
 */
const MAX_OUTDATED_MS = 60_000;

/** Returns whether a peer has had a newer version for longer than a configuration may take. */
function isOutdated(
  { index, peers, bounds }: gatewayState.GatewayState,
  { steadyMs }: configurationLease.ClockReading,
): boolean {
  const { configurationMs = Infinity } = bounds;
  const sinceMs = peerView.findNewerSince(peers, index?.configuration.version ?? 0) ?? Infinity;
  const outdatedMs = steadyMs - sinceMs;
  return outdatedMs > configurationMs && outdatedMs <= MAX_OUTDATED_MS;
}

/** Returns which requests may be served. */
export function getConfigurationStatus(
  state: gatewayState.GatewayState,
  now: configurationLease.ClockReading,
): configurationLease.LeaseStatus {
  const { index, lease, bounds } = state;
  return index !== undefined && isOutdated(state, now)
    ? configurationLease.LeaseStatus.OUTDATED
    : configurationLease.getLeaseStatus(lease, index !== undefined, bounds.leaseMs, now);
}
