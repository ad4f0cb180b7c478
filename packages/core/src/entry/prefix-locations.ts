/**
 * The backend server to which this entry last sent each prompt prefix.
 *
 * Engines publish cache events late and with gaps. An entry's own recent
 * placements are about as accurate and need no messages. Prefixes are kept apart
 * by workspace, so that no workspace can learn from timing what another one asks.
 */

type PrefixLocation = { backendServerId: string; sentMs: number };

/** Ordered by last use, the oldest first. */
export type PrefixLocations = Map<string, PrefixLocation>;

export type PrefixMatch = { backendServerId: string; cachedTokens: number };

/** Tokens that the first hash covers; each further hash covers twice as many. */
export const FIRST_PREFIX_TOKENS = 256;

const MAX_LOCATIONS = 8192;
/** Engines evict prefixes from their limited memory, so older locations are ignored. */
const LOCATION_TTL_MS = 300_000;

/** Builds the key of one prefix. */
function toPrefixKey(workspace: string, hash: number): string {
  return `${workspace}\u0000${hash}`;
}

/** Records where a request was sent. */
export function recordPrefix(
  locations: PrefixLocations,
  workspace: string,
  hashes: readonly number[],
  backendServerId: string,
  now: number,
): void {
  hashes.forEach((hash) => {
    const key = toPrefixKey(workspace, hash);
    locations.delete(key);
    locations.set(key, { backendServerId, sentMs: now });
  });
  while (locations.size > MAX_LOCATIONS) {
    const [oldest] = locations.keys();
    locations.delete(oldest);
  }
}

/** Returns the location of the longest known prefix of a request. */
export function findPrefix(
  locations: PrefixLocations,
  workspace: string,
  hashes: readonly number[],
  now: number,
): PrefixMatch | undefined {
  for (let index = hashes.length - 1; index >= 0; index -= 1) {
    const known = locations.get(toPrefixKey(workspace, hashes[index]));
    if (known !== undefined && now - known.sentMs <= LOCATION_TTL_MS) {
      const { backendServerId } = known;
      return { backendServerId, cachedTokens: FIRST_PREFIX_TOKENS * 2 ** index };
    }
  }
  return undefined;
}
