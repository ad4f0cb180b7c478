/** Which backend servers operators have had evacuated with their failure domains. */
import type * as storeRevision from '../shared/store-revision.js';
import type * as backendServers from './backend-servers.js';
import * as evacuations from './evacuations.js';

/** Takes in changes of what is evacuated; gives those that are news. */
export function applyEvacuations(
  servers: backendServers.BackendServers,
  changes: readonly evacuations.EvacuationChange[],
  now: number,
): evacuations.EvacuationChange[] {
  const news = changes
    .map((change) => evacuations.applyEvacuation(servers.evacuations, change, now))
    .filter((change) => change !== undefined);
  servers.revision += news.length;
  return news;
}

/** Takes in all evacuations, as they were at a revision of the store or later. */
export function applyEvacuationList(
  servers: backendServers.BackendServers,
  listed: readonly evacuations.EvacuationChange[],
  revision: storeRevision.StoreRevision,
  now: number,
): evacuations.EvacuationChange[] {
  if (revision.epoch > servers.readRevision.epoch) {
    evacuations.holdUntold(servers.evacuations, listed, now);
    return applyEvacuations(servers, listed, now);
  }
  const ended = evacuations.listEnded(servers.evacuations, listed, revision);
  return applyEvacuations(servers, [...listed, ...ended], now);
}

/** Ends evacuations that the store has not told of again in time. */
export function expireEvacuations(
  servers: backendServers.BackendServers,
  now: number,
): evacuations.EvacuationChange[] {
  const ended = evacuations.listExpired(servers.evacuations, servers.readRevision, now);
  return applyEvacuations(servers, ended, now);
}

/** Tells whether a service has backend servers, all of them in evacuated domains. */
export function isServiceEvacuated(
  servers: backendServers.BackendServers,
  service: string,
): boolean {
  // Asked for each request; a fleet has thousands of backend servers, and rarely this.
  if (!evacuations.isAnyEvacuated(servers.evacuations)) {
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
