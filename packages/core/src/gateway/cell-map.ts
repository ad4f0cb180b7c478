/** Which cell each backend server is in, as this gateway knows them now. */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as scheduler from '../scheduler/index.js';
import * as backendServers from './backend-servers.js';

/** The cells of one service. */
export type ServiceCells = {
  cellNames: string[];
  /** By the id of the backend server; those that are leaving included. */
  cellByServer: Map<string, string>;
  /** Those that may get new work, by cell. */
  usableByCell: Map<string, backendServerEntry.BackendServerEntry[]>;
};

/** Cells that backend servers were found in, while their service had so many cells. */
type KnownCells = { cells: number; byServer: ReadonlyMap<string, string> };

export type CellMap = {
  computedMs: number;
  revision: number;
  byService: Map<string, ServiceCells>;
  /** By service. */
  knownCells: Map<string, KnownCells>;
};

/**
 * The split is used for this long, milliseconds, where no entry changes: entries that
 * were missing run out by time. Whether a backend server may get work is checked once
 * more when a request is sent.
 */
const SPLIT_MS = 200;

/** Creates a split that is worked out at its first use. */
export function createCellMap(): CellMap {
  return { computedMs: -Infinity, revision: -1, byService: new Map(), knownCells: new Map() };
}

/**
 * Finds the cells of some backend servers.
 *
 * Those found before are kept while the number of cells stays. A service of thousands has
 * dozens of cells, each of which is hashed for each backend server: done anew with every
 * change of an entry, that takes all of the processor, and callers wait for seconds.
 */
function findCells(
  known: KnownCells | undefined,
  cellNames: readonly string[],
  ids: readonly string[],
): Map<string, string> {
  const found = known?.cells === cellNames.length ? known.byServer : undefined;
  return new Map(ids.map((id) => [id, found?.get(id) ?? scheduler.findCell(cellNames, id)]));
}

/** Splits the backend servers of a service. */
function buildServiceSplit(
  split: CellMap,
  servers: backendServers.BackendServers,
  service: string,
  now: number,
): ServiceCells {
  const ids = backendServers.listIds(servers, service);
  const cellNames = scheduler.listCellNames(service, ids.length);
  const cellByServer = findCells(split.knownCells.get(service), cellNames, ids);
  split.knownCells.set(service, { cells: cellNames.length, byServer: cellByServer });
  const usableByCell = new Map<string, backendServerEntry.BackendServerEntry[]>(
    cellNames.map((name) => [name, []]),
  );
  backendServers
    .listUsable(servers, service, now)
    .forEach((entry) => usableByCell.get(cellByServer.get(entry.id) ?? '')?.push(entry));
  return { cellNames, cellByServer, usableByCell };
}

/** Finds the cell of a backend server, as the split was worked out last. */
export function findServerCell(
  { byService }: CellMap,
  service: string,
  serverId: string,
): string | undefined {
  return byService.get(service)?.cellByServer.get(serverId);
}

/** Gets the cells of a service. */
export function getServiceCells(
  split: CellMap,
  servers: backendServers.BackendServers,
  service: string,
  now: number,
): ServiceCells {
  if (split.revision !== servers.revision || now - split.computedMs > SPLIT_MS) {
    split.revision = servers.revision;
    split.computedMs = now;
    split.byService.clear();
  }
  const known = split.byService.get(service) ?? buildServiceSplit(split, servers, service, now);
  split.byService.set(service, known);
  return known;
}
