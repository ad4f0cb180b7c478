/**
 * What a gateway may do on what it last learned from the configuration store.
 *
 * A credential that is revoked must stop working everywhere within a bound, also
 * at a gateway that cannot reach the store and so cannot hear of it. Each answer
 * of the store therefore grants a lease; once it has run out, requests with a
 * credential are refused as not run. The age is the greatest that any of several
 * clocks shows: the steady clock stands still while a VM is suspended, and the
 * time of day may be set back, but not both by the same amount.
 */

/** One reading of all clocks, milliseconds. */
export type ClockReading = {
  steadyMs: number;
  wallMs: number;
  /** Time since the VM started, suspended time included. */
  uptimeMs: number;
};

export type ConfigurationLease = {
  /** When the last call that the store answered was sent; undefined before the first. */
  confirmed: ClockReading | undefined;
  /** Since when the store has told an older configuration than a peer has, milliseconds. */
  behindSinceMs: number | undefined;
};

export enum LeaseStatus {
  /** The configuration is known to be fresh enough for everything. */
  CONFIRMED = 'confirmed',
  /** Only requests that need no credential are served. */
  UNCONFIRMED = 'unconfirmed',
  /** There is no configuration. */
  UNKNOWN = 'unknown',
}

/** Creates the belief of a process that has heard nothing. */
export function createConfigurationLease(): ConfigurationLease {
  return { confirmed: undefined, behindSinceMs: undefined };
}

/** Notes that the store answered a call that was sent at the given reading. */
export function noteConfirmed(belief: ConfigurationLease, sent: ClockReading): void {
  belief.confirmed = sent;
  belief.behindSinceMs = undefined;
}

/** Notes that the store tells an older configuration than a peer has: nothing is confirmed. */
export function noteBehind(belief: ConfigurationLease, now: number): void {
  belief.confirmed = undefined;
  belief.behindSinceMs ??= now;
}

/** Computes the age of the last confirmation, milliseconds. */
export function computeConfirmationAge(belief: ConfigurationLease, now: ClockReading): number {
  const { confirmed } = belief;
  return confirmed === undefined
    ? Infinity
    : Math.max(
        now.steadyMs - confirmed.steadyMs,
        now.wallMs - confirmed.wallMs,
        now.uptimeMs - confirmed.uptimeMs,
      );
}

/**
 * Tells what may be served.
 *
 * @param leaseMs how long one answer of the store holds; Infinity where revoked
 *   credentials may be served while the store cannot be reached
 */
export function getLeaseStatus(
  belief: ConfigurationLease,
  hasConfiguration: boolean,
  leaseMs: number,
  now: ClockReading,
): LeaseStatus {
  if (!hasConfiguration) {
    return LeaseStatus.UNKNOWN;
  }
  return computeConfirmationAge(belief, now) <= leaseMs
    ? LeaseStatus.CONFIRMED
    : LeaseStatus.UNCONFIRMED;
}
