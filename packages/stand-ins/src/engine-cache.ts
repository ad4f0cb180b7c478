/** The prefix cache of the stand-in engine: leading blocks of prompts, in bounded memory. */
import * as crypto from 'node:crypto';

/** Digests of cached blocks, the least recently used first. */
export type PrefixCache = { blocks: Set<string>; maxBlocks: number };

const BYTES_PER_TOKEN = 4;
const BLOCK_TOKENS = 64;
const BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN;

/** Estimates the tokens of a prompt. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / BYTES_PER_TOKEN);
}

/** Lists the digests of a prompt's full blocks; each covers all text up to the end of its block. */
function listBlocks(text: string): string[] {
  const hash = crypto.createHash('sha256');
  return Array.from({ length: Math.floor(text.length / BLOCK_BYTES) }, (_, index) => {
    hash.update(text.slice(index * BLOCK_BYTES, (index + 1) * BLOCK_BYTES));
    return hash.copy().digest('hex');
  });
}

/** Adds a prompt to the cache; returns how many of its tokens were not cached. */
export function addPrompt(cache: PrefixCache, text: string): number {
  const blocks = listBlocks(text);
  const firstMissing = blocks.findIndex((block) => !cache.blocks.has(block));
  const cached = firstMissing === -1 ? blocks.length : firstMissing;
  blocks.forEach((block) => {
    cache.blocks.delete(block);
    cache.blocks.add(block);
  });
  [...cache.blocks]
    .slice(0, Math.max(cache.blocks.size - cache.maxBlocks, 0))
    .forEach((block) => cache.blocks.delete(block));
  return countTokens(text) - cached * BLOCK_TOKENS;
}
