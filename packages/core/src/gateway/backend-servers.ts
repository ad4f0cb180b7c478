/**
 * Which backend servers a gateway knows and may send to.
 *
 * Entries come from the store. An entry that disappears right after the store
 * was away may only have lapsed while its backend server could not renew it; it
 * stays usable until the time in which living ones are back has passed. Any
 * other entry that disappears is gone at once.
 *
 * One that has said in an answer that it leaves gets nothing new for the rest of its life: its
 * entry may tell so late, or never while the store is away.
 *
 * Those in a failure domain that operators have had evacuated get nothing new either,
 * whatever their entries say.
 */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as storeRevision from '../shared/store-revision.js';
import * as evacuations from './evacuations.js';
import type * as serverEntries from './server-entries.js';
import * as serverStatements from './server-statements.js';

export type KnownServer = {
  entry: backendServerEntry.BackendServerEntry;
  /** Its entry disappeared while entries may have lapsed; usable until this time. */
  missingUntilMs: number | undefined;
  /** Another backend server answered at its address. */
  displaced: boolean;
  /** When its entry was read last, and when this life was first seen, milliseconds. */
  readMs: number;
  firstSeenMs: number;
  /** Gets no new work until this time, milliseconds: see `server-entries.ts`. */
  heldUntilMs: number;
};

/** A backend server that is gone: its life, and when it went. */
export type Departure = {
  bornMs: number;
  /** Epoch of the store in which it went. */
  epoch: number;
  atMs: number;
};

export type BackendServers = {
  byId: Map<string, KnownServer>;
  /** Those that went lately, by id. */
  departed: Map<string, Departure>;
  /** Until this time an entry that disappears may still come back. */
  returnUntilMs: number;
  /** What backend servers have stated in their answers. */
  statements: serverStatements.ServerStatements;
  evacuations: evacuations.Evacuations;
  /** Revision of the store up to which this gateway has read. */
  readRevision: storeRevision.StoreRevision;
  /** Goes up with each change. */
  revision: number;
};

/** Creates an empty register. */
export function createBackendServers(): BackendServers {
  return {
    byId: new Map(),
    departed: new Map(),
    returnUntilMs: 0,
    statements: new Map(),
    evacuations: evacuations.createEvacuations(),
    readRevision: storeRevision.EARLIEST_REVISION,
    revision: 0,
  };
}

/** Notes that the store has returned: living entries are back within the given time. */
export function noteStoreReturned(servers: BackendServers, returnMs: number, now: number): void {
  servers.returnUntilMs = now + returnMs;
}

/** Notes that another backend server answered at the address of this one. */
export function noteDisplaced(
  servers: BackendServers,
  id: string,
): serverEntries.MembershipChange | undefined {
  const known = servers.byId.get(id);
  if (known === undefined || known.displaced) {
    return undefined;
  }
  known.displaced = true;
  servers.revision += 1;
  return { id, service: known.entry.service, change: 'displaced' };
}

/**
 * Takes in what an answer of a backend server states, and gives what is news.
 *
 * An answer to a request from before a restart, which arrives after it, says nothing of the new
 * life.
 */
export function applyStatement(
  servers: BackendServers,
  life: serverStatements.ServerLife,
  statement: serverStatements.ResponseStatement,
  now: number,
): serverStatements.StatementChange[] {
  const { id, bornMs } = life;
  const { sentWallMs } = statement;
  const knownBornMs = servers.byId.get(id)?.entry.bornMs ?? bornMs;
  if (!serverStatements.isAbout({ bornMs, sentWallMs }, knownBornMs)) {
    return [];
  }
  const present = { id, bornMs: knownBornMs };
  const changes = serverStatements.noteStatement(servers.statements, present, statement, now);
  servers.revision += changes.length;
  return changes;
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
  { entry, displaced, missingUntilMs, heldUntilMs }: KnownServer,
  now: number,
): boolean {
  return (
    !entry.leaving &&
    !serverStatements.isLeaving(servers.statements, entry) &&
    !displaced &&
    now < (missingUntilMs ?? Infinity) &&
    now >= heldUntilMs &&
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
