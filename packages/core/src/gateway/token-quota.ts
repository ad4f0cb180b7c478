/**
 * Enforces the quotas of workspaces across all gateways.
 *
 * Each gateway keeps a token bucket for each workspace and charges it with the requests that it
 * admits and with those that its peers report. A peer that stops reporting may be dead, or it may
 * still be serving on the other side of a network partition. Its equal share of the quota is
 * therefore reserved, so that both sides of a partition together stay within the limit.
 */
import type * as quotaLimit from './quota-limit.js';

type Bucket = {
  /** Amount left, in the unit of the quota; below 0 if overdrawn. */
  level: number;
  /** Amount left of the declared quota, without its tolerance. */
  declaredLevel: number;
  updatedMs: number;
  /** Amount that this gateway has admitted since its start. */
  used: number;
  /** When a request of each urgency last arrived, milliseconds. */
  askedMs: Map<number, number>;
};

const MS_PER_SECOND = 1000;
/** A workspace over its declared quota is within it again after at most this time, seconds. */
const MAX_DEBT_S = 1;

/** Amount that peers admitted for a workspace before its first request at this gateway. */
type EarlyUse = { sinceMs: number; amount: number };

export type QuotaState = {
  buckets: Map<string, Bucket>;
  /** By workspace. */
  earlyUse: Map<string, EarlyUse>;
};

/** The gateways that share a quota. */
export type QuotaFleet = {
  /** Part of the quota that is not reserved for unreachable gateways, 0 to 1. */
  share: number;
  /** Number of gateways that may be serving, including this one. */
  gateways: number;
  /** When this gateway started, milliseconds. */
  startedMs: number;
  /** The whole system starts for the first time, so that nothing has been used. */
  isFirstStart: boolean;
};

/** Creates the quota state of a gateway at its start. */
export function createQuotaState(): QuotaState {
  return { buckets: new Map(), earlyUse: new Map() };
}

/**
 * Computes what is left of the declared quota after some time.
 *
 * The level has a lower limit, so that requests admitted within the tolerance count against a
 * workspace only briefly. Without the limit, a workspace that used twice its quota for ten
 * seconds would be scheduled behind the others for another ten.
 */
function computeDeclaredLevel(
  { declaredLevel }: Bucket,
  { declared }: quotaLimit.QuotaLimit,
  seconds: number,
  share: number,
): number {
  const lowest = -declared.perSecond * share * MAX_DEBT_S;
  const grown = Math.max(declaredLevel, lowest) + declared.perSecond * seconds;
  return Math.min(grown, declared.burst * share);
}

/** Refills a bucket for the time since its last update. */
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
 * Creates the bucket of a workspace at its first request.
 *
 * The bucket is refilled from the start of this gateway and charged with what peers have admitted
 * since. If it were refilled only from the first request on, requests within the quota would be
 * refused during the first seconds, and more of them the more gateways share the quota.
 */
function createBucket(
  quotas: QuotaState,
  workspace: string,
  quota: quotaLimit.QuotaLimit,
  { share, gateways, startedMs, isFirstStart }: QuotaFleet,
): Bucket {
  const burst = isFirstStart ? quota.declared.burst : quota.restartBurst;
  const level = (burst * share) / gateways;
  const levels = { level, declaredLevel: level, updatedMs: startedMs, used: 0 };
  const bucket = { ...levels, askedMs: new Map<number, number>() };
  const early = quotas.earlyUse.get(workspace);
  if (early !== undefined) {
    updateBucket(bucket, quota, share, early.sinceMs);
    lowerLevels(bucket, early.amount);
    quotas.earlyUse.delete(workspace);
  }
  return bucket;
}

/** Returns the bucket of a workspace, refilled up to the present time. */
function getBucket(
  quotas: QuotaState,
  workspace: string,
  quota: quotaLimit.QuotaLimit,
  fleet: QuotaFleet,
  now: number,
): Bucket {
  const bucket = quotas.buckets.get(workspace) ?? createBucket(quotas, workspace, quota, fleet);
  quotas.buckets.set(workspace, bucket);
  updateBucket(bucket, quota, fleet.share, now);
  return bucket;
}

/** The state that a quota decision was based on, in the unit of the quota. */
export type QuotaSnapshot = {
  workspace: string;
  cost: number;
  /** Level that was required; above the cost if the workspace also sends more urgent requests. */
  needed: number;
  /** Level of the bucket; below 0 if the gateways together have overdrawn it. */
  level: number;
  perSecond: number;
  burst: number;
  /** Part of the quota that is not reserved for unreachable gateways, 0 to 1. */
  share: number;
};

