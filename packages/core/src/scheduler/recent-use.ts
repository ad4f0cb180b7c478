/**
 * Estimates what workspaces recently received outside a queue: in other cells of the service, or
 * in this one from an earlier scheduler.
 *
 * Load addressed: hot workspaces whose requests are spread over several cells, or whose scheduler
 * is lost. Gateways report what they sent recently in all cells of the service. The sum, less what
 * this queue granted, is what the workspace received elsewhere.
 */
import type * as schema from '@toucanproxy/schema';
import * as decayingCount from '../shared/decaying-count.js';
import type * as scheduledRequest from './scheduled-request.js';
import * as waitQueue from './wait-queue.js';

/** Work that a gateway reported; `key` names the urgency and the workspace. */
export type ReportedUse = { key: string; workTokens: number };

/** All maps are by urgency and workspace. */
export type RecentUse = {
  /** Sums of what gateways last reported, tokens. */
  reported: Map<string, decayingCount.DecayingCount>;
  /** What this queue granted, least recent first. */
  granted: Map<string, decayingCount.DecayingCount>;
  /** What workspaces received elsewhere at their last request, least recent first. */
  elsewhere: Map<string, decayingCount.DecayingCount>;
};

/** Time in which recent work decays to 1/e, milliseconds; it outlasts the deadlines of callers. */
export const USE_DECAY_MS = 5000;
/**
 * Maximum time until a grant is reported, milliseconds: the interval of reports and a resend. Grants count as this much more recent, so
 * that a workspace that is served by one queue only received nothing elsewhere.
 */
const REPORT_DELAY_MS = 600;
/** Number of records above which the least recent one is discarded; bounds the memory. */
const MAX_RECORDS = 4096;

/** Creates an empty record. */
export function createRecentUse(): RecentUse {
  return { reported: new Map(), granted: new Map(), elsewhere: new Map() };
}

/** Returns a count, which becomes the most recent one; creates it if there is none. */
function getRecent(
  counts: Map<string, decayingCount.DecayingCount>,
  key: string,
): decayingCount.DecayingCount {
  const count = counts.get(key) ?? decayingCount.createDecayingCount();
  counts.delete(key);
  counts.set(key, count);
  if (counts.size > MAX_RECORDS) {
    counts.delete(counts.keys().next().value ?? '');
  }
  return count;
}

/** Lists the work that an ask reports. */
export function listReported(uses: readonly schema.RecentUse[]): ReportedUse[] {
  return uses.flatMap(({ workspace, tiers }) =>
    tiers.map(({ urgency, workTokens }) => ({
      key: waitQueue.buildKey(urgency, workspace),
      workTokens,
    })),
  );
}

/**
 * Replaces a gateway's last report by a new one. Work decays at the same rate in both, so that a
 * report that is lost leaves the sum as it would have decayed.
 */
export function applyReport(
  { reported }: RecentUse,
  last: readonly ReportedUse[],
  lastMs: number,
  next: readonly ReportedUse[],
  now: number,
): void {
  const decay = Math.exp((lastMs - now) / USE_DECAY_MS);
  last.forEach(({ key, workTokens }) => {
    const count = reported.get(key);
    if (count !== undefined) {
      decayingCount.addCount(count, -workTokens * decay, now, USE_DECAY_MS);
      if (count.value < 1) {
        reported.delete(key);
      }
    }
  });
  next.forEach(({ key, workTokens }) =>
    decayingCount.addCount(getRecent(reported, key), workTokens, now, USE_DECAY_MS),
  );
}

/** A request as far as its use is concerned. */
type UseRequest = Pick<
  scheduledRequest.ScheduledRequest,
  'workspace' | 'urgency' | 'share' | 'workTokens'
>;

/** Records that a request was granted a slot. */
export function noteGrant({ granted }: RecentUse, request: UseRequest, now: number): void {
  const key = waitQueue.buildKey(request.urgency, request.workspace);
  decayingCount.addCount(getRecent(granted, key), request.workTokens, now, USE_DECAY_MS);
}

/** Returns a decayed count, 0 if there is none. */
function getTokens(
  counts: ReadonlyMap<string, decayingCount.DecayingCount>,
  key: string,
  now: number,
): number {
  const count = counts.get(key);
  return count === undefined ? 0 : decayingCount.getCount(count, now, USE_DECAY_MS);
}

/** Returns the recent work of a workspace at one urgency, as gateways reported it, tokens. */
export function getReported(
  { reported }: RecentUse,
  { workspace, urgency }: Pick<UseRequest, 'workspace' | 'urgency'>,
  now: number,
): number {
  return getTokens(reported, waitQueue.buildKey(urgency, workspace), now);
}

/** Estimates the recent work of a workspace that this queue did not grant, tokens. */
export function estimateElsewhere(
  use: RecentUse,
  request: Pick<UseRequest, 'workspace' | 'urgency'>,
  now: number,
): number {
  const key = waitQueue.buildKey(request.urgency, request.workspace);
  const own = getTokens(use.granted, key, now) * Math.exp(REPORT_DELAY_MS / USE_DECAY_MS);
  return Math.max(getReported(use, request, now) - own, 0);
}

/** Updates, for a new request, what the queue knows of its workspace's use elsewhere. */
export function updateElsewhere(
  use: RecentUse,
  queue: waitQueue.WaitQueue,
  request: UseRequest,
  now: number,
): void {
  const key = waitQueue.buildKey(request.urgency, request.workspace);
  const recent = estimateElsewhere(use, request, now);
  if (recent === 0 && !use.elsewhere.has(key)) {
    return;
  }
  const last = getRecent(use.elsewhere, key);
  const added = Math.max(recent - decayingCount.getCount(last, now, USE_DECAY_MS), 0);
  last.value = recent;
  last.updatedMs = now;
  const received = (queue.elsewhere.get(key)?.received ?? 0) + added / request.share;
  queue.elsewhere.set(key, { received, recent: recent / request.share });
}
