/** Until when backend servers warm up, as this gateway knows. */
import * as storeRevision from '../shared/store-revision.js';
import type * as backendServers from './backend-servers.js';
import type * as configurationIndex from './configuration-index.js';
import * as evacuations from './evacuations.js';

/**
 * Computes until when a backend server warms up, milliseconds; -Infinity where it does not.
 *
 * Its entry tells, but late. It is taken as warming as well from the return of its failure
 * domain on, until an entry that was written after that says otherwise, and from the first
 * sight of a life whose entry says nothing: else the calls that wait for a place would all
 * go to the emptiest backend server, and crash it.
 *
 * @param warmUpMs how long backend servers of its service warm up, milliseconds
 */
export function computeWarmUntil(
  servers: backendServers.BackendServers,
  { entry, readMs, firstSeenMs }: backendServers.KnownServer,
  warmUpMs: number,
): number {
  const { warmUpLeftMs, failureDomain, revision } = entry;
  const told = warmUpLeftMs === undefined ? firstSeenMs + warmUpMs : readMs + warmUpLeftMs;
  const domainReturn = evacuations.findReturn(servers.evacuations, failureDomain);
  const isToldSince =
    domainReturn !== undefined && storeRevision.isLater(revision, domainReturn.revision);
  const returned =
    domainReturn === undefined || isToldSince ? -Infinity : domainReturn.atMs + warmUpMs;
  return Math.max(warmUpLeftMs === 0 ? -Infinity : told, returned);
}

/** Lists until when some backend servers warm up, those that do, by id, milliseconds. */
export function listWarming(
  servers: backendServers.BackendServers,
  some: Iterable<backendServers.KnownServer>,
  index: configurationIndex.ConfigurationIndex | undefined,
  now: number,
): Map<string, number> {
  const times = [...some].flatMap((known) => {
    const { id, service } = known.entry;
    const warmUp = index?.serviceByName.get(service)?.warmUp;
    const untilMs = warmUp && computeWarmUntil(servers, known, warmUp.durationMs);
    return untilMs !== undefined && untilMs > now ? [[id, untilMs] as const] : [];
  });
  return new Map(times);
}
