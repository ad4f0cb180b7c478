/**
 * Registry of the backend servers that a gateway knows, and which of them may receive requests.
 *
 * Each backend server has a store entry: its record in the configuration store. An entry that
 * disappears right after a store outage may only have expired while its backend server could
 * not renew it. The server stays usable for a grace period in which running backend servers
 * write their entries again. A server whose entry disappears at any other time is removed at
 * once.
 *
 * A backend server that has stated in a response that it is leaving receives no new requests
 * until it restarts: its entry may reflect this late, or not at all during a store outage.
 *
 * Backend servers in an evacuated failure domain receive no new requests either, whatever
 * their entries contain.
 */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as storeRevision from '../shared/store-revision.js';
import * as evacuations from './evacuations.js';
import type * as serverEntries from './server-entries.js';
import * as serverStatements from './server-statements.js';

export type KnownServer = {
  entry: backendServerEntry.BackendServerEntry;
  /** Set if its entry disappeared during the grace period; usable until this time. */
  missingUntilMs: number | undefined;
  /** Another backend server responded at its address. */
  displaced: boolean;
  /** When its entry was last read, and when this incarnation was first seen, in ms. */
  readMs: number;
  firstSeenMs: number;
  /** Receives no new work until this time, in milliseconds: see `server-entries.ts`. */
  heldUntilMs: number;
};

/** The incarnation of a removed backend server, and when it was removed. */
export type Departure = {
  bornMs: number;
  /** Store epoch in which it was removed. */
  epoch: number;
  atMs: number;
};

export type BackendServers = {
  byId: Map<string, KnownServer>;
  /** Recently removed backend servers, by id. */
  departed: Map<string, Departure>;
  /** Entries that disappear before this time count as missing, not as gone. */
  missingGraceUntilMs: number;
  /** Statements that backend servers have made in their responses. */
  statements: serverStatements.ServerStatements;
  evacuations: evacuations.Evacuations;
  /** Store revision up to which this gateway has read. */
  readRevision: storeRevision.StoreRevision;
  /** Incremented with each change. */
  revision: number;
};

/** Creates an empty registry. */
export function createBackendServers(): BackendServers {
  return {
    byId: new Map(),
    departed: new Map(),
    missingGraceUntilMs: 0,
    statements: new Map(),
    evacuations: evacuations.createEvacuations(),
    readRevision: storeRevision.EARLIEST_REVISION,
    revision: 0,
  };
}

/**
 * Records that the store is available again.
 *
 * @param returnMs grace period in which running backend servers write their entries again, in
 *   milliseconds
 */
export function noteStoreReturned(servers: BackendServers, returnMs: number, now: number): void {
  servers.missingGraceUntilMs = now + returnMs;
}

/** Records that another backend server responded at the address of the given one. */
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
 * Applies the statements of a response; returns the resulting changes.
 *
 * A response to a request from before a restart is ignored if it arrives after the restart.
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
  if (!serverStatements.isAboutLife({ bornMs, sentWallMs }, knownBornMs)) {
    return [];
  }
  const present = { id, bornMs: knownBornMs };
  const changes = serverStatements.noteStatement(servers.statements, present, statement, now);
  servers.revision += changes.length;
  return changes;
}

/**
 * Returns whether a backend server may receive new work.
 *
 * The end of the grace period is checked here instead of with the next store response:
 * responses come once a second, so a missing backend server that has left would receive work
 * for up to a second longer.
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

/** Finds the entry of a backend server if it may receive new work. */
export function findUsable(
  servers: BackendServers,
  id: string,
  now: number,
): backendServerEntry.BackendServerEntry | undefined {
  const known = servers.byId.get(id);
  return known !== undefined && isUsable(servers, known, now) ? known.entry : undefined;
}

/** Lists the ids of all backend servers of a service, including those that are leaving. */
export function listIds(servers: BackendServers, service: string): string[] {
  return [...servers.byId.values()]
    .filter(({ entry }) => entry.service === service)
    .map(({ entry }) => entry.id);
}

/** Lists the backend servers of a service that may receive new work. */
export function listUsable(
  servers: BackendServers,
  service: string,
  now: number,
): backendServerEntry.BackendServerEntry[] {
  return [...servers.byId.values()]
    .filter((known) => known.entry.service === service && isUsable(servers, known, now))
    .map(({ entry }) => entry);
}
