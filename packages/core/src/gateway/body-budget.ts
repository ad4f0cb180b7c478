/**
 * Budget for the bytes of requests that a gateway holds in memory.
 *
 * Small requests take from the whole budget and are never kept waiting. Large bodies leave a part of
 * it to them, and share the rest by dynamic thresholds: what a workspace, or one urgency of it, may
 * hold is a multiple of what is still free. A single workspace leaves room for the next one, and
 * shares become equal as more of them hold large bodies.
 */
import * as schema from '@toucanproxy/schema';
import * as refusal from './refusal.js';

/** The requests of one workspace and urgency. */
export type BodyHolder = {
  /** Undefined for requests that are not authorized. */
  workspace: string | undefined;
  urgency: number;
};

/** The memory that one large body holds, and what it waits for. */
export type BodyClaim = {
  holder: BodyHolder;
  heldBytes: number;
  /** Bytes that it waits for in addition; 0 if it does not wait. */
  wantedBytes: number;
  /** When it was granted its first bytes, milliseconds. */
  grantedMs: number | undefined;
  /** When it stops waiting, milliseconds. */
  waitUntilMs: number;
};

export enum BodyDecision {
  ADMITTED = 'admitted',
  WAITING = 'waiting',
  REFUSED = 'refused',
}

export type BodyBudget = {
  capacityBytes: number;
  smallBytes: number;
  largeBytes: number;
  /** Bytes of large bodies, by workspace and by holder. */
  byWorkspace: Map<string | undefined, number>;
  byHolder: Map<string, number>;
  /** Claims that wait, in order of arrival. */
  waiting: Set<BodyClaim>;
  /** Moving average of the time for which large bodies are held, milliseconds. */
  holdMs: number;
  /** Decisions about large bodies, and refusals of small requests. */
  totals: Record<BodyDecision | 'refused-small', number>;
};

/** Bodies up to this size count as small, bytes. */
export const SMALL_BODY_BYTES = 65_536;
/** Memory that a request takes besides its headers and body, bytes. */
const REQUEST_BYTES = 4096;
/** Header text is held as received and as parsed. */
const HEADER_COPIES = 2;
/** Share of the budget that large bodies may take. */
const LARGE_SHARE = 0.8;
/** What one urgency of a workspace may hold, as a multiple of what is free. */
const HOLDER_THRESHOLD = 2;
/** What a workspace may hold, as a multiple of what is free. */
const WORKSPACE_THRESHOLD = 4;
/** Longest wait for room, milliseconds; callers give up a request that nobody reads for a second. */
const MAX_WAIT_MS = 400;
/** A connection that waits holds data that was received and not read, so few may wait. */
const MAX_WAITING = 32;
const INITIAL_HOLD_MS = 500;
const MAX_RETRY_AFTER_MS = 5000;
/** Weight of a new value in the moving average. */
const HOLD_WEIGHT = 0.1;

const BYTES_PER_MB = 1_048_576;
/** Part of the memory limit that is never used. */
const SPARE_SHARE = 0.1;
/** Memory of the process without requests, and of what is freed and not yet collected, MB. */
const PROCESS_MB = 120;
/** Memory that a byte of a body takes. */
const BODY_OVERHEAD = 1.1;
/** Smallest budget, MB. */
const MIN_CAPACITY_MB = 8;

/** Computes the budget of a process with the given memory limit, bytes. */
export function computeCapacity(memoryMb: number | undefined): number {
  if (memoryMb === undefined) {
    return Infinity;
  }
  const usableMb = memoryMb * (1 - SPARE_SHARE) - PROCESS_MB;
  return Math.max(usableMb / BODY_OVERHEAD, MIN_CAPACITY_MB) * BYTES_PER_MB;
}

/** Creates an empty budget. */
export function createBodyBudget(memoryMb: number | undefined): BodyBudget {
  return {
    capacityBytes: computeCapacity(memoryMb),
    smallBytes: 0,
    largeBytes: 0,
    byWorkspace: new Map(),
    byHolder: new Map(),
    waiting: new Set(),
    holdMs: INITIAL_HOLD_MS,
    totals: {
      [BodyDecision.ADMITTED]: 0,
      [BodyDecision.WAITING]: 0,
      [BodyDecision.REFUSED]: 0,
      'refused-small': 0,
    },
  };
}

/** Computes what a request without its body takes, bytes. */
export function computeHeadBytes(headerBytes: number): number {
  return REQUEST_BYTES + headerBytes * HEADER_COPIES;
}

/** Takes bytes for a small request, or the headers of a large one; returns false without room. */
export function takeSmall(budget: BodyBudget, bytes: number): boolean {
  if (budget.smallBytes + budget.largeBytes + bytes > budget.capacityBytes) {
    budget.totals['refused-small'] += 1;
    return false;
  }
  budget.smallBytes += bytes;
  return true;
}

/** Gives back bytes of a small request. */
export function releaseSmall(budget: BodyBudget, bytes: number): void {
  budget.smallBytes -= bytes;
}

/** Returns the key of a holder. */
function getHolderKey({ workspace, urgency }: BodyHolder): string {
  return `${urgency} ${workspace}`;
}

/** Adds to an amount, and forgets an amount of 0. */
function addAmount<K>(amounts: Map<K, number>, key: K, bytes: number): void {
  const sum = (amounts.get(key) ?? 0) + bytes;
  if (sum === 0) {
    amounts.delete(key);
  } else {
    amounts.set(key, sum);
  }
}

