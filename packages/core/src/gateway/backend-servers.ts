/**
 * Which backend servers a gateway knows and may send to.
 *
 * Entries come from the store. An entry that disappears right after the store
 * was away may only have lapsed while its backend server could not renew it; it
 * stays usable until the time in which living ones are back has passed. Any
 * other entry that disappears is gone at once.
 *
 * Those in a failure domain that operators have had evacuated get nothing new either,
 * whatever their entries say.
 */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as evacuations from './evacuations.js';

export type KnownServer = {
  entry: backendServerEntry.BackendServerEntry;
  /** Its entry disappeared while entries may have lapsed; usable until this time. */
  missingUntilMs: number | undefined;
  /** Another backend server answered at its address. */
  displaced: boolean;
  /** When its entry was read last, and when this life was first seen, milliseconds. */
  readMs: number;
  firstSeenMs: number;
};

export type BackendServers = {
  byId: Map<string, KnownServer>;
  /** Until this time an entry that disappears may still come back. */
  returnUntilMs: number;
  evacuations: evacuations.Evacuations;
  /** Revision of the store up to which this gateway has read. */
  readRevision: number;
  /** Goes up with each change. */
  revision: number;
};

/** A change of what is known, for the log. */
export type MembershipChange = {
  id: string;
  service: string;
  change:
    | 'added'
    | 'restarted'
    | 'leaving'
    | 'returned'
    | 'missing'
    | 'gone'
    | 'displaced'
    | 'warming'
    | 'warm';
};

/** Creates an empty register. */
export function createBackendServers(): BackendServers {
  return {
    byId: new Map(),
    returnUntilMs: 0,
    evacuations: evacuations.createEvacuations(),
    readRevision: -1,
    revision: 0,
  };
}

/** Notes that the store has returned: living entries are back within the given time. */
export function noteStoreReturned(servers: BackendServers, returnMs: number, now: number): void {
  servers.returnUntilMs = now + returnMs;
}

/** Names the change that a new reading of an entry makes. */
function findChange(
  known: KnownServer | undefined,
  entry: backendServerEntry.BackendServerEntry,
): MembershipChange['change'] | undefined {
  if (known === undefined) {
    return 'added';
  }
  if (known.entry.bornMs !== entry.bornMs || known.entry.address !== entry.address) {
    return 'restarted';
  }
  if (entry.leaving && !known.entry.leaving) {
    return 'leaving';
  }
  if (known.missingUntilMs !== undefined) {
    return 'returned';
  }
  return findWarmUpChange(known.entry, entry);
}

/** Names the change of warming up that a new reading tells of. */
function findWarmUpChange(
  before: backendServerEntry.BackendServerEntry,
  entry: backendServerEntry.BackendServerEntry,
): 'warming' | 'warm' | undefined {
  const wasWarming = (before.warmUpLeftMs ?? 0) > 0;
  const isWarming = (entry.warmUpLeftMs ?? 0) > 0;
  if (wasWarming === isWarming) {
    return undefined;
  }
  return isWarming ? 'warming' : 'warm';
}

/** Takes in an entry. */
export function applyEntry(
  servers: BackendServers,
  entry: backendServerEntry.BackendServerEntry,
  now: number,
): MembershipChange | undefined {
  const known = servers.byId.get(entry.id);
  const change = findChange(known, entry);
  const sameLife = change === 'restarted' ? undefined : known;
  servers.byId.set(entry.id, {
    entry,
    missingUntilMs: undefined,
    displaced: sameLife?.displaced ?? false,
    readMs: now,
    firstSeenMs: sameLife?.firstSeenMs ?? now,
  });
  servers.revision += change === undefined ? 0 : 1;
  return change && { id: entry.id, service: entry.service, change };
}

/** Takes in that an entry has disappeared, or names no backend server any more. */
export function removeEntry(
  servers: BackendServers,
  id: string,
  now: number,
): MembershipChange | undefined {
  const known = servers.byId.get(id);
  if (known === undefined) {
    return undefined;
  }
  const { service, leaving } = known.entry;
  servers.revision += 1;
  if (now < servers.returnUntilMs && !leaving) {
    known.missingUntilMs ??= servers.returnUntilMs;
    return { id, service, change: 'missing' };
  }
  servers.byId.delete(id);
  return { id, service, change: 'gone' };
}

