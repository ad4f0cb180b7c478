/**
 * Estimates what workspaces recently received outside a queue: in other cells of the service, or
 * in this one from an earlier scheduler.
 *
 * Load addressed: hot workspaces whose requests are spread over several cells, or whose scheduler
 * is lost. Gateways report what they sent recently in all cells of the service. The sum, less what
 * this queue granted, is what the workspace received elsewhere.
 */
import * as decayingCount from '../shared/decaying-count.js';
import type * as waitQueue from './wait-queue.js';

/** Work of a workspace, tokens. */
export type ReportedUse = { workspace: string; workTokens: number };

export type RecentUse = {
  /** Sums of what gateways last reported, by workspace. */
  reported: Map<string, decayingCount.DecayingCount>;
  /** What this queue granted, by workspace, least recent first. */
  granted: Map<string, decayingCount.DecayingCount>;
  /** What workspaces received elsewhere at their last request, by workspace, least recent first. */
  elsewhere: Map<string, decayingCount.DecayingCount>;
};

/** Time in which recent work decays to 1/e, milliseconds; it outlasts the deadlines of callers. */
export const USE_DECAY_MS = 5000;
/**
 * Maximum time until a grant is reported, milliseconds. Grants count as this much more recent, so
 * that a workspace that is served by one queue only received nothing elsewhere.
 */
const REPORT_DELAY_MS = 250;
/** Number of workspaces above which the least recent one is forgotten; bounds the memory. */
const MAX_WORKSPACES = 4096;

/** Creates an empty record. */
export function createRecentUse(): RecentUse {
  return { reported: new Map(), granted: new Map(), elsewhere: new Map() };
}

/** Returns a count, which becomes the most recent one; creates it if there is none. */
function getRecent(
  counts: Map<string, decayingCount.DecayingCount>,
  workspace: string,
): decayingCount.DecayingCount {
  const count = counts.get(workspace) ?? decayingCount.createDecayingCount();
  counts.delete(workspace);
  counts.set(workspace, count);
  if (counts.size > MAX_WORKSPACES) {
    counts.delete(counts.keys().next().value ?? '');
  }
  return count;
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
  last.forEach(({ workspace, workTokens }) => {
    const count = reported.get(workspace);
    if (count !== undefined) {
      decayingCount.addCount(count, -workTokens * decay, now, USE_DECAY_MS);
      if (count.value < 1) {
        reported.delete(workspace);
      }
    }
  });
  next.forEach(({ workspace, workTokens }) =>
    decayingCount.addCount(getRecent(reported, workspace), workTokens, now, USE_DECAY_MS),
  );
}

/** Records that a request of a workspace was granted a slot. */
export function noteGrant(
  { granted }: RecentUse,
  workspace: string,
  workTokens: number,
  now: number,
): void {
  decayingCount.addCount(getRecent(granted, workspace), workTokens, now, USE_DECAY_MS);
}

/** Estimates the recent work of a workspace that this queue did not grant, tokens. */
export function estimateElsewhere(
  { reported, granted }: RecentUse,
  workspace: string,
  now: number,
): number {
  const all = reported.get(workspace);
  const own = granted.get(workspace);
  const allTokens = all === undefined ? 0 : decayingCount.getCount(all, now, USE_DECAY_MS);
  const ownTokens = own === undefined ? 0 : decayingCount.getCount(own, now, USE_DECAY_MS);
  return Math.max(allTokens - ownTokens * Math.exp(REPORT_DELAY_MS / USE_DECAY_MS), 0);
}

/** Updates, for a new request of a workspace, what the queue knows of its use elsewhere. */
export function updateElsewhere(
  use: RecentUse,
  queue: waitQueue.WaitQueue,
  { workspace, share }: { workspace: string; share: number },
  now: number,
): void {
  const recent = estimateElsewhere(use, workspace, now);
  if (recent === 0 && !use.elsewhere.has(workspace)) {
    return;
  }
  const last = getRecent(use.elsewhere, workspace);
  const added = Math.max(recent - decayingCount.getCount(last, now, USE_DECAY_MS), 0);
  last.value = recent;
  last.updatedMs = now;
  const received = (queue.elsewhere.get(workspace)?.received ?? 0) + added / share;
  queue.elsewhere.set(workspace, { received, recent: recent / share });
}