/** Adds to the bytes that a claim holds. */
function addBytes(budget: BodyBudget, claim: BodyClaim, bytes: number): void {
  claim.heldBytes += bytes;
  budget.largeBytes += bytes;
  addAmount(budget.byWorkspace, claim.holder.workspace, bytes);
  addAmount(budget.byHolder, getHolderKey(claim.holder), bytes);
}

/** Returns whether there is room for what a claim wants. */
function hasRoom(budget: BodyBudget, { holder, wantedBytes }: BodyClaim): boolean {
  const { capacityBytes, smallBytes, largeBytes, byWorkspace, byHolder } = budget;
  const largeCapacity = Math.min(capacityBytes * LARGE_SHARE, capacityBytes - smallBytes);
  const freeBytes = largeCapacity - largeBytes - wantedBytes;
  if (freeBytes < 0) {
    // A body that is larger than the budget is held alone.
    return largeBytes === 0 && smallBytes + wantedBytes <= capacityBytes;
  }
  const ofWorkspace = byWorkspace.get(holder.workspace) ?? 0;
  const ofHolder = byHolder.get(getHolderKey(holder)) ?? 0;
  const isWithinWorkspace = ofWorkspace + wantedBytes <= freeBytes * WORKSPACE_THRESHOLD;
  const isWithinHolder = ofHolder + wantedBytes <= freeBytes * HOLDER_THRESHOLD;
  return ofWorkspace === 0 || (isWithinWorkspace && (ofHolder === 0 || isWithinHolder));
}

/** Grants a claim what it wants. */
function grantClaim(budget: BodyBudget, claim: BodyClaim, now: number): void {
  const bytes = claim.wantedBytes;
  claim.wantedBytes = 0;
  claim.grantedMs ??= now;
  budget.waiting.delete(claim);
  addBytes(budget, claim, bytes);
}

/** Creates a claim that holds nothing. */
export function createClaim(holder: BodyHolder): BodyClaim {
  return { holder, heldBytes: 0, wantedBytes: 0, grantedMs: undefined, waitUntilMs: 0 };
}

/** Asks for bytes in addition to those that a claim holds. */
export function claimBytes(
  budget: BodyBudget,
  claim: BodyClaim,
  bytes: number,
  now: number,
): BodyDecision {
  claim.wantedBytes = bytes;
  if (hasRoom(budget, claim)) {
    budget.totals[BodyDecision.ADMITTED] += claim.grantedMs === undefined ? 1 : 0;
    grantClaim(budget, claim, now);
    return BodyDecision.ADMITTED;
  }
  if (budget.waiting.size >= MAX_WAITING || bytes > budget.capacityBytes) {
    budget.totals[BodyDecision.REFUSED] += 1;
    return BodyDecision.REFUSED;
  }
  budget.totals[BodyDecision.WAITING] += 1;
  claim.waitUntilMs = now + MAX_WAIT_MS;
  budget.waiting.add(claim);
  return BodyDecision.WAITING;
}

/** Gives back a part of the bytes of a claim. */
export function releaseBytes(budget: BodyBudget, claim: BodyClaim, bytes: number): void {
  addBytes(budget, claim, -bytes);
}

/** Gives back the bytes of a claim; it does not wait any longer. */
export function releaseClaim(budget: BodyBudget, claim: BodyClaim, now: number): void {
  budget.waiting.delete(claim);
  addBytes(budget, claim, -claim.heldBytes);
  if (claim.grantedMs !== undefined) {
    budget.holdMs += (now - claim.grantedMs - budget.holdMs) * HOLD_WEIGHT;
    claim.grantedMs = undefined;
  }
}

/** Compares waiting claims: the most urgent first, then those of whoever holds least. */
function compareClaims({ byWorkspace }: BodyBudget, one: BodyClaim, other: BodyClaim): number {
  const getHeld = ({ holder }: BodyClaim) => byWorkspace.get(holder.workspace) ?? 0;
  return one.holder.urgency - other.holder.urgency || getHeld(one) - getHeld(other);
}

/** Grants waiting claims what there is room for, and ends those that have waited long enough. */
export function advanceClaims(
  budget: BodyBudget,
  now: number,
): { granted: BodyClaim[]; expired: BodyClaim[] } {
  const granted = [...budget.waiting]
    .sort((one, other) => compareClaims(budget, one, other))
    .filter((claim) => {
      const isGranted = hasRoom(budget, claim);
      if (isGranted) {
        grantClaim(budget, claim, now);
      }
      return isGranted;
    });
  const expired = [...budget.waiting].filter(({ waitUntilMs }) => now >= waitUntilMs);
  expired.forEach((claim) => budget.waiting.delete(claim));
  budget.totals[BodyDecision.REFUSED] += expired.length;
  return { granted, expired };
}

/**
 * Builds the refusal of a request for which there is no room. Retries are spread from one to two
 * times the time for which bodies are held.
 */
export function buildBodyRefusal(
  { holdMs }: BodyBudget,
  drawRandom: () => number,
): refusal.Refusal {
  const retryAfterMs = Math.min(holdMs * (1 + drawRandom()), MAX_RETRY_AFTER_MS);
  return refusal.buildRefusal(schema.ResultCode.BODY_MEMORY_SPENT, retryAfterMs);
}
