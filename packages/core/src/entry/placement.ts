/** Ways to choose a backend server for a request. */

/** What a choice may look at. */
export type Candidate = {
  backendServerId: string;
  /** Estimated tokens of this entry's own requests there. */
  outstandingTokens: number;
  /** Tokens queued and running there as last reported; stale by nature. */
  reportedTokens: number;
  /** Measured speed; 0 while unknown. */
  tokensPerSecond: number;
};

/** Chooses one of at least one candidates. */
export type ChooseBackendServer = (
  candidates: readonly Candidate[],
  drawRandom: () => number,
) => Candidate;

/** Speed assumed until one has been measured, tokens per second. */
const ASSUMED_TOKENS_PER_SECOND = 1000;

/** Estimates how long a candidate needs for what this entry gave it, in seconds. */
function estimateDelay(candidate: Candidate): number {
  const speed = candidate.tokensPerSecond || ASSUMED_TOKENS_PER_SECOND;
  return candidate.outstandingTokens / speed;
}

/** Chooses the candidate that ends this entry's own work soonest. */
export function chooseLeastOutstanding(
  candidates: readonly Candidate[],
  drawRandom: () => number,
): Candidate {
  const least = Math.min(...candidates.map(estimateDelay));
  const best = candidates.filter((candidate) => estimateDelay(candidate) === least);
  return best[Math.floor(drawRandom() * best.length)];
}
