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

/** An id and its score for a key. */
export type ScoredId = { id: string; score: number };

/** Compares two scored ids; the one with the higher score goes first, equal ones by their ids. */
function compareScored(a: ScoredId, b: ScoredId): number {
  return b.score - a.score || (a.id < b.id ? -1 : 1);
}

/** Ranks ids for a key, the winner first, with their scores. */
export function rankScored(key: string, ids: readonly string[]): ScoredId[] {
  const scored = ids.map((id) => ({ id, score: hasher.h32(`${key}\u0000${id}`) }));
  return scored.sort(compareScored);
}

/** Ranks ids for a key, the winner first. */
export function rankByRendezvous(key: string, ids: readonly string[]): string[] {
  return rankScored(key, ids).map(({ id }) => id);
}

/** Brings a ranking for a key in line with ids that were added, and others that have gone. */
export function updateRanked(
  key: string,
  ranked: readonly ScoredId[],
  added: readonly string[],
  gone: ReadonlySet<string>,
): ScoredId[] {
  const kept = gone.size === 0 ? ranked : ranked.filter(({ id }) => !gone.has(id));
  const fresh = rankScored(key, added);
  const merged: ScoredId[] = [];
  let at = 0;
  kept.forEach((one) => {
    while (at < fresh.length && compareScored(fresh[at], one) < 0) {
      merged.push(fresh[at]);
      at += 1;
    }
    merged.push(one);
  });
  return [...merged, ...fresh.slice(at)];
}
