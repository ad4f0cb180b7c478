/** Computes when the warm-up of backend servers ends. */
import * as storeRevision from '../shared/store-revision.js';
import type * as backendServers from './backend-servers.js';
import type * as configurationIndex from './configuration-index.js';
import * as evacuations from './evacuations.js';

/**
 * Computes when the warm-up of a backend server ends, in milliseconds; -Infinity if it is warm.
 *
 * The store entry of a backend server contains the remaining warm-up time, but arrives late. A
 * backend server is therefore also treated as warming up in two cases: after its failure domain
 * returns to service, until an entry written after the return arrives; and after its incarnation
 * is first seen, if its entry does not contain a warm-up time. Otherwise all queued requests would
 * go to the emptiest backend server and crash it.
 *
 * @param warmUpMs duration of the warm-up of the service's backend servers, in milliseconds
 */
export function computeWarmUpEnd(
  servers: backendServers.BackendServers,
  { entry, readMs, firstSeenMs }: backendServers.KnownServer,
  warmUpMs: number,
): number {
  const { warmUpLeftMs, failureDomain, revision } = entry;
  const stated = warmUpLeftMs === undefined ? firstSeenMs + warmUpMs : readMs + warmUpLeftMs;
  const domainReturn = evacuations.findDomainReturn(servers.evacuations, failureDomain);
  const isEntryNewer =
    domainReturn !== undefined && storeRevision.isLater(revision, domainReturn.revision);
  const returned =
    domainReturn === undefined || isEntryNewer ? -Infinity : domainReturn.atMs + warmUpMs;
  return Math.max(warmUpLeftMs === 0 ? -Infinity : stated, returned);
}

/** Lists when the warm-up of backend servers ends, by id, in milliseconds; without warm ones. */
export function listWarming(
  servers: backendServers.BackendServers,
  knownServers: Iterable<backendServers.KnownServer>,
  index: configurationIndex.ConfigurationIndex | undefined,
  now: number,
): Map<string, number> {
  const times = [...knownServers].flatMap((known) => {
    const { id, service } = known.entry;
    const warmUp = index?.serviceByName.get(service)?.warmUp;
    const untilMs = warmUp && computeWarmUpEnd(servers, known, warmUp.durationMs);
    return untilMs !== undefined && untilMs > now ? [[id, untilMs] as const] : [];
  });
  return new Map(times);
}
