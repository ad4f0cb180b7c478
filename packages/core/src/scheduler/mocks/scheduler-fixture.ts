/** Builders of scheduler inputs for tests. */
import type * as backendServerEntry from '../../shared/backend-server-entry.js';
import type * as candidates from '../candidates.js';

/** Describes the given backend servers as those of a cell, all of them warm. */
export function buildServers(
  entries: readonly backendServerEntry.BackendServerEntry[],
  changes: Partial<candidates.CellServers> = {},
): candidates.CellServers {
  return {
    entries,
    tokensPerEvent: 1,
    areEngines: true,
    maxPauseMs: Infinity,
    placeShare: 1,
    reachableShare: 1,
    hasPeers: false,
    warmUp: undefined,
    warmUpEndMs: new Map(),
    recentEntries: new Map(),
    ...changes,
  };
}
