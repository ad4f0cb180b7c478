/** The limits that a declared quota and its tolerance give. */
import * as configuration from './configuration.js';

const MS_PER_SECOND = 1000;

/** What the deployment lets all gateways together admit beyond a quota. */
export type QuotaTolerance = {
  /** Part of the quota. */
  overage: number;
  /** Besides, in each window, in the unit of the quota. */
  slack: number;
  /** Any span of this length counts, milliseconds; 0 where there is no tolerance. */
  windowMs: number;
};

/** A quota as it is applied, with its tolerance. */
export type QuotaLimit = configuration.Quota & {
  /** What a workspace may use at once when nothing is known of its past. */
  initialBurst: number;
  declared: { perSecond: number; burst: number };
};

/** Part of a tolerance that widens the burst; the rest widens the rate. */
const TOLERANCE_BURST_SHARE = 0.5;

/**
 * Raises a quota by its tolerance, which holds for each window anew.
 *
 * Requests come in clumps, and one may be a large part of a burst. With the
 * tolerance given out once, as a larger burst, a workspace that sent a fifth more
 * than its quota was refused all day, though no window was near its limit: 110
 * requests of three calm days (3,900 requests) were lost, 18 with the limit of a window.
 *
 * A gateway that has just started knows nothing of the window before it. It begins
 * with its part of the declared burst: with the raised one, what was used before and
 * after a restart of all gateways would add up beyond the limit of one window, and with
 * the whole one, gateways that restart in turn would each give a burst out again.
 */
export function raiseQuota(
  quota: configuration.Quota,
  { overage, slack, windowMs }: QuotaTolerance,
): QuotaLimit {
  const { perSecond, burst } = quota;
  const raised = { ...quota, initialBurst: burst, declared: { perSecond, burst } };
  if (windowMs <= 0) {
    return raised;
  }
  const windowS = windowMs / MS_PER_SECOND;
  const declared = quota.perSecond * windowS + quota.burst;
  const tolerated = declared * overage + slack;
  return {
    ...raised,
    perSecond: quota.perSecond + (tolerated * (1 - TOLERANCE_BURST_SHARE)) / windowS,
    burst: quota.burst + tolerated * TOLERANCE_BURST_SHARE,
  };
}

/** Computes what a request costs in the unit of a quota. */
export function computeCost(quota: configuration.Quota, tokens: number | undefined): number {
  return quota.unit === configuration.QuotaUnit.TOKENS ? (tokens ?? quota.defaultTokens) : 1;
}
