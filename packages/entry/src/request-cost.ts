/** Estimates the cost of a request before it runs. */

/** Approximate length of a token, bytes of JSON text. */
const BYTES_PER_TOKEN = 4;
/** Response length assumed if the caller gives no limit, tokens. */
const DEFAULT_RESPONSE_TOKENS = 256;

/** Parses the caller's limit on the response length, tokens; 0 if it gives none. */
export function parseMaxTokens(maxTokens: unknown): number {
  return typeof maxTokens === 'number' && maxTokens > 0 ? maxTokens : 0;
}

/** Estimates the tokens of prompt and response together. */
export function estimateTokens(payloadBytes: number, maxTokens: unknown): number {
  const responseTokens = parseMaxTokens(maxTokens) || DEFAULT_RESPONSE_TOKENS;
  return Math.ceil(payloadBytes / BYTES_PER_TOKEN) + responseTokens;
}
