/** Learns the response length of each request class as a moving average. */

type CostAverage = { answerTokens: number; samples: number };

/** Averages by request class. */
export type CostModel = Map<string, CostAverage>;

/** Weight of one response once the average has settled. */
const SETTLED_WEIGHT = 0.05;
/** Number of responses before the average is used. */
const MIN_SAMPLES = 3;
/** Approximate length of a token, bytes of text. */
const BYTES_PER_TOKEN = 4;
const LINE_FEED = 10;

/** Records the length of a complete response, tokens. */
export function recordResponse(model: CostModel, className: string, answerTokens: number): void {
  const average = model.get(className) ?? { answerTokens: 0, samples: 0 };
  average.samples += 1;
  const weight = Math.max(1 / average.samples, SETTLED_WEIGHT);
  average.answerTokens += weight * (answerTokens - average.answerTokens);
  model.set(className, average);
}

/**
 * Estimates the tokens of prompt and response together.
 *
 * @param fallback the estimate if nothing has been learned yet
 * @param maxAnswerTokens the caller's limit on the response length; 0 if it gave
 *   none
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
  const responseTokens =
    maxAnswerTokens > 0 ? Math.min(average.answerTokens, maxAnswerTokens) : average.answerTokens;
  return Math.ceil(promptBytes / BYTES_PER_TOKEN + responseTokens);
}

/** Counts the blank lines in a chunk of an event stream; each one ends an event. */
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

/**
 * Counts the tokens in a chunk of a response. Engines send one event for each
 * token of a stream.
 */
export function countResponseTokens(data: Uint8Array, streamed: boolean): number {
  return streamed ? countBlankLines(data) : data.length / BYTES_PER_TOKEN;
}
