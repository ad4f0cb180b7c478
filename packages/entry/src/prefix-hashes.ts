/** Hashes the leading pieces of a prompt, so that its prefix is found again. */
import * as core from '@toucanproxy/core';

/** Rough length of a token in characters of text. */
const CHARACTERS_PER_TOKEN = 4;
/** Pieces double in length; this many reach half a million tokens. */
const MAX_PREFIXES = 12;

/** What a model request holds its prompt in. */
export type PromptBody = { messages?: unknown; prompt?: unknown };

/** Hashes leading pieces, the shortest first, each twice as long as the one before. */
export function hashPrefixes(text: string): number[] {
  const lengths = Array.from(
    { length: MAX_PREFIXES },
    (_, index) => core.FIRST_PREFIX_TOKENS * CHARACTERS_PER_TOKEN * 2 ** index,
  );
  return lengths
    .filter((length) => length <= text.length)
    .map((length) => core.hashText(text.slice(0, length)));
}

/** Hashes the prefixes of a model request; other fields may vary in front of it. */
export function hashPromptPrefixes(body: PromptBody | undefined): number[] {
  const prompt = body?.messages ?? body?.prompt;
  return prompt === undefined ? [] : hashPrefixes(JSON.stringify(prompt));
}