/** Takes an amount from a bucket. */
function lowerLevels(bucket: Bucket, amount: number): void {
  bucket.level -= amount;
  bucket.declaredLevel -= amount;
}

/** A charge that is requested from a quota. */
export type QuotaClaim = {
  workspace: string;
  /** In the unit of the quota. */
  cost: number;
  /** 0 is the most urgent. */
  urgency: number;
};

/**
 * For each more urgent tier that its workspace uses, a request needs this many times as much left
 * in the bucket. Otherwise a workspace that sends several times its quota, mostly in less urgent
 * requests, would spend on these what its urgent requests need.
 */
const RESERVE_FACTOR = 4;
/** A tier counts as used for this long after its last request, milliseconds. */
const TIER_IN_USE_MS = 10_000;

/** Counts the more urgent tiers that a workspace has used recently. */
function countMoreUrgent({ askedMs }: Bucket, urgency: number, now: number): number {
  return [...askedMs].filter(([other, ms]) => other < urgency && now - ms <= TIER_IN_USE_MS).length;
}

/** Computes the level that a bucket must have to admit a request. */
function computeNeeded(
  bucket: Bucket,
  { burst }: quotaLimit.QuotaLimit,
  { cost, urgency }: QuotaClaim,
  { share }: QuotaFleet,
  now: number,
): number {
  const reserve = RESERVE_FACTOR ** countMoreUrgent(bucket, urgency, now);
  return Math.min(cost * reserve, burst * share);
}

export type QuotaDecision =
  | { kind: 'within'; /** It exceeds the declared quota. */ isBeyondDeclared: boolean }
  | { kind: 'beyond'; retryAfterMs: number; snapshot: QuotaSnapshot };

/**
 * Charges a workspace for a request if its quota allows it.
 *
 * A full bucket admits a request that is larger than the bucket, because it could never run
 * otherwise. The bucket must recover from the debt before it admits the next request.
 */
export function takeQuota(
  quotas: QuotaState,
  quota: quotaLimit.QuotaLimit,
  claim: QuotaClaim,
  fleet: QuotaFleet,
  now: number,
): QuotaDecision {
  const { workspace, cost, urgency } = claim;
  const bucket = getBucket(quotas, workspace, quota, fleet, now);
  bucket.askedMs.set(urgency, now);
  const needed = computeNeeded(bucket, quota, claim, fleet, now);
  if (bucket.level < needed) {
    const { share } = fleet;
    const perMs = (quota.perSecond * share) / MS_PER_SECOND;
    const retryAfterMs = perMs > 0 ? (needed - bucket.level) / perMs : Infinity;
    const { level } = bucket;
    const { perSecond, burst } = quota;
    const snapshot = { workspace, cost, needed, level, perSecond, burst, share };
    return { kind: 'beyond', retryAfterMs, snapshot };
  }
  const isBeyondDeclared = bucket.declaredLevel < 0;
  bucket.used += cost;
  lowerLevels(bucket, cost);
  return { kind: 'within', isBeyondDeclared };
}

/** Refunds the charge for a request that was not run. */
export function releaseQuota(quotas: QuotaState, workspace: string, cost: number): void {
  const bucket = quotas.buckets.get(workspace);
  if (bucket !== undefined) {
    bucket.used -= cost;
    lowerLevels(bucket, -cost);
  }
}

/** Charges a workspace with an amount that a peer has admitted. */
export function applyPeerUse(
  quotas: QuotaState,
  workspace: string,
  cost: number,
  now: number,
): void {
  const bucket = quotas.buckets.get(workspace);
  if (bucket !== undefined) {
    lowerLevels(bucket, cost);
  } else if (cost > 0) {
    const early = quotas.earlyUse.get(workspace) ?? { sinceMs: now, amount: 0 };
    quotas.earlyUse.set(workspace, { ...early, amount: early.amount + cost });
  }
}

/** Lists the amounts admitted by this gateway since its start, largest first, at most `most`. */
export function listUse(quotas: QuotaState, most: number): { workspace: string; used: number }[] {
  return [...quotas.buckets]
    .map(([workspace, { used }]) => ({ workspace, used }))
    .sort((a, b) => b.used - a.used)
    .slice(0, most);
}
