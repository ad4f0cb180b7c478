/** Maps each backend server that this gateway knows to its cell. */
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as scheduler from '../scheduler/index.js';
import * as backendServers from './backend-servers.js';

/** The cells of one service. */
export type ServiceCells = {
  cellNames: string[];
  /** Cell names by backend server id, including servers that are leaving. */
  cellByServer: Map<string, string>;
  /** Backend servers that may receive new work, by cell name. */
  usableByCell: Map<string, backendServerEntry.BackendServerEntry[]>;
};

/** Cells of backend servers, computed for a given number of cells. */
type CellCache = { cells: number; byServer: ReadonlyMap<string, string> };

/** The cells of all services, recomputed when backend servers change or the map is too old. */
export type CellMap = {
  computedMs: number;
  revision: number;
  byService: Map<string, ServiceCells>;
  /** Caches by service. */
  cellCaches: Map<string, CellCache>;
};

/**
 * How long the map is used if no backend server changes, in milliseconds. It must be recomputed
 * from time to time because missing entries expire by time. Whether a backend server may
 * receive work is checked once more when a request is sent.
 */
const MAX_AGE_MS = 200;

/** Creates a map that is computed at its first use. */
export function createCellMap(): CellMap {
  return { computedMs: -Infinity, revision: -1, byService: new Map(), cellCaches: new Map() };
}

/**
 * Finds the cells of backend servers.
 *
 * Results are cached as long as the number of cells stays the same. A service with thousands
 * of backend servers has dozens of cells, and each backend server is hashed with each cell:
 * recomputing this with every change of a store entry would take all processor time, and callers
 * would wait for seconds.
 */
function findCells(
  known: CellCache | undefined,
  cellNames: readonly string[],
  ids: readonly string[],
): Map<string, string> {
  const found = known?.cells === cellNames.length ? known.byServer : undefined;
  return new Map(ids.map((id) => [id, found?.get(id) ?? scheduler.findCell(cellNames, id)]));
}

/** Assigns the backend servers of a service to cells. */
function buildServiceCells(
  cellMap: CellMap,
  servers: backendServers.BackendServers,
  service: string,
  now: number,
): ServiceCells {
  const ids = backendServers.listIds(servers, service);
  const cellNames = scheduler.listCellNames(service, ids.length);
  const cellByServer = findCells(cellMap.cellCaches.get(service), cellNames, ids);
  cellMap.cellCaches.set(service, { cells: cellNames.length, byServer: cellByServer });
  const usableByCell = new Map<string, backendServerEntry.BackendServerEntry[]>(
    cellNames.map((name) => [name, []]),
  );
  backendServers
    .listUsable(servers, service, now)
    .forEach((entry) => usableByCell.get(cellByServer.get(entry.id) ?? '')?.push(entry));
  return { cellNames, cellByServer, usableByCell };
}

/** Finds the cell of a backend server in the map as last computed. */
export function findServerCell(
  { byService }: CellMap,
  service: string,
  serverId: string,
): string | undefined {
  return byService.get(service)?.cellByServer.get(serverId);
}

/** Returns the cells of a service. */
export function getServiceCells(
  cellMap: CellMap,
  servers: backendServers.BackendServers,
  service: string,
  now: number,
): ServiceCells {
  if (cellMap.revision !== servers.revision || now - cellMap.computedMs > MAX_AGE_MS) {
    cellMap.revision = servers.revision;
    cellMap.computedMs = now;
    cellMap.byService.clear();
  }
  const known = cellMap.byService.get(service) ?? buildServiceCells(cellMap, servers, service, now);
  cellMap.byService.set(service, known);
  return known;
}
