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
/** Recent use elsewhere below this amount is forgotten, tokens. */
const MIN_KNOWN_TOKENS = 1;

/** Creates an empty record. */
export function createRecentUse(): RecentUse {
  return { reported: new Map(), granted: new Map() };
}

/** Discards the least recent record if there are too many. */
function dropOldest(records: Map<string, unknown>): void {
  if (records.size > MAX_RECORDS) {
    records.delete(records.keys().next().value ?? '');
  }
}

/** Computes the part of recent work that is left after some time. */
function computeDecay(fromMs: number, now: number): number {
  return Math.exp((fromMs - now) / USE_DECAY_MS);
}

/** Returns a count, which becomes the most recent one; creates it if there is none. */
function getRecent(
  counts: Map<string, decayingCount.DecayingCount>,
  key: string,
): decayingCount.DecayingCount {
  const count = counts.get(key) ?? decayingCount.createDecayingCount();
  counts.delete(key);
  counts.set(key, count);
  dropOldest(counts);
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
  const decay = computeDecay(lastMs, now);
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

/**
 * Updates, for a new request, what the queue knows of its workspace's use elsewhere: what was added
 * to it since the last request, and what of it is recent.
 */
export function updateElsewhere(
  use: RecentUse,
  queue: waitQueue.WaitQueue,
  request: UseRequest,
  now: number,
): void {
  const key = waitQueue.buildKey(request.urgency, request.workspace);
  const last = queue.elsewhere.get(key);
  queue.elsewhere.delete(key);
  const known = last === undefined ? 0 : last.recent * computeDecay(last.updatedMs, now);
  // Grants of this queue lower the estimate at once and raise it with the next report. Only a rise
  // above the highest recent value is new use elsewhere.
  const recent = Math.max(estimateElsewhere(use, request, now) / request.share, known);
  if (recent < MIN_KNOWN_TOKENS) {
    return;
  }
  const received = (last?.received ?? 0) + Math.max(recent - known, 0);
  queue.elsewhere.set(key, { received, recent, updatedMs: now });
  dropOldest(queue.elsewhere);
}
