/** The prefix cache of the stand-in engine: leading blocks of prompts, in bounded memory. */
import * as crypto from 'node:crypto';

/** Blocks by digest, the one used longest ago first. */
export type PrefixCache = { blocks: Set<string>; maxBlocks: number };

const BYTES_PER_TOKEN = 4;
const BLOCK_TOKENS = 64;
const BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN;

/** Counts the tokens of a prompt. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / BYTES_PER_TOKEN);
}

/** Lists the digests of a prompt's whole leading blocks; each covers all before it. */
function listBlocks(text: string): string[] {
  const hash = crypto.createHash('sha256');
  return Array.from({ length: Math.floor(text.length / BLOCK_BYTES) }, (_, index) => {
    hash.update(text.slice(index * BLOCK_BYTES, (index + 1) * BLOCK_BYTES));
    return hash.copy().digest('hex');
  });
}

/** Takes a prompt into the cache; the tokens that are left to be worked through. */
export function takePrompt(cache: PrefixCache, text: string): number {
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
