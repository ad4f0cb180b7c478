/**
 * Which backend server this entry last sent a prompt's prefix to.
 *
 * Engines publish cache events late and with gaps; an entry's own recent
 * choices say as much and cost no message. Prefixes are remembered within one
 * workspace only, so that no workspace learns from timing what another asks.
 */

type Remembered = { backendServerId: string; sentMs: number };

/** In order of last use, the oldest first. */
export type PrefixMemory = Map<string, Remembered>;

export type PrefixMatch = { backendServerId: string; cachedTokens: number };

/** Tokens that the first hash covers; each further hash covers twice as many. */
export const FIRST_PREFIX_TOKENS = 256;

const MAX_REMEMBERED = 8192;
/** Engines drop prefixes from their limited memory; older ones are not counted on. */
const REMEMBERED_MS = 300_000;

/** Builds the key of one prefix. */
function toPrefixKey(workspace: string, hash: number): string {
  return `${workspace}\u0000${hash}`;
}

/** Remembers where a request was sent. */
export function recordPrefix(
  memory: PrefixMemory,
  workspace: string,
  hashes: readonly number[],
  backendServerId: string,
  now: number,
): void {
  hashes.forEach((hash) => {
    const key = toPrefixKey(workspace, hash);
    memory.delete(key);
    memory.set(key, { backendServerId, sentMs: now });
  });
  while (memory.size > MAX_REMEMBERED) {
    const [oldest] = memory.keys();
    memory.delete(oldest);
  }
}

/** Finds who has the longest known prefix of a request. */
export function findPrefix(
  memory: PrefixMemory,
  workspace: string,
  hashes: readonly number[],
  now: number,
): PrefixMatch | undefined {
  for (let index = hashes.length - 1; index >= 0; index -= 1) {
    const known = memory.get(toPrefixKey(workspace, hashes[index]));
    if (known !== undefined && now - known.sentMs <= REMEMBERED_MS) {
      const { backendServerId } = known;
      return { backendServerId, cachedTokens: FIRST_PREFIX_TOKENS * 2 ** index };
    }
  }
  return undefined;
}
