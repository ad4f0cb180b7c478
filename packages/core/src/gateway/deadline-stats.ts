/**
 * Which callers have been trying for long, as far as their deadlines tell.
 *
 * A caller that was told to come back, or whose gateway was lost, sends its request again
 * with the time that it has left. Load pattern: a burst of half as much again as the
 * engines can do. Who comes back has missed its target; taken for a new one, it gets the
 * place of a caller who can still be on time, who is turned away and comes back late in
 * turn.
 *
 * Callers of a route mostly allow much the same time. Where they do not, or where those of
 * one workspace mostly allow less, nothing is concluded: who allows little must not be put
 * behind the others for it.
 */

/** What is known of the deadlines on one route. */
export type UsualDeadline = {
  /** The longest deadline that many callers send, milliseconds. */
  fullMs: number;
  /** Recent share of the requests that came with about this deadline, 0 to 1. */
  share: number;
  samples: number;
  /** The same share and count among the requests of each workspace. */
  byWorkspace: Map<string, { share: number; samples: number }>;
};

/** Weight of one request in the share. */
const SAMPLE_WEIGHT = 1 / 32;
/**
 * Part of the longest deadline from which on one is full: callers of a route differ a
 * little, and who comes back has waited for longer than that.
 */
const FULL_SHARE = 0.78;
/** Above this share full deadlines are the usual ones: the others come back. */
const USUAL_SHARE = 0.4;
/** Below this share the longest deadline was one caller's own, and is forgotten. */
const ODD_SHARE = 0.05;
/** Requests that must have been seen before anything is concluded. */
const MIN_SAMPLES = 6;
/** Full deadlines that a workspace is credited with before its first request. */
const PRIOR_SAMPLES = 4;
/** Workspaces that are remembered for a route; bounds the memory. */
const MAX_WORKSPACES = 1024;

/** Creates the record of a route without requests. */
export function createUsualDeadline(): UsualDeadline {
  return { fullMs: 0, share: 0, samples: 0, byWorkspace: new Map() };
}

/** Tells whether a deadline is about the longest one. */
function isFull({ fullMs }: UsualDeadline, deadlineMs: number): boolean {
  return deadlineMs >= fullMs * FULL_SHARE;
}

/** Forgets what was seen, and begins with one deadline. */
function restart(usual: UsualDeadline, deadlineMs: number): void {
  usual.fullMs = deadlineMs;
  usual.share = 1;
  usual.samples = 1;
  usual.byWorkspace.clear();
}

/** Moves a share by one request more. */
function updateShare(counted: { share: number; samples: number }, isFullOne: boolean): void {
  counted.samples += 1;
  const weight = Math.max(SAMPLE_WEIGHT, 1 / counted.samples);
  counted.share += weight * (Number(isFullOne) - counted.share);
}

/** Takes in the deadline of one request. */
export function noteDeadline(usual: UsualDeadline, workspace: string, deadlineMs: number): void {
  const isOther = deadlineMs * FULL_SHARE > usual.fullMs;
  if (isOther || usual.share < ODD_SHARE) {
    restart(usual, deadlineMs);
    return;
  }
  usual.fullMs = Math.max(usual.fullMs, deadlineMs);
  const isFullOne = isFull(usual, deadlineMs);
  updateShare(usual, isFullOne);
  if (usual.byWorkspace.size > MAX_WORKSPACES) {
    usual.byWorkspace.clear();
  }
  const own = usual.byWorkspace.get(workspace) ?? { share: 1, samples: PRIOR_SAMPLES };
  usual.byWorkspace.set(workspace, own);
  updateShare(own, isFullOne);
}

/** Estimates how long the caller of a request has been trying, milliseconds; 0 for a new one. */
export function estimateTriedMs(
  usual: UsualDeadline,
  workspace: string,
  deadlineMs: number,
): number {
  const isKnown = usual.samples >= MIN_SAMPLES && usual.share >= USUAL_SHARE;
  const isUsualThere = (usual.byWorkspace.get(workspace)?.share ?? 1) >= USUAL_SHARE;
  return isKnown && isUsualThere && !isFull(usual, deadlineMs) ? usual.fullMs - deadlineMs : 0;
}
