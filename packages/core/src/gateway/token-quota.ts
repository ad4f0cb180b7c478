/**
 * Quotas of workspaces over all gateways together.
 *
 * Each gateway keeps a token bucket for each workspace and charges it with what
 * it admits itself and with what its peers report. A peer that has fallen silent
 * may be dead or may serve on behind a partition; the part of the quota that it
 * would have, an equal share, is kept free for it, so that both sides of a
 * partition together stay within the limit.
 */
import type * as quotaLimit from './quota-limit.js';

type Bucket = {
  level: number;
  /** The same of the declared quota, without its tolerance. */
  declaredLevel: number;
  updatedMs: number;
  /** Admitted here since the start. */
  used: number;
  /** When a request of each urgency was last asked for, milliseconds. */
  askedMs: Map<number, number>;
};

const MS_PER_SECOND = 1000;
/** A workspace beyond its declared quota is within it again after this time, seconds. */
const LONGEST_DEBT_S = 1;

/** What peers admitted for a workspace before anything was asked for here. */
type EarlyUse = { sinceMs: number; amount: number };

export type QuotaBook = {
  buckets: Map<string, Bucket>;
  /** By workspace. */
  earlyUse: Map<string, EarlyUse>;
};

/** What is known of the gateways that a quota holds for together. */
export type QuotaFleet = {
  /** Part of the quota that this gateway may use by itself, next to silent ones. */
  share: number;
  /** Gateways that may be serving, this one included. */
  gateways: number;
  /** When this gateway started, milliseconds. */
  startedMs: number;
};

/** Creates a book in which nothing was used. */
export function createQuotaBook(): QuotaBook {
  return { buckets: new Map(), earlyUse: new Map() };
}

/**
 * Computes what is left of the declared quota after a time.
 *
 * What the tolerance let in is not held against a workspace for long: the level is
 * bounded below. Without the bound a workspace that was at twice its quota for ten
 * seconds would stand behind the others for ten more.
 */
function computeDeclaredLevel(
  { declaredLevel }: Bucket,
  { declared }: quotaLimit.QuotaLimit,
  seconds: number,
  share: number,
): number {
  const lowest = -declared.perSecond * share * LONGEST_DEBT_S;
  const grown = Math.max(declaredLevel, lowest) + declared.perSecond * seconds;
  return Math.min(grown, declared.burst * share);
}

/** Fills a bucket up to a time. */
function updateBucket(
  bucket: Bucket,
  quota: quotaLimit.QuotaLimit,
  share: number,
  now: number,
): void {
  const seconds = (Math.max(now - bucket.updatedMs, 0) * share) / MS_PER_SECOND;
  bucket.level = Math.min(bucket.level + quota.perSecond * seconds, quota.burst * share);
  bucket.declaredLevel = computeDeclaredLevel(bucket, quota, seconds, share);
  bucket.updatedMs = now;
}

/**
 * Creates the bucket of a workspace for which nothing was asked here.
 *
 * It has been filling up since this gateway started, and what peers admitted meanwhile
 * is charged. Begun at the first request, it would refuse requests within their quotas
 * for the first seconds, and the more so the more gateways share the quota.
 */
function createBucket(
  book: QuotaBook,
  workspace: string,
  quota: quotaLimit.QuotaLimit,
  { share, gateways, startedMs }: QuotaFleet,
): Bucket {
  const level = (quota.initialBurst * share) / gateways;
  const begun = { level, declaredLevel: level, updatedMs: startedMs, used: 0 };
  const bucket = { ...begun, askedMs: new Map<number, number>() };
  const early = book.earlyUse.get(workspace);
  if (early !== undefined) {
    updateBucket(bucket, quota, share, early.sinceMs);
    lowerLevels(bucket, early.amount);
    book.earlyUse.delete(workspace);
  }
  return bucket;
}

/** Gets the bucket of a workspace, filled up to the present time. */
function getBucket(
  book: QuotaBook,
  workspace: string,
  quota: quotaLimit.QuotaLimit,
  fleet: QuotaFleet,
  now: number,
): Bucket {
  const bucket = book.buckets.get(workspace) ?? createBucket(book, workspace, quota, fleet);
  book.buckets.set(workspace, bucket);
  updateBucket(bucket, quota, fleet.share, now);
  return bucket;
}

