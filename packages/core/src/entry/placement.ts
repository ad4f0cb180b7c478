/** Ways to choose among backend servers. All are pure functions. */

/** What a choice may look at. */
export type Candidate = {
  backendServerId: string;
  /** Estimated tokens of this entry's own requests there. */
  outstandingTokens: number;
  /** Tokens queued and running there as last reported; stale by nature. */
  reportedTokens: number;
  /** Requests queued there, as reported or because its grants are still awaited. */
  queued: number;
  /** Their estimated tokens. */
  queuedTokens: number;
  /** Measured speed; 0 while unknown. */
  tokensPerSecond: number;
  /** Prompt tokens of the request that are likely to be in its prefix cache. */
  cachedTokens: number;
  /** Time that a request takes there for each token, as seen by this entry; 0 while unknown. */
  msPerToken: number;
  /** Share of its usual traffic that it may get, above 0; below 1 after an ejection. */
  trafficShare: number;
  /** Where this prefix goes when noAgent remembers it, the same on every entry. */
  preferred: boolean;
};

export type PlacementContext = {
  /** Uniform in [0, 1). */
  drawRandom: () => number;
  /** Placements of this service so far. */
  serial: number;
  /** Cost of the request, tokens. */
  estimatedTokens: number;
};

/** Chooses one of at least one candidates. */
export type ChooseBackendServer = (
  candidates: readonly Candidate[],
  context: PlacementContext,
) => Candidate;

/** Which backend servers are asked for a place now, and when more are asked. */
export type ReservationPlan = {
  asked: Candidate[];
  /** Time to wait for a grant before one more is asked, milliseconds. */
  waitMs: number;
};

/** Plans whom to ask; candidates have not been asked for this request yet. */
export type PlanReservations = (
  candidates: readonly Candidate[],
  context: PlacementContext,
  count: number,
) => ReservationPlan;

/** Speed assumed until one has been measured, tokens per second. */
const ASSUMED_TOKENS_PER_SECOND = 1000;

const MS_PER_SECOND = 1000;
/** Wait for a grant before one more backend server is asked, milliseconds. */
const ASK_MORE_MS = 500;
/** Wait for one that seems to have room before others are asked, milliseconds. */
const MIN_IDLE_WAIT_MS = 10;
/** Shortest wait for the backend server that has the prefix, milliseconds. */
const MIN_AFFINITY_WAIT_MS = 20;

/** Gets the speed to reckon with, tokens per second. */
function getSpeed(candidate: Candidate): number {
  return candidate.tokensPerSecond || ASSUMED_TOKENS_PER_SECOND;
}

/** Estimates how long a candidate needs for what this entry gave it, in seconds. */
function estimateOwnDelay(candidate: Candidate): number {
  return candidate.outstandingTokens / getSpeed(candidate);
}

/**
 * Estimates when a candidate would end a request, milliseconds from now.
 *
 * This entry's own work there is known as of now, the queue as of the last
 * report; both hold a request up.
 */
export function estimateDelay(candidate: Candidate, estimatedTokens: number): number {
  const ahead = candidate.outstandingTokens + candidate.queuedTokens;
  const aheadMs = (ahead / getSpeed(candidate)) * MS_PER_SECOND;
  const own = Math.max(estimatedTokens - candidate.cachedTokens, 0);
  const ownMs =
    candidate.msPerToken > 0
      ? own * candidate.msPerToken
      : (own / getSpeed(candidate)) * MS_PER_SECOND;
  return (aheadMs + ownMs) / candidate.trafficShare;
}

/** Picks one of the candidates that score least. */
function pickLeast(
  candidates: readonly Candidate[],
  estimate: (candidate: Candidate) => number,
  drawRandom: () => number,
): Candidate {
  const scores = candidates.map(estimate);
  const least = Math.min(...scores);
  const best = candidates.filter((_, index) => scores[index] === least);
  return best[Math.floor(drawRandom() * best.length)];
}

/** Chooses in turn. */
export function chooseRoundRobin(
  candidates: readonly Candidate[],
  context: PlacementContext,
): Candidate {
  return candidates[context.serial % candidates.length];
}

/** Chooses the better of two drawn at random, by the load that they reported. */
export function choosePowerOfTwoChoices(
  candidates: readonly Candidate[],
  context: PlacementContext,
): Candidate {
  const first = Math.floor(context.drawRandom() * candidates.length);
  const step = 1 + Math.floor(context.drawRandom() * Math.max(candidates.length - 1, 0));
  const a = candidates[first];
  const b = candidates[(first + step) % candidates.length];
  return b.reportedTokens < a.reportedTokens ? b : a;
}

/** Chooses the candidate that ends this entry's own work soonest. */
export function chooseLeastOutstanding(
  candidates: readonly Candidate[],
  context: PlacementContext,
): Candidate {
  return pickLeast(candidates, estimateOwnDelay, context.drawRandom);
}

/** Sorts by estimated delay; equal ones in random order, so that entries spread. */
function sortByDelay(candidates: readonly Candidate[], context: PlacementContext): Candidate[] {
  const scored = candidates.map((candidate) => ({
    candidate,
    delay: estimateDelay(candidate, context.estimatedTokens),
    tie: context.drawRandom(),
  }));
  scored.sort((a, b) => a.delay - b.delay || a.tie - b.tie);
  return scored.map((one) => one.candidate);
}

/** Computes how much sooner the first would end a request than the second, milliseconds. */
function computeDelayGap(sorted: readonly Candidate[], estimatedTokens: number): number {
  const [first, second] = sorted.map((candidate) => estimateDelay(candidate, estimatedTokens));
  return second === undefined ? ASK_MORE_MS : second - first;
}

/**
 * Asks the backend servers with the least estimated delay.
 *
 * One that has the prompt's prefix is asked alone, for as long as the prefill
 * that it saves would take: waiting longer would cost more than it saves. So
 * affinity is bounded by load without a threshold to set.
 */
export function selectLeastDelay(
  candidates: readonly Candidate[],
  context: PlacementContext,
  count: number,
): ReservationPlan {
  const sorted = sortByDelay(candidates, context);
  const [best] = sorted;
  if (best !== undefined && best.cachedTokens > 0) {
    const savedMs = (best.cachedTokens / getSpeed(best)) * MS_PER_SECOND;
    const waitMs = Math.min(Math.max(savedMs, MIN_AFFINITY_WAIT_MS), ASK_MORE_MS);
    return { asked: [best], waitMs };
  }
  // Where all have room, the first grant comes from the nearest, not the best.
  if (best?.queued === 0) {
    const gapMs = computeDelayGap(sorted, context.estimatedTokens);
    return { asked: [best], waitMs: Math.min(Math.max(gapMs, MIN_IDLE_WAIT_MS), ASK_MORE_MS) };
  }
  const asked = sorted.slice(0, count);
  const preferred = sorted.find((candidate) => candidate.preferred);
  // Entries that do not know a prefix yet meet at the same backend server, and
  // leave it out where it is much busier than the others.
  if (preferred !== undefined && !asked.includes(preferred) && asked.length > 1) {
    const least = estimateDelay(best, context.estimatedTokens);
    if (estimateDelay(preferred, context.estimatedTokens) <= 2 * least) {
      asked[asked.length - 1] = preferred;
    }
  }
  return { asked, waitMs: ASK_MORE_MS };
}
