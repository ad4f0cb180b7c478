/** Answer lengths learned per class of request by moving average. */

type CostAverage = { answerTokens: number; samples: number };

/** Averages by class. */
export type CostModel = Map<string, CostAverage>;

/** Weight of one answer once the average has settled. */
const SETTLED_WEIGHT = 0.05;
/** Answers before the average is trusted. */
const MIN_SAMPLES = 3;
/** Rough length of a token in bytes of text. */
const BYTES_PER_TOKEN = 4;
const LINE_FEED = 10;

/** Takes in the length of a whole answer, tokens. */
export function recordResponse(model: CostModel, className: string, answerTokens: number): void {
  const average = model.get(className) ?? { answerTokens: 0, samples: 0 };
  average.samples += 1;
  const weight = Math.max(1 / average.samples, SETTLED_WEIGHT);
  average.answerTokens += weight * (answerTokens - average.answerTokens);
  model.set(className, average);
}

/**
 * Estimates prompt and answer together, tokens.
 *
 * @param fallback the estimate where nothing has been learned
 * @param maxAnswerTokens the caller's own bound on the answer; 0 where it gave none
 */
export function estimateTokens(
  model: CostModel,
  className: string,
  promptBytes: number,
  maxAnswerTokens: number,
  fallback: number,
): number {
  const average = model.get(className);
  if (average === undefined || average.samples < MIN_SAMPLES) {
    return fallback;
  }
  const answer =
    maxAnswerTokens > 0 ? Math.min(average.answerTokens, maxAnswerTokens) : average.answerTokens;
  return Math.ceil(promptBytes / BYTES_PER_TOKEN + answer);
}

/** Counts the blank lines in a piece of an event stream; each ends one event. */
function countBlankLines(data: Uint8Array): number {
  let count = 0;
  for (let index = data.indexOf(LINE_FEED); index !== -1;) {
    if (data[index + 1] === LINE_FEED) {
      count += 1;
    }
    index = data.indexOf(LINE_FEED, index + 1);
  }
  return count;
}

/** Counts the tokens in a piece of an answer: engines send an event for each. */
export function countResponseTokens(data: Uint8Array, streamed: boolean): number {
  return streamed ? countBlankLines(data) : data.length / BYTES_PER_TOKEN;
}