/** What a decision on a quota was made from, in the unit of the quota. */
export type QuotaReading = {
  workspace: string;
  cost: number;
  /** What had to be left; more than the cost where more urgent requests come. */
  needed: number;
  /** Left in the bucket; below 0 where the gateways together have overdrawn it. */
  level: number;
  perSecond: number;
  burst: number;
  /** Part of the quota that this gateway may use by itself. */
  share: number;
};

/** Takes an amount from a bucket. */
function lowerLevels(bucket: Bucket, amount: number): void {
  bucket.level -= amount;
  bucket.declaredLevel -= amount;
}

/** What a quota is asked for. */
export type QuotaClaim = {
  workspace: string;
  /** In the unit of the quota. */
  cost: number;
  /** 0 is the most urgent. */
  urgency: number;
};

/**
 * How many times its cost must be left for a request, for each more urgent tier that
 * its workspace asks for. Load pattern: a workspace sends several times its quota,
 * mostly less urgent requests. First come, first served, these spend what its urgent
 * ones need.
 */
const RESERVE = 4;
/** A tier counts for this long after its last request, milliseconds. */
const TIER_MS = 10_000;

/** Counts the more urgent tiers that a workspace has asked for lately. */
function countMoreUrgent({ askedMs }: Bucket, urgency: number, now: number): number {
  return [...askedMs].filter(([other, ms]) => other < urgency && now - ms <= TIER_MS).length;
}

/** Computes what must be left in a bucket for a request. */
function computeNeeded(
  bucket: Bucket,
  { burst }: quotaLimit.QuotaLimit,
  { cost, urgency }: QuotaClaim,
  { share }: QuotaFleet,
  now: number,
): number {
  const reserve = RESERVE ** countMoreUrgent(bucket, urgency, now);
  return Math.min(cost * reserve, burst * share);
}

export type QuotaDecision =
  | { kind: 'within'; /** Only the tolerance lets it in. */ isBeyondDeclared: boolean }
  | { kind: 'beyond'; retryAfterMs: number; reading: QuotaReading };

/**
 * Charges a workspace for a request, where its quota allows it.
 *
 * A bucket that is full admits a request larger than itself; it would never run
 * otherwise. The debt is paid back before the next one.
 */
export function takeQuota(
  book: QuotaBook,
  quota: quotaLimit.QuotaLimit,
  claim: QuotaClaim,
  fleet: QuotaFleet,
  now: number,
): QuotaDecision {
  const { workspace, cost, urgency } = claim;
  const bucket = getBucket(book, workspace, quota, fleet, now);
  bucket.askedMs.set(urgency, now);
  const needed = computeNeeded(bucket, quota, claim, fleet, now);
  if (bucket.level < needed) {
    const { share } = fleet;
    const perMs = (quota.perSecond * share) / MS_PER_SECOND;
    const retryAfterMs = perMs > 0 ? (needed - bucket.level) / perMs : Infinity;
    const { level } = bucket;
    const { perSecond, burst } = quota;
    const reading = { workspace, cost, needed, level, perSecond, burst, share };
    return { kind: 'beyond', retryAfterMs, reading };
  }
  const isBeyondDeclared = bucket.declaredLevel < 0;
  bucket.used += cost;
  lowerLevels(bucket, cost);
  return { kind: 'within', isBeyondDeclared };
}

/** Gives back what was charged for a request that was not run. */
export function releaseQuota(book: QuotaBook, workspace: string, cost: number): void {
  const bucket = book.buckets.get(workspace);
  if (bucket !== undefined) {
    bucket.used -= cost;
    lowerLevels(bucket, -cost);
  }
}

/** Charges a workspace with what a peer has admitted. */
export function applyPeerUse(book: QuotaBook, workspace: string, cost: number, now: number): void {
  const bucket = book.buckets.get(workspace);
  if (bucket !== undefined) {
    lowerLevels(bucket, cost);
  } else if (cost > 0) {
    const early = book.earlyUse.get(workspace) ?? { sinceMs: now, amount: 0 };
    book.earlyUse.set(workspace, { ...early, amount: early.amount + cost });
  }
}

/** Lists what was admitted here since the start, the largest users first. */
export function listUse(book: QuotaBook, most: number): { workspace: string; used: number }[] {
  return [...book.buckets]
    .map(([workspace, { used }]) => ({ workspace, used }))
    .sort((a, b) => b.used - a.used)
    .slice(0, most);
}
