/**
 * Predicts how long the streams at an engine pause while it reads a new prompt.
 *
 * Engines read prompts in chunks between the steps in which running requests get their tokens. At a
 * slow engine, the chunks of one long prompt make every stream there pause for longer than its
 * caller accepts, so ten responses are late because of one. Long prompts therefore go to engines
 * that read them without such a pause, and wait for one while they can still be on time.
 */

/** Maximum number of prompt tokens that an engine reads between two steps. */
const CHUNK_TOKENS = 2048;
/**
 * Share of the longest pause that one prompt may cause. The estimate is rough, and another prompt
 * may arrive while it is read.
 */
const MAX_PAUSE_SHARE = 0.75;

export type PauseInput = {
  /** Prompt tokens that the engine reads: the new prompt and those ahead of it. */
  promptTokens: number;
  /** Prompt tokens per millisecond at an engine of slowness 1. */
  promptTokensPerMs: number;
  slowness: number;
  /** Time between two events at the present load, milliseconds. */
  unitMs: number;
  tokensPerEvent: number;
};

/** Predicts the longest pause between two events of a running stream, milliseconds. */
export function estimatePauseMs(input: PauseInput): number {
  const { promptTokens, promptTokensPerMs, slowness, unitMs, tokensPerEvent } = input;
  // An event needs as many steps as it has tokens, and one chunk is read before each step.
  const readTokens = Math.min(promptTokens, CHUNK_TOKENS * tokensPerEvent);
  return unitMs + (slowness * readTokens) / promptTokensPerMs;
}

/**
 * Reports whether a prompt makes running streams pause for too long. An engine that is too slow even
 * without a prompt is not kept idle for that.
 */
export function isTooLong(input: PauseInput, maxPauseMs: number): boolean {
  const allowedMs = MAX_PAUSE_SHARE * maxPauseMs;
  return input.unitMs <= allowedMs && estimatePauseMs(input) > allowedMs;
}
