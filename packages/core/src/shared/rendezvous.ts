/**
 * Rendezvous hashing: every process ranks the same ids for the same key in the
 * same order, without talking to another.
 */
import * as xxhash from 'xxhash-wasm';

const hasher = await xxhash.default();

/** Hashes text to an unsigned 32-bit number. */
export function hashText(text: string): number {
  return hasher.h32(text);
}

/** Ranks ids for a key, the winner first; equal scores fall back to the id. */
export function rankByRendezvous(key: string, ids: readonly string[]): string[] {
  const scored = ids.map((id) => ({ id, score: hasher.h32(`${key}\u0000${id}`) }));
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scored.map((entry) => entry.id);
}
