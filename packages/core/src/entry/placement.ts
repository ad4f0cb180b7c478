/** Strategies that choose among backend servers. All are pure functions. */

/** The inputs of a choice for one backend server. */
export type Candidate = {
  backendServerId: string;
  /** Estimated tokens of this entry's own requests there. */
  outstandingTokens: number;
  /** Tokens queued and running there by its last report, so always somewhat stale. */
  reportedTokens: number;
  /** Requests queued there, by its last report or because its grants are still awaited. */
  queued: number;
  /** Estimated tokens of the queued requests. */
  queuedTokens: number;
  /** Measured throughput; 0 while unknown. */
  tokensPerSecond: number;
  /** Prompt tokens of the request that are probably in its prefix cache. */
  cachedTokens: number;
  /** Time for each token of a request there, as observed by this entry; 0 while unknown. */
  msPerToken: number;
  /** Share of the normal traffic that it may get, above 0; below 1 after an ejection. */
  trafficShare: number;
  /** The default location of a prefix whose location is unknown, the same on every entry. */
  preferred: boolean;
};

export type PlacementContext = {
  /** Returns a uniform random number in [0, 1). */
  drawRandom: () => number;
  /** Number of placements of this service so far. */
  serial: number;
  /** Cost of the request, tokens. */
  estimatedTokens: number;
};

/** Chooses one of the candidates, of which there is at least one. */
export type ChooseBackendServer = (
  candidates: readonly Candidate[],
  context: PlacementContext,
) => Candidate;

/** Which backend servers are asked for a slot now, and when more are asked. */
export type ReservationPlan = {
  asked: Candidate[];
  /** How long to wait for a grant before one more is asked, milliseconds. */
  waitMs: number;
};

/** Plans which candidates to ask for a slot. None of them has been asked for this request yet. */
export type PlanReservations = (
  candidates: readonly Candidate[],
  context: PlacementContext,
  count: number,
) => ReservationPlan;

/** Throughput assumed until one has been measured, tokens per second. */
const ASSUMED_TOKENS_PER_SECOND = 1000;

const MS_PER_SECOND = 1000;
/** How long to wait for a grant before one more backend server is asked, milliseconds. */
const ASK_MORE_MS = 500;
/**
 * Minimum wait for a backend server that seems to have room before others are
 * asked, milliseconds.
 */
const MIN_IDLE_WAIT_MS = 10;
/** Minimum wait for the backend server that has the prefix cached, milliseconds. */
const MIN_AFFINITY_WAIT_MS = 20;

/** Returns the measured or assumed throughput, tokens per second. */
function getThroughput(candidate: Candidate): number {
  return candidate.tokensPerSecond || ASSUMED_TOKENS_PER_SECOND;
}

/** Estimates how long a candidate needs for the requests of this entry, seconds. */
function estimateOwnDelay(candidate: Candidate): number {
  return candidate.outstandingTokens / getThroughput(candidate);
}

/**
 * Estimates how long a candidate would take to complete a request, milliseconds.
 *
 * The tokens of this entry's own requests there are current, those of the whole
 * queue are as of the last report. The request waits for both.
 */
export function estimateDelay(candidate: Candidate, estimatedTokens: number): number {
  const ahead = candidate.outstandingTokens + candidate.queuedTokens;
  const aheadMs = (ahead / getThroughput(candidate)) * MS_PER_SECOND;
  const uncachedTokens = Math.max(estimatedTokens - candidate.cachedTokens, 0);
  const requestMs =
    candidate.msPerToken > 0
      ? uncachedTokens * candidate.msPerToken
      : (uncachedTokens / getThroughput(candidate)) * MS_PER_SECOND;
  return (aheadMs + requestMs) / candidate.trafficShare;
}

/** Picks one of the candidates with the lowest estimate. */
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

/** Chooses the candidates in round-robin order. */
export function chooseRoundRobin(
  candidates: readonly Candidate[],
  context: PlacementContext,
): Candidate {
  return candidates[context.serial % candidates.length];
}

/** Chooses the less loaded of two random candidates, by reported load. */
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

/** Chooses the candidate that completes this entry's own work soonest. */
export function chooseLeastOutstanding(
  candidates: readonly Candidate[],
  context: PlacementContext,
): Candidate {
  return pickLeast(candidates, estimateOwnDelay, context.drawRandom);
}

/** Sorts by estimated delay. Ties are in random order, so that entries spread their requests. */
function sortByDelay(candidates: readonly Candidate[], context: PlacementContext): Candidate[] {
  const scored = candidates.map((candidate) => ({
    candidate,
    delay: estimateDelay(candidate, context.estimatedTokens),
    tie: context.drawRandom(),
  }));
  scored.sort((a, b) => a.delay - b.delay || a.tie - b.tie);
  return scored.map((one) => one.candidate);
}

/**
 * Computes how much sooner the first candidate would complete a request than the
 * second, milliseconds.
 */
function computeDelayGap(sorted: readonly Candidate[], estimatedTokens: number): number {
  const [first, second] = sorted.map((candidate) => estimateDelay(candidate, estimatedTokens));
  return second === undefined ? ASK_MORE_MS : second - first;
}

/**
 * Asks the backend servers with the lowest estimated delay.
 *
 * A backend server that has the prompt's prefix cached is asked alone, for as
 * long as the prefill that the cache saves would take: waiting longer would cost
 * more than it saves. This limits affinity by load, without a threshold to tune.
 */
export function selectLeastDelay(
  candidates: readonly Candidate[],
  context: PlacementContext,
  count: number,
): ReservationPlan {
  const sorted = sortByDelay(candidates, context);
  const [best] = sorted;
  if (best !== undefined && best.cachedTokens > 0) {
    const savedMs = (best.cachedTokens / getThroughput(best)) * MS_PER_SECOND;
    const waitMs = Math.min(Math.max(savedMs, MIN_AFFINITY_WAIT_MS), ASK_MORE_MS);
    return { asked: [best], waitMs };
  }
  // If all had room and were asked together, the first grant would come from the
  // nearest one, not the best.
  if (best?.queued === 0) {
    const gapMs = computeDelayGap(sorted, context.estimatedTokens);
    return { asked: [best], waitMs: Math.min(Math.max(gapMs, MIN_IDLE_WAIT_MS), ASK_MORE_MS) };
  }
  const asked = sorted.slice(0, count);
  const preferred = sorted.find((candidate) => candidate.preferred);
  // Entries that do not know the location of a prefix yet choose the same backend
  // server, unless it is much busier than the others.
  if (preferred !== undefined && !asked.includes(preferred) && asked.length > 1) {
    const least = estimateDelay(best, context.estimatedTokens);
    if (estimateDelay(preferred, context.estimatedTokens) <= 2 * least) {
      asked[asked.length - 1] = preferred;
    }
  }
  return { asked, waitMs: ASK_MORE_MS };
}
