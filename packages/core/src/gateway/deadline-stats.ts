/**
 * Estimates from request deadlines how long callers have been retrying.
 *
 * A caller that was told to retry later, or whose gateway was lost, sends its request again with
 * the remaining time as its deadline. This matters in bursts, for instance at one and a half times
 * the capacity of the engines. A retried request has already missed its target. Treated as a new
 * one, it would take the slot of a request that can still be on time, and the caller of that
 * request would be refused and retry late in turn.
 *
 * Most callers of a route send about the same deadline, and a shorter one indicates a retry. If
 * their deadlines differ, or if those of one workspace are typically shorter, no estimate is made,
 * because a short deadline alone must not lower the priority of a request.
 */

/** Statistics of the deadlines that callers send on one route. */
export type DeadlineStats = {
  /** Maximum deadline that callers send, milliseconds; outliers are discarded eventually. */
  maximumMs: number;
  /** Recent share of requests with about the maximum deadline, 0 to 1. */
  share: number;
  samples: number;
  /** The same share and count for the requests of each workspace. */
  byWorkspace: Map<string, { share: number; samples: number }>;
};

/** Minimum weight of one request in the share. */
const SAMPLE_WEIGHT = 1 / 32;
/**
 * A deadline of at least this part of the maximum counts as the maximum. The deadlines of a route
 * vary slightly, whereas a caller that retries has waited for longer than the remaining part.
 */
const MAXIMUM_DEADLINE_RATIO = 0.78;
/** From this share on, the maximum deadline is the typical one, and shorter ones are retries. */
const TYPICAL_SHARE = 0.4;
/** Below this share, the maximum deadline was an outlier of one caller and is discarded. */
const OUTLIER_SHARE = 0.05;
/** Minimum number of requests before estimates are made. */
const MIN_SAMPLES = 6;
/** Number of maximum deadlines that a workspace is credited with before its first request. */
const PRIOR_SAMPLES = 4;
/** Maximum number of workspaces recorded for a route; limits memory use. */
const MAX_WORKSPACES = 1024;

/** Creates the statistics of a route without requests. */
export function createDeadlineStats(): DeadlineStats {
  return { maximumMs: 0, share: 0, samples: 0, byWorkspace: new Map() };
}

/** Returns whether a deadline is close to the maximum. */
function isNearMaximum({ maximumMs }: DeadlineStats, deadlineMs: number): boolean {
  return deadlineMs >= maximumMs * MAXIMUM_DEADLINE_RATIO;
}

/** Discards all statistics and starts again with one deadline. */
function restart(stats: DeadlineStats, deadlineMs: number): void {
  stats.maximumMs = deadlineMs;
  stats.share = 1;
  stats.samples = 1;
  stats.byWorkspace.clear();
}

/** Updates a share with one more request. */
function updateShare(
  counted: { share: number; samples: number },
  isMaximumDeadline: boolean,
): void {
  counted.samples += 1;
  const weight = Math.max(SAMPLE_WEIGHT, 1 / counted.samples);
  counted.share += weight * (Number(isMaximumDeadline) - counted.share);
}

/** Adds the deadline of one request to the statistics. */
export function noteDeadline(stats: DeadlineStats, workspace: string, deadlineMs: number): void {
  const isLonger = deadlineMs * MAXIMUM_DEADLINE_RATIO > stats.maximumMs;
  if (isLonger || stats.share < OUTLIER_SHARE) {
    restart(stats, deadlineMs);
    return;
  }
  stats.maximumMs = Math.max(stats.maximumMs, deadlineMs);
  const isMaximumDeadline = isNearMaximum(stats, deadlineMs);
  updateShare(stats, isMaximumDeadline);
  if (stats.byWorkspace.size > MAX_WORKSPACES) {
    stats.byWorkspace.clear();
  }
  const own = stats.byWorkspace.get(workspace) ?? { share: 1, samples: PRIOR_SAMPLES };
  stats.byWorkspace.set(workspace, own);
  updateShare(own, isMaximumDeadline);
}

/**
 * Estimates the time since the caller first sent a request, milliseconds; 0 for a request that
 * does not seem to be a retry.
 */
export function estimateElapsedMs(
  stats: DeadlineStats,
  workspace: string,
  deadlineMs: number,
): number {
  const hasTypicalDeadline = stats.samples >= MIN_SAMPLES && stats.share >= TYPICAL_SHARE;
  const isTypicalInWorkspace = (stats.byWorkspace.get(workspace)?.share ?? 1) >= TYPICAL_SHARE;
  return hasTypicalDeadline && isTypicalInWorkspace && !isNearMaximum(stats, deadlineMs)
    ? stats.maximumMs - deadlineMs
    : 0;
}
