/**
 * Splits the backend servers of a service into cells and ranks the gateways that may schedule one.
 *
 * Every gateway computes both from its own data by rendezvous hashing, without coordination. When
 * a backend server or gateway is added or removed, few assignments change.
 */
import * as rendezvous from '../shared/rendezvous.js';

/**
 * Target number of backend servers per cell. Fewer, larger cells waste less capacity on separate
 * queues, but with more backend servers in a cell, its scheduling would need more processor time
 * than one gateway has.
 */
const SERVERS_PER_CELL = 40;
/** Separates the service from the index in the name of a cell. */
const SEPARATOR = '/';

/** Computes the number of cells of a service with the given number of backend servers. */
export function countCells(servers: number): number {
  return Math.max(Math.round(servers / SERVERS_PER_CELL), 1);
}

/** Builds the name of a cell. */
export function formatCellName(service: string, index: number): string {
  return `${service}${SEPARATOR}${index}`;
}

/** Parses the service from the name of a cell. */
export function parseCellService(cellName: string): string {
  return cellName.slice(0, cellName.lastIndexOf(SEPARATOR));
}

/** Lists the names of all cells of a service with the given number of backend servers. */
export function listCellNames(service: string, servers: number): string[] {
  return Array.from({ length: countCells(servers) }, (_, index) => formatCellName(service, index));
}

/** Finds the cell to which a backend server belongs. */
export function findCell(cellNames: readonly string[], serverId: string): string {
  return cellNames.length === 1
    ? cellNames[0]
    : rendezvous.rankByRendezvous(serverId, cellNames)[0];
}

/** The gateways that may schedule a cell, the preferred one first. */
export type SchedulerOrder = readonly rendezvous.ScoredId[];

/** Ranks the gateways that may schedule a cell, the preferred one first. */
export function rankSchedulers(cellName: string, addresses: readonly string[]): SchedulerOrder {
  return rendezvous.rankScored(cellName, addresses);
}

/** Updates a ranking for gateways that were added and others that are gone. */
export function updateSchedulerOrder(
  cellName: string,
  order: SchedulerOrder,
  added: readonly string[],
  gone: ReadonlySet<string>,
): SchedulerOrder {
  return rendezvous.updateRanked(cellName, order, added, gone);
}
