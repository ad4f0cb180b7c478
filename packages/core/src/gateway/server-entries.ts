/**
 * Applies store entries of backend servers, which are read from the configuration store or arrive
 * with a scheduler's grants.
 */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as storeRevision from '../shared/store-revision.js';
import type * as backendServers from './backend-servers.js';
import * as serverStatements from './server-statements.js';

/** A change of a known backend server; also logged. */
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
  /** Start of the incarnation that was added or has restarted, ms since the Unix epoch. */
  bornMs?: number;
};

/**
 * A store restored from an older backup may contain backend servers that have left since. They
 * receive no work for this time, in milliseconds: entries that are not renewed expire after
 * three heartbeats, and running backend servers have written theirs again by then.
 */
const RESTORED_HOLD_MS = 6000;
/** How long removed servers are remembered, in milliseconds: longer than a backup's age. */
const DEPARTURE_RETENTION_MS = 60_000;

/** Detects the change between the known state of a backend server and a newly read entry. */
function detectChange(
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
  return detectWarmUpChange(known.entry, entry);
}

/** Detects whether a newly read entry starts or ends the warm-up. */
function detectWarmUpChange(
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

/** Returns whether two entries stem from the same write, read in different store epochs. */
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

/** Applies an entry; returns the change that it makes. */
export function applyEntry(
  servers: backendServers.BackendServers,
  entry: backendServerEntry.BackendServerEntry,
  now: number,
): MembershipChange | undefined {
  const known = servers.byId.get(entry.id);
  const change = detectChange(known, entry);
  const sameLife = change === 'restarted' ? undefined : known;
  const sameWrite = sameLife && isSameWrite(sameLife.entry, entry) ? sameLife : undefined;
  servers.byId.set(entry.id, {
    // An entry from before the restore must stay older than anything written after it.
    entry: sameWrite?.entry ?? entry,
    missingUntilMs: undefined,
    displaced: sameLife?.displaced ?? false,
    readMs: now,
    firstSeenMs: sameLife?.firstSeenMs ?? now,
    heldUntilMs: sameWrite?.heldUntilMs ?? -Infinity,
  });
  servers.revision += change === undefined ? 0 : 1;
  const isNewLife = change === 'added' || change === 'restarted';
  const bornMs = isNewLife ? { bornMs: entry.bornMs } : {};
  return change && { id: entry.id, service: entry.service, change, ...bornMs };
}

/** Removes a backend server from the registry and records its departure. */
function removeServer(
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

/** Handles a store entry that was deleted or no longer describes a backend server. */
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
  if (now < servers.missingGraceUntilMs && !leaving) {
    servers.revision += 1;
    known.missingUntilMs ??= servers.missingGraceUntilMs;
    return { id, service, change: 'missing' };
  }
  return removeServer(servers, known, now);
}

/**
 * Holds back new work for a time from a backend server that is in service according to a restored
 * backup although this gateway knows that it has left. Otherwise the server would receive requests
 * during or after its shutdown. The hold ends once the server writes its entry again.
 */
function holdDeparted(
  { byId, departed }: backendServers.BackendServers,
  { id, bornMs, revision }: backendServerEntry.BackendServerEntry,
  now: number,
): void {
  const known = byId.get(id);
  const departure = departed.get(id);
  const isDeparted =
    departure !== undefined && bornMs <= departure.bornMs && revision.epoch > departure.epoch;
  if (known !== undefined && isDeparted) {
    known.heldUntilMs = now + RESTORED_HOLD_MS;
  }
}

/**
 * Applies an entry of a store that has been restored from an older backup. An entry with a lower
 * write count than the known one of the same incarnation is older than that one. So is an entry of
 * an earlier incarnation: what the later one has stated would otherwise be dropped. The later one
 * writes its entry again, which is then read as a change.
 */
function applyRestored(
  servers: backendServers.BackendServers,
  entry: backendServerEntry.BackendServerEntry,
  now: number,
): MembershipChange | undefined {
  const known = servers.byId.get(entry.id);
  if (known !== undefined && entry.bornMs < known.entry.bornMs) {
    return applyEntry(servers, known.entry, now);
  }
  const isOlder =
    known?.entry.bornMs === entry.bornMs && entry.revision.count < known.entry.revision.count;
  if (!isOlder) {
    const change = applyEntry(servers, entry, now);
    holdDeparted(servers, entry, now);
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
  holdDeparted(servers, entry, now);
  return change;
}

/** Records that this gateway has read everything up to a store revision. */
export function noteReadRevision(
  servers: backendServers.BackendServers,
  revision: storeRevision.StoreRevision,
): void {
  if (storeRevision.isLater(revision, servers.readRevision)) {
    servers.readRevision = revision;
  }
}

/**
 * Applies an entry that arrives with a scheduler's grant: while requests are queued, a scheduler
 * reads the store more often than other gateways. Without such entries, if a quarter of the
 * engines crashed and came back in the middle of a burst, they would stay idle until each gateway
 * had read their entries.
 *
 * What this gateway has read from the store takes precedence: an unknown entry that is not newer
 * than that has been removed since.
 */
export function applyGrantedEntry(
  servers: backendServers.BackendServers,
  entry: backendServerEntry.BackendServerEntry,
  now: number,
): void {
  if (!servers.byId.has(entry.id) && storeRevision.isLater(entry.revision, servers.readRevision)) {
    applyEntry(servers, entry, now);
    holdDeparted(servers, entry, now);
  }
}

/**
 * Applies a snapshot of all entries, read at the given store revision or later. Known entries
 * that are not in it have disappeared, unless they were written after that revision.
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

/** Removes missing entries after the grace period, and outdated departures and statements. */
export function expireMissing(
  servers: backendServers.BackendServers,
  now: number,
): MembershipChange[] {
  const expired = [...servers.byId].filter(
    ([, known]) => now >= (known.missingUntilMs ?? Infinity),
  );
  [...servers.departed]
    .filter(([, { atMs }]) => now - atMs > DEPARTURE_RETENTION_MS)
    .forEach(([id]) => servers.departed.delete(id));
  const findBornMs = (id: string) => servers.byId.get(id)?.entry.bornMs;
  serverStatements.expireStatements(servers.statements, findBornMs, now);
  return expired.map(([, known]) => removeServer(servers, known, now));
}
