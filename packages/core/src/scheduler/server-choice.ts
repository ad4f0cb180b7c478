/**
 * Which backend server gets the next request, and which has room for one.
 *
 * Engines know no urgency: what they queue runs in order of arrival. So no more
 * is sent to one than it works on at once, and the rest waits here in order of
 * urgency. A place is worth the more the faster its engine; the slow ones are
 * used when the fast ones are full.
 */

export type Candidate = {
  id: string;
  failureDomain: string;
  /** Requests that it works on at once. */
  slots: number;
  /** Requests there, as the gateways last told, and places granted since. */
  inFlight: number;
  /** Requests that it may be started with now; bounded while it warms up or is limited. */
  startsLeft: number;
  /** It has named a rate limit. */
  isRateLimited: boolean;
  /** Times slower than the fastest of its cell. */
  slowness: number;
  /** Time of one unit of work, an event or an answer, milliseconds; 0 if unknown. */
  unitMs: number;
  /** Time that a first event takes beyond that of an idle engine, milliseconds. */
  firstExtraMs: number;
  /** Recent share of failed answers, 0 to 1. */
  failureShare: number;
};

/** How much a full backend server is slower than an empty one. */
const LOAD_SLOWDOWN = 1;
/** What a failed answer costs against one unit of slowness. */
const FAILURE_COST = 6;
/** Preference for the own failure domain; bytes between domains cost money. */
const DISTANCE_COST = 0.1;

/** Tells whether a backend server has a place. */
export function hasPlace({ slots, inFlight, startsLeft }: Candidate): boolean {
  return inFlight < slots && startsLeft > 0;
}

/** Estimates the cost of placing a request of a failure domain; the least wins. */
function estimateCost(candidate: Candidate, failureDomain: string): number {
  const load = candidate.inFlight / Math.max(candidate.slots, 1);
  return (
    candidate.slowness * (1 + LOAD_SLOWDOWN * load) +
    FAILURE_COST * candidate.failureShare +
    (candidate.failureDomain === failureDomain ? 0 : DISTANCE_COST)
  );
}

/** Chooses the best of the candidates that have a place. */
export function chooseServer(
  candidates: readonly Candidate[],
  failureDomain: string,
  drawRandom: () => number,
): Candidate | undefined {
  const costs = candidates.map((one) => ({
    one,
    cost: estimateCost(one, failureDomain),
    tie: drawRandom(),
  }));
  costs.sort((a, b) => a.cost - b.cost || a.tie - b.tie);
  return costs[0]?.one;
}
