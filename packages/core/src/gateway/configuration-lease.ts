/**
 * Lease on the configuration that a gateway last read from the store.
 *
 * A revoked credential must stop working everywhere within a bounded time, even at a gateway
 * that cannot reach the store and does not learn of the revocation. Each response of the
 * store therefore renews a lease; once it has expired, requests with a credential are
 * rejected as not run. The age of the lease is the greatest that any of several clocks
 * shows: the steady (monotonic) clock stops while a VM is suspended, and the wall clock may
 * be set back, but not both by the same amount.
 */

/** One reading of all clocks, in milliseconds. */
export type ClockReading = {
  steadyMs: number;
  wallMs: number;
  /** Time since the VM started, including suspended time. */
  uptimeMs: number;
};

export type ConfigurationLease = {
  /** When the store call that last renewed the lease was sent; undefined if there is no lease. */
  confirmed: ClockReading | undefined;
  /** Since when the store has returned an older configuration than a peer has, in ms. */
  behindSinceMs: number | undefined;
};

export enum LeaseStatus {
  /** The lease holds: all requests are served. */
  CONFIRMED = 'confirmed',
  /** The lease has expired: only requests that need no credential are served. */
  UNCONFIRMED = 'unconfirmed',
  /** A newer configuration should be active: no requests are served. */
  OUTDATED = 'outdated',
  /** There is no configuration. */
  UNKNOWN = 'unknown',
}

/** Creates the lease of a process that has not reached the store yet. */
export function createConfigurationLease(): ConfigurationLease {
  return { confirmed: undefined, behindSinceMs: undefined };
}

/** Renews the lease after a response to a store call that was sent at the given reading. */
export function noteConfirmed(lease: ConfigurationLease, sent: ClockReading): void {
  lease.confirmed = sent;
  lease.behindSinceMs = undefined;
}

/** Ends the lease because the store returns an older configuration than a peer has. */
export function noteBehind(lease: ConfigurationLease, now: number): void {
  lease.confirmed = undefined;
  lease.behindSinceMs ??= now;
}

/** Computes the age of the last confirmation, in milliseconds. */
export function computeConfirmationAge(lease: ConfigurationLease, now: ClockReading): number {
  const { confirmed } = lease;
  return confirmed === undefined
    ? Infinity
    : Math.max(
        now.steadyMs - confirmed.steadyMs,
        now.wallMs - confirmed.wallMs,
        now.uptimeMs - confirmed.uptimeMs,
      );
}

/**
 * Returns which requests may be served.
 *
 * @param leaseMs lease duration in milliseconds; Infinity if revoked credentials may be
 *   accepted while the store is unreachable
 */
export function getLeaseStatus(
  lease: ConfigurationLease,
  hasConfiguration: boolean,
  leaseMs: number,
  now: ClockReading,
): LeaseStatus {
  if (!hasConfiguration) {
    return LeaseStatus.UNKNOWN;
  }
  return computeConfirmationAge(lease, now) <= leaseMs
    ? LeaseStatus.CONFIRMED
    : LeaseStatus.UNCONFIRMED;
}
