/** Computes the limits that result from a declared quota and its tolerance. */
import * as configuration from './configuration.js';

const MS_PER_SECOND = 1000;

/** How much all gateways together may admit beyond a declared quota. */
export type QuotaTolerance = {
  /** Fraction of the declared quota. */
  overage: number;
  /** Additional amount in each window, in the unit of the quota. */
  slack: number;
  /** Length of the sliding window, milliseconds; 0 for no tolerance. */
  windowMs: number;
};

/** A quota as enforced, including its tolerance. */
export type QuotaLimit = configuration.Quota & {
  /** Amount that all gateways may admit together after restarts, without knowing of past use. */
  restartBurst: number;
  declared: { perSecond: number; burst: number };
};

/** Fraction of the tolerance that is added to the burst; the rest is added to the rate. */
const TOLERANCE_BURST_SHARE = 0.5;
/** Fraction of the tolerance that restarted gateways may admit; it is not part of the others. */
const RESTART_SHARE = 0.1;

/**
 * Raises a quota by its tolerance, which applies anew to each window.
 *
 * Requests arrive in clumps, and a single one may be a large part of a burst. If the tolerance were
 * given only once, as a larger burst, a workspace that sends slightly more than its quota would be
 * refused all day although no window is near its limit.
 *
 * A gateway that has been restarted does not know what was used in the current window. It
 * therefore starts with its part of a small amount. With a part of the burst, gateways that are
 * killed several times within a window would exceed the limit of that window.
 */
export function applyTolerance(
  quota: configuration.Quota,
  { overage, slack, windowMs }: QuotaTolerance,
): QuotaLimit {
  const { perSecond, burst } = quota;
  const raised = { ...quota, restartBurst: 0, declared: { perSecond, burst } };
  if (windowMs <= 0) {
    return raised;
  }
  const windowS = windowMs / MS_PER_SECOND;
  const declared = quota.perSecond * windowS + quota.burst;
  const tolerated = declared * overage + slack;
  return {
    ...raised,
    restartBurst: Math.min(tolerated * RESTART_SHARE, burst),
    perSecond: quota.perSecond + (tolerated * (1 - TOLERANCE_BURST_SHARE)) / windowS,
    burst: quota.burst + tolerated * TOLERANCE_BURST_SHARE,
  };
}

/** Computes the cost of a request in the unit of a quota. */
export function computeCost(quota: configuration.Quota, tokens: number | undefined): number {
  return quota.unit === configuration.QuotaUnit.TOKENS ? (tokens ?? quota.defaultTokens) : 1;
}
