/**
 * Takes the entries of backend servers in: from the store, and with grants of schedulers.
 */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as storeRevision from '../shared/store-revision.js';
import type * as backendServers from './backend-servers.js';
import * as serverStatements from './server-statements.js';

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

/**
 * A store that has been restored from an older backup may tell of backend servers that have left
 * since. They are held for this time, milliseconds: entries that nobody renews lapse after
 * three heartbeats, and living backend servers have written theirs again by then.
 */
const HELD_MS = 6000;
/** Those that went are remembered for this time, milliseconds; longer than backups are old. */
const DEPARTED_MS = 60_000;

/** Names the change that a new reading of an entry makes. */
function findChange(
  known: backendServers.KnownServer | undefined,
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
  const isBack = known.missingUntilMs !== undefined || (known.entry.leaving && !entry.leaving);
  if (isBack) {
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

/** Tells whether two entries are one and the same write, read in different epochs. */
function isSameWrite(
  one: backendServerEntry.BackendServerEntry,
  other: backendServerEntry.BackendServerEntry,
): boolean {
  return (
    one.revision.count === other.revision.count &&
    one.bornMs === other.bornMs &&
    one.address === other.address &&
    one.leaving === other.leaving &&
    one.warmUpLeftMs === other.warmUpLeftMs
  );
}

/** Takes in an entry. */
export function applyEntry(
  servers: backendServers.BackendServers,
  entry: backendServerEntry.BackendServerEntry,
  now: number,
): MembershipChange | undefined {
  const known = servers.byId.get(entry.id);
  const change = findChange(known, entry);
  const sameLife = change === 'restarted' ? undefined : known;
  const sameWrite = sameLife && isSameWrite(sameLife.entry, entry) ? sameLife : undefined;
  servers.byId.set(entry.id, {
    // What was written before the store went back stays older than what came after.
    entry: sameWrite?.entry ?? entry,
    missingUntilMs: undefined,
    displaced: sameLife?.displaced ?? false,
    readMs: now,
    firstSeenMs: sameLife?.firstSeenMs ?? now,
    heldUntilMs: sameWrite?.heldUntilMs ?? -Infinity,
  });
  servers.revision += change === undefined ? 0 : 1;
  return change && { id: entry.id, service: entry.service, change };
}

/** Drops a backend server that is gone. */
function dropServer(
  servers: backendServers.BackendServers,
  { entry }: backendServers.KnownServer,
  now: number,
): MembershipChange {
  const { id, service, bornMs } = entry;
  servers.byId.delete(id);
  servers.departed.set(id, { bornMs, epoch: servers.readRevision.epoch, atMs: now });
  servers.revision += 1;
  return { id, service, change: 'gone' };
}

/** Takes in that an entry has disappeared, or names no backend server any more. */
export function removeEntry(
  servers: backendServers.BackendServers,
  id: string,
  now: number,
): MembershipChange | undefined {
  const known = servers.byId.get(id);
  if (known === undefined) {
    return undefined;
  }
  const { service, leaving } = known.entry;
  if (now < servers.returnUntilMs && !leaving) {
    servers.revision += 1;
    known.missingUntilMs ??= servers.returnUntilMs;
    return { id, service, change: 'missing' };
  }
  return dropServer(servers, known, now);
}

/**
 * Holds a backend server back that this gateway knows to have left, where an older backup of
 * the store tells that it is in service. Without that it would get requests while it shuts
 * down, or after. An entry that it has written itself since ends this.
 */
function holdEnded(
  { byId, departed }: backendServers.BackendServers,
  { id, bornMs, revision }: backendServerEntry.BackendServerEntry,
  now: number,
): void {
  const known = byId.get(id);
  const departure = departed.get(id);
  const isEnded = departure?.bornMs === bornMs && revision.epoch > departure.epoch;
  if (known !== undefined && isEnded) {
    known.heldUntilMs = now + HELD_MS;
  }
}

/**
 * Takes in an entry of a store that has been restored from an older backup. One with a lower count
 * than the known one of the same life is older than that.
 */
function applyRestored(
  servers: backendServers.BackendServers,
  entry: backendServerEntry.BackendServerEntry,
  now: number,
): MembershipChange | undefined {
  const known = servers.byId.get(entry.id);
  const isOlder =
    known?.entry.bornMs === entry.bornMs && entry.revision.count < known.entry.revision.count;
  if (!isOlder) {
    const change = applyEntry(servers, entry, now);
    holdEnded(servers, entry, now);
    return change;
  }
  if (!known.entry.leaving) {
    return applyEntry(servers, known.entry, now);
  }
  const change = applyEntry(servers, entry, now);
  servers.departed.set(entry.id, {
    bornMs: entry.bornMs,
    epoch: known.entry.revision.epoch,
    atMs: now,
  });
  holdEnded(servers, entry, now);
  return change;
}

/** Notes that this gateway has read everything up to a revision of the store. */
export function noteReadRevision(
  servers: backendServers.BackendServers,
  revision: storeRevision.StoreRevision,
): void {
  if (storeRevision.isLater(revision, servers.readRevision)) {
    servers.readRevision = revision;
  }
}

/**
 * Takes in an entry that a scheduler tells with a grant; it reads the store more often
 * while work waits. Load pattern: a quarter of the engines is back after a crash in the
 * middle of a burst, and stands empty until each gateway has read of them.
 *
 * What this gateway has read goes first: an entry that is not newer and that it does not
 * know has been removed.
 */
export function applyGrantedEntry(
  servers: backendServers.BackendServers,
  entry: backendServerEntry.BackendServerEntry,
  now: number,
): void {
  if (!servers.byId.has(entry.id) && storeRevision.isLater(entry.revision, servers.readRevision)) {
    applyEntry(servers, entry, now);
    holdEnded(servers, entry, now);
  }
}

/**
 * Takes in all entries of the store at once, as they were at a revision or later. Those
 * not named have disappeared, but for what was written since.
 */
export function applySnapshot(
  servers: backendServers.BackendServers,
  entries: readonly backendServerEntry.BackendServerEntry[],
  revision: storeRevision.StoreRevision,
  now: number,
): MembershipChange[] {
  const named = new Set(entries.map((entry) => entry.id));
  const missing = [...servers.byId]
    .filter(([id, { entry }]) => !named.has(id) && !storeRevision.isLater(entry.revision, revision))
    .map(([id]) => id);
  const isNewEpoch = revision.epoch > servers.readRevision.epoch;
  const applyOne = isNewEpoch ? applyRestored : applyEntry;
  noteReadRevision(servers, revision);
  return [
    ...entries.map((entry) => applyOne(servers, entry, now)),
    ...missing.map((id) => removeEntry(servers, id, now)),
  ].filter((change) => change !== undefined);
}

/** Drops entries that did not come back in time. */
export function expireMissing(
  servers: backendServers.BackendServers,
  now: number,
): MembershipChange[] {
  const late = [...servers.byId].filter(([, known]) => now >= (known.missingUntilMs ?? Infinity));
  [...servers.departed]
    .filter(([, { atMs }]) => now - atMs > DEPARTED_MS)
    .forEach(([id]) => servers.departed.delete(id));
  const findBornMs = (id: string) => servers.byId.get(id)?.entry.bornMs;
  serverStatements.expireStatements(servers.statements, findBornMs, now);
  return late.map(([, known]) => dropServer(servers, known, now));
}
