/**
 * Selects the backend server for a request.
 *
 * Engines have no notion of priority: they run what they queue in order of arrival. A backend
 * server therefore gets no more requests than it processes concurrently, and the others wait in
 * the scheduler in order of urgency. Faster engines are preferred; slow ones are used when the
 * fast ones are full.
 */

export type Candidate = {
  id: string;
  failureDomain: string;
  /** Version of its software; undefined if unknown. */
  softwareVersion: string | undefined;
  /** Requests that it may have in flight: those it processes at once, and grants ahead. */
  slots: number;
  /** Requests in flight there as last reported by the gateways, and grants not yet reported. */
  inFlight: number;
  /** Requests that may be started there now; bounded during warm-up or by its rate limit. */
  startsLeft: number;
  /** It has announced a rate limit. */
  isRateLimited: boolean;
  /** Time per unit of work relative to the fastest backend server of the cell. */
  slowness: number;
  /** Time per unit of work (an event or a complete response), milliseconds; 0 if unknown. */
  unitMs: number;
  /** Tokens of prompts that it has not read yet, and of responses in flight. */
  unreadTokens: number;
  answerTokens: number;
  /** Predicted time in which it reads these prompts, milliseconds. */
  aheadMs: number;
  /** Additional time to the first event compared with the prediction, milliseconds. */
  addedLatencyMs: number;
  /** Share of recent responses that failed, 0 to 1. */
  failureShare: number;
};

/** Relative slowdown of a full backend server compared with an idle one. */
const LOAD_SLOWDOWN = 1;
/** Cost of a failure share of 1, in units of slowness. */
const FAILURE_COST = 6;
/** Cost of a server in another failure domain; traffic between domains is billed. */
const DISTANCE_COST = 0.1;

/**
 * Time to read the prompts ahead that costs as much as one unit of slowness, milliseconds. A
 * quarter of the shortest target that callers of engines have.
 */
const AHEAD_COST_MS = 100;

/** Reports whether a backend server has a free slot that may be used now. */
export function hasPlace({ slots, inFlight, startsLeft }: Candidate): boolean {
  return inFlight < slots && startsLeft > 0;
}

/** Estimates the cost of placing a request from a failure domain; the lowest cost wins. */
function estimateCost(candidate: Candidate, failureDomain: string): number {
  const load = candidate.inFlight / Math.max(candidate.slots, 1);
  return (
    candidate.slowness * (1 + LOAD_SLOWDOWN * load) +
    candidate.aheadMs / AHEAD_COST_MS +
    FAILURE_COST * candidate.failureShare +
    (candidate.failureDomain === failureDomain ? 0 : DISTANCE_COST)
  );
}

/** Chooses the candidate with the lowest cost; equal costs are decided at random. */
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
