/**
 * Rendezvous hashing: all processes rank the same ids in the same order for a key, without
 * coordination.
 */
import * as xxhash from 'xxhash-wasm';

const hasher = await xxhash.default();

/** Hashes text to an unsigned 32-bit number. */
export function hashText(text: string): number {
  return hasher.h32(text);
}

/** An id and its score for a key. */
export type ScoredId = { id: string; score: number };

/** Compares two scored ids: the higher score goes first, equal scores are ordered by id. */
function compareScored(a: ScoredId, b: ScoredId): number {
  return b.score - a.score || (a.id < b.id ? -1 : 1);
}

/** Ranks ids for a key, the highest score first, and returns them with their scores. */
export function rankScored(key: string, ids: readonly string[]): ScoredId[] {
  const scored = ids.map((id) => ({ id, score: hasher.h32(`${key}\u0000${id}`) }));
  return scored.sort(compareScored);
}

/** Ranks ids for a key, the highest score first. */
export function rankByRendezvous(key: string, ids: readonly string[]): string[] {
  return rankScored(key, ids).map(({ id }) => id);
}

/**
 * Returns whether an id is among the first `count` of the ranking of all ids. For most ids this is
 * decided by a few scores.
 */
export function isAmongFirst(
  key: string,
  id: string,
  ids: readonly string[],
  count: number,
): boolean {
  const [own] = rankScored(key, [id]);
  let before = 0;
  return !ids.some((other) => {
    const isBefore = other !== id && compareScored(rankScored(key, [other])[0], own) < 0;
    before += Number(isBefore);
    return before === count;
  });
}

/** Updates a ranking for ids that were added and others that are gone. */
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
