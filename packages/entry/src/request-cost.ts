/** Estimates what a request costs before it runs. */

/** Rough length of a token in bytes of JSON text. */
const BYTES_PER_TOKEN = 4;
/** Answer length assumed where the caller gives no bound, tokens. */
const DEFAULT_RESPONSE_TOKENS = 256;

/** Reads the caller's bound on its answer, tokens; 0 where it gives none. */
export function parseMaxTokens(maxTokens: unknown): number {
  return typeof maxTokens === 'number' && maxTokens > 0 ? maxTokens : 0;
}

/** Estimates tokens of prompt and answer. */
export function estimateTokens(payloadBytes: number, maxTokens: unknown): number {
  const answer = parseMaxTokens(maxTokens) || DEFAULT_RESPONSE_TOKENS;
  return Math.ceil(payloadBytes / BYTES_PER_TOKEN) + answer;
}
