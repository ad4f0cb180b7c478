/** Applies evacuations of failure domains to the backend servers in them. */
import type * as storeRevision from '../shared/store-revision.js';
import type * as backendServers from './backend-servers.js';
import * as evacuations from './evacuations.js';

/** Applies changes of evacuations; returns those that took effect. */
export function applyEvacuations(
  servers: backendServers.BackendServers,
  changes: readonly evacuations.EvacuationChange[],
  now: number,
): evacuations.EvacuationChange[] {
  const applied = changes
    .map((change) => evacuations.applyEvacuation(servers.evacuations, change, now))
    .filter((change) => change !== undefined);
  servers.revision += applied.length;
  return applied;
}

/** Applies the list of all evacuations, read at the given store revision or later. */
export function applyEvacuationList(
  servers: backendServers.BackendServers,
  listed: readonly evacuations.EvacuationChange[],
  revision: storeRevision.StoreRevision,
  now: number,
): evacuations.EvacuationChange[] {
  if (revision.epoch > servers.readRevision.epoch) {
    evacuations.holdUnlisted(servers.evacuations, listed, now);
    return applyEvacuations(servers, listed, now);
  }
  const ended = evacuations.listEnded(servers.evacuations, listed, revision);
  return applyEvacuations(servers, [...listed, ...ended], now);
}

/** Ends evacuations that were missing from a restored store and not written again in time. */
export function expireEvacuations(
  servers: backendServers.BackendServers,
  now: number,
): evacuations.EvacuationChange[] {
  const ended = evacuations.listExpired(servers.evacuations, servers.readRevision, now);
  return applyEvacuations(servers, ended, now);
}

/** Returns whether a service has backend servers and all of them are in evacuated domains. */
export function isServiceEvacuated(
  servers: backendServers.BackendServers,
  service: string,
): boolean {
  // Called for each request: skip the search through thousands of backend servers if nothing
  // is evacuated, which is nearly always the case.
  if (!evacuations.hasEvacuations(servers.evacuations)) {
    return false;
  }
  const inUse = [...servers.byId.values()].filter(
    ({ entry }) => entry.service === service && !entry.leaving,
  );
  return (
    inUse.length > 0 &&
    inUse.every(({ entry }) => evacuations.isEvacuated(servers.evacuations, entry.failureDomain))
  );
}