/** Notes that this gateway has read everything up to a revision of the store. */
export function noteRead(servers: BackendServers, revision: number): void {
  servers.readRevision = Math.max(servers.readRevision, revision);
}

/**
 * Takes in an entry that a scheduler tells with a grant; it reads the store more often
 * while work waits. Load pattern: a quarter of the engines is back after a crash in the
 * middle of a burst, and stands empty until each gateway has read of them.
 *
 * What this gateway has read goes first: an entry that is not newer and that it does not
 * know has been removed.
 */
export function applyTold(
  servers: BackendServers,
  entry: backendServerEntry.BackendServerEntry,
  now: number,
): void {
  if (!servers.byId.has(entry.id) && entry.revision > servers.readRevision) {
    applyEntry(servers, entry, now);
  }
}

/**
 * Takes in all entries of the store at once, as they were at a revision or later. Those
 * not named have disappeared, but for what was written since.
 */
export function applySnapshot(
  servers: BackendServers,
  entries: readonly backendServerEntry.BackendServerEntry[],
  revision: number,
  now: number,
): MembershipChange[] {
  const named = new Set(entries.map((entry) => entry.id));
  const missing = [...servers.byId]
    .filter(([id, { entry }]) => !named.has(id) && entry.revision <= revision)
    .map(([id]) => id);
  noteRead(servers, revision);
  return [
    ...entries.map((entry) => applyEntry(servers, entry, now)),
    ...missing.map((id) => removeEntry(servers, id, now)),
  ].filter((change) => change !== undefined);
}

/** Drops entries that did not come back in time. */
export function expireMissing(servers: BackendServers, now: number): MembershipChange[] {
  const late = [...servers.byId].filter(([, known]) => now >= (known.missingUntilMs ?? Infinity));
  return late.map(([id, known]) => {
    servers.byId.delete(id);
    servers.revision += 1;
    return { id, service: known.entry.service, change: 'gone' };
  });
}

/** Notes that another backend server answered at the address of this one. */
export function noteDisplaced(servers: BackendServers, id: string): MembershipChange | undefined {
  const known = servers.byId.get(id);
  if (known === undefined || known.displaced) {
    return undefined;
  }
  known.displaced = true;
  servers.revision += 1;
  return { id, service: known.entry.service, change: 'displaced' };
}

/**
 * Tells whether a backend server may get new work.
 *
 * Decided by the time, not by the next answer of the store: a missing one that did
 * not come back has left, and got work up to a second later while answers came once
 * a second.
 */
function isUsable(
  servers: BackendServers,
  { entry, displaced, missingUntilMs }: KnownServer,
  now: number,
): boolean {
  return (
    !entry.leaving &&
    !displaced &&
    now < (missingUntilMs ?? Infinity) &&
    !evacuations.isEvacuated(servers.evacuations, entry.failureDomain)
  );
}

/** Finds the entry of a backend server that may get new work. */
export function findUsable(
  servers: BackendServers,
  id: string,
  now: number,
): backendServerEntry.BackendServerEntry | undefined {
  const known = servers.byId.get(id);
  return known !== undefined && isUsable(servers, known, now) ? known.entry : undefined;
}

/** Lists the ids of all backend servers of a service, those that leave included. */
export function listIds(servers: BackendServers, service: string): string[] {
  return [...servers.byId.values()]
    .filter(({ entry }) => entry.service === service)
    .map(({ entry }) => entry.id);
}

/** Lists the backend servers of a service that may get new work. */
export function listUsable(
  servers: BackendServers,
  service: string,
  now: number,
): backendServerEntry.BackendServerEntry[] {
  return [...servers.byId.values()]
    .filter((known) => known.entry.service === service && isUsable(servers, known, now))
    .map(({ entry }) => entry);
}

/** Takes in changes of what is evacuated; gives those that are news. */
export function applyEvacuations(
  servers: BackendServers,
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
  servers: BackendServers,
  listed: readonly evacuations.EvacuationChange[],
  revision: number,
  now: number,
): evacuations.EvacuationChange[] {
  const ended = evacuations.listEnded(servers.evacuations, listed, revision);
  return applyEvacuations(servers, [...listed, ...ended], now);
}

/** Tells whether a service has backend servers, all of them in evacuated domains. */
export function isServiceEvacuated(servers: BackendServers, service: string): boolean {
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
