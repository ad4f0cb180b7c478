/**
 * Which backend servers a gateway knows and may send to.
 *
 * Entries come from the store. An entry that disappears right after the store
 * was away may only have lapsed while its backend server could not renew it; it
 * stays usable until the time in which living ones are back has passed. Any
 * other entry that disappears is gone at once.
 */
import type * as backendServerEntry from '../shared/backend-server-entry.js';

export type KnownServer = {
  entry: backendServerEntry.BackendServerEntry;
  /** Its entry disappeared while entries may have lapsed; usable until this time. */
  missingUntilMs: number | undefined;
  /** Another backend server answered at its address. */
  displaced: boolean;
};

export type BackendServers = {
  byId: Map<string, KnownServer>;
  /** Until this time an entry that disappears may still come back. */
  returnUntilMs: number;
  /** Goes up with each change. */
  revision: number;
};

/** A change of what is known, for the log. */
export type MembershipChange = {
  id: string;
  service: string;
  change: 'added' | 'restarted' | 'leaving' | 'returned' | 'missing' | 'gone' | 'displaced';
};

/** Creates an empty register. */
export function createBackendServers(): BackendServers {
  return { byId: new Map(), returnUntilMs: 0, revision: 0 };
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
  return known.missingUntilMs === undefined ? undefined : 'returned';
}

/** Takes in an entry. */
export function applyEntry(
  servers: BackendServers,
  entry: backendServerEntry.BackendServerEntry,
): MembershipChange | undefined {
  const known = servers.byId.get(entry.id);
  const change = findChange(known, entry);
  const displaced = change === 'restarted' ? false : (known?.displaced ?? false);
  servers.byId.set(entry.id, { entry, missingUntilMs: undefined, displaced });
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

/** Takes in all entries of the store at once; those not named have disappeared. */
export function applySnapshot(
  servers: BackendServers,
  entries: readonly backendServerEntry.BackendServerEntry[],
  now: number,
): MembershipChange[] {
  const named = new Set(entries.map((entry) => entry.id));
  const missing = [...servers.byId.keys()].filter((id) => !named.has(id));
  return [
    ...entries.map((entry) => applyEntry(servers, entry)),
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
function isUsable({ entry, displaced, missingUntilMs }: KnownServer, now: number): boolean {
  return !entry.leaving && !displaced && now < (missingUntilMs ?? Infinity);
}

/** Finds the entry of a backend server that may get new work. */
export function findUsable(
  servers: BackendServers,
  id: string,
  now: number,
): backendServerEntry.BackendServerEntry | undefined {
  const known = servers.byId.get(id);
  return known !== undefined && isUsable(known, now) ? known.entry : undefined;
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
    .filter((known) => known.entry.service === service && isUsable(known, now))
    .map(({ entry }) => entry);
}
