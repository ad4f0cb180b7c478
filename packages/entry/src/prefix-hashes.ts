/** Hashes prefixes of a prompt, so that requests with a common prefix can be recognized. */
import * as core from '@toucanproxy/core';

/** Approximate length of a token, characters of text. */
const CHARACTERS_PER_TOKEN = 4;
/** Each prefix is twice as long as the one before; this many reach half a million tokens. */
const MAX_PREFIXES = 12;

/** The fields of a model request that contain its prompt. */
export type PromptBody = { messages?: unknown; prompt?: unknown };

/** Hashes the prefixes of a text, the shortest first, each twice as long as the one before. */
export function hashPrefixes(text: string): number[] {
  const lengths = Array.from(
    { length: MAX_PREFIXES },
    (_, index) => core.FIRST_PREFIX_TOKENS * CHARACTERS_PER_TOKEN * 2 ** index,
  );
  return lengths
    .filter((length) => length <= text.length)
    .map((length) => core.hashText(text.slice(0, length)));
}

/**
 * Hashes the prefixes of a model request's prompt alone, because other fields may
 * vary and precede it.
 */
export function hashPromptPrefixes(body: PromptBody | undefined): number[] {
  const prompt = body?.messages ?? body?.prompt;
  return prompt === undefined ? [] : hashPrefixes(JSON.stringify(prompt));
}
