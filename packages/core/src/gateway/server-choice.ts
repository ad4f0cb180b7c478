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
  /** Requests that it works on at once. */
  slots: number;
  /** Requests there of this gateway, and of the others as they last told. */
  ownInFlight: number;
  peersInFlight: number;
  /** Times slower than the fastest of its service. */
  slowness: number;
  /** Times that a first event takes longer than at an idle engine. */
  firstRatio: number;
  /** Recent share of failed answers, 0 to 1. */
  failureShare: number;
  /** In the failure domain of this gateway. */
  isNear: boolean;
};

/** How much a full backend server is slower than an empty one. */
const LOAD_SLOWDOWN = 1;
/** What a failed answer costs against one unit of slowness. */
const FAILURE_COST = 6;
/** Preference for the own failure domain; bytes between domains cost money. */
const DISTANCE_COST = 0.1;

/**
 * Tells whether a backend server has a place.
 *
 * The reports of peers are a fraction of a second old. A gateway may always use
 * its equal share of the places, so that a stale report cannot starve it.
 */
export function hasPlace(candidate: Candidate, gateways: number): boolean {
  const { slots, ownInFlight, peersInFlight } = candidate;
  const share = Math.ceil(slots / Math.max(gateways, 1));
  return ownInFlight < share || ownInFlight + peersInFlight < slots;
}

/** Estimates the cost of placing a request; the least wins. */
function estimateCost(candidate: Candidate): number {
  const load = (candidate.ownInFlight + candidate.peersInFlight) / Math.max(candidate.slots, 1);
  return (
    candidate.slowness * (1 + LOAD_SLOWDOWN * load) +
    FAILURE_COST * candidate.failureShare +
    (candidate.isNear ? 0 : DISTANCE_COST)
  );
}

/** Chooses the best of the candidates that have a place. */
export function chooseServer(
  candidates: readonly Candidate[],
  drawRandom: () => number,
): Candidate | undefined {
  const costs = candidates.map((one) => ({ one, cost: estimateCost(one), tie: drawRandom() }));
  costs.sort((a, b) => a.cost - b.cost || a.tie - b.tie);
  return costs[0]?.one;
}
