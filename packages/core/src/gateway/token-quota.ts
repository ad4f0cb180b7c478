/**
 * Quotas of workspaces over all gateways together.
 *
 * Each gateway keeps a token bucket for each workspace and charges it with what
 * it admits itself and with what its peers report. A peer that has fallen silent
 * may be dead or may serve on behind a partition; the part of the quota that it
 * would have, an equal share, is kept free for it, so that both sides of a
 * partition together stay within the limit.
 */
import * as configuration from './configuration.js';

type Bucket = {
  level: number;
  updatedMs: number;
  /** Admitted here since the start. */ used: number;
};

export type QuotaBook = { buckets: Map<string, Bucket> };

/** Creates a book in which nothing was used. */
export function createQuotaBook(): QuotaBook {
  return { buckets: new Map() };
}

/** Gets the bucket of a workspace, filled up to the present time. */
function getBucket(
  book: QuotaBook,
  workspace: string,
  quota: configuration.Quota,
  share: number,
  now: number,
): Bucket {
  const burst = quota.burst * share;
  const bucket = book.buckets.get(workspace) ?? { level: burst, updatedMs: now, used: 0 };
  book.buckets.set(workspace, bucket);
  const grown = (Math.max(now - bucket.updatedMs, 0) * quota.perSecond * share) / 1000;
  bucket.level = Math.min(bucket.level + grown, burst);
  bucket.updatedMs = now;
  return bucket;
}

/** What the deployment lets all gateways together admit beyond a quota. */
export type QuotaTolerance = {
  /** Part of the quota. */
  overage: number;
  /** Besides, once, in the unit of the quota. */
  slack: number;
};

/**
 * Raises a quota by its tolerance.
 *
 * Requests come in clumps and a single one may be a large part of a burst. Kept
 * to the letter, a quota refuses workspaces that stay within it over seconds: on
 * a calm day 41 of 302 of the largest kind, 32 with the slack (users' bench).
 */
export function raiseQuota(
  quota: configuration.Quota,
  { overage, slack }: QuotaTolerance,
): configuration.Quota {
  return {
    ...quota,
    perSecond: quota.perSecond * (1 + overage),
    burst: quota.burst * (1 + overage) + slack,
  };
}

/** Computes what a request costs in the unit of a quota. */
export function computeCost(quota: configuration.Quota, tokens: number | undefined): number {
  return quota.unit === configuration.QuotaUnit.TOKENS ? (tokens ?? quota.defaultTokens) : 1;
}

export type QuotaDecision = { kind: 'within' } | { kind: 'beyond'; retryAfterMs: number };

/**
 * Charges a workspace for a request, where its quota allows it.
 *
 * A bucket that is full admits a request larger than itself; it would never run
 * otherwise. The debt is paid back before the next one.
 *
 * @param share the part of the quota that this gateway may use
 */
export function takeQuota(
  book: QuotaBook,
  workspace: string,
  quota: configuration.Quota,
  cost: number,
  share: number,
  now: number,
): QuotaDecision {
  const bucket = getBucket(book, workspace, quota, share, now);
  const needed = Math.min(cost, quota.burst * share);
  if (bucket.level < needed) {
    const perMs = (quota.perSecond * share) / 1000;
    return { kind: 'beyond', retryAfterMs: perMs > 0 ? (needed - bucket.level) / perMs : Infinity };
  }
  bucket.level -= cost;
  bucket.used += cost;
  return { kind: 'within' };
}

/** Gives back what was charged for a request that was not run. */
export function releaseQuota(book: QuotaBook, workspace: string, cost: number): void {
  const bucket = book.buckets.get(workspace);
  if (bucket !== undefined) {
    bucket.level += cost;
    bucket.used -= cost;
  }
}

/** Charges a workspace with what a peer has admitted. */
export function applyPeerUse(book: QuotaBook, workspace: string, cost: number): void {
  const bucket = book.buckets.get(workspace);
  if (bucket !== undefined) {
    bucket.level -= cost;
  }
}

/** Lists what was admitted here since the start, the largest users first. */
export function listUse(book: QuotaBook, most: number): { workspace: string; used: number }[] {
  return [...book.buckets]
    .map(([workspace, { used }]) => ({ workspace, used }))
    .sort((a, b) => b.used - a.used)
    .slice(0, most);
}
