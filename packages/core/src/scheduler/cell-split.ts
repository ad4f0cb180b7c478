/**
 * How the backend servers of a service are split into cells, and who schedules one.
 *
 * Both are worked out by every gateway from what it knows anyway, with rendezvous
 * hashing: one backend server or gateway more or less changes the place of few.
 */
import * as rendezvous from '../shared/rendezvous.js';

/**
 * Backend servers of a cell. The fewer cells a service has, the less is lost between
 * their queues. With more backend servers in one, its gateway would decide on more
 * requests than its processor bears.
 */
const CELL_SERVERS = 40;
/** Stands between the service and the number in the name of a cell. */
const SEPARATOR = '/';

/** Counts the cells of a service. */
export function countCells(servers: number): number {
  return Math.max(Math.round(servers / CELL_SERVERS), 1);
}

/** Names a cell. */
export function formatCellName(service: string, index: number): string {
  return `${service}${SEPARATOR}${index}`;
}

/** Gets the service that a cell is of. */
export function parseCellService(cellName: string): string {
  return cellName.slice(0, cellName.lastIndexOf(SEPARATOR));
}

/** Lists the names of all cells of a service. */
export function listCellNames(service: string, servers: number): string[] {
  return Array.from({ length: countCells(servers) }, (_, index) => formatCellName(service, index));
}

/** Finds the cell that a backend server is in. */
export function findCell(cellNames: readonly string[], serverId: string): string {
  return cellNames.length === 1
    ? cellNames[0]
    : rendezvous.rankByRendezvous(serverId, cellNames)[0];
}

/** Gateways in the order in which they should schedule a cell. */
export type SchedulerOrder = readonly rendezvous.ScoredId[];

/** Ranks gateways by who should schedule a cell, the first before the others. */
export function rankSchedulers(cellName: string, addresses: readonly string[]): SchedulerOrder {
  return rendezvous.rankScored(cellName, addresses);
}

/** Brings an order in line with gateways that have come, and others that have gone. */
export function updateSchedulerOrder(
  cellName: string,
  order: SchedulerOrder,
  added: readonly string[],
  gone: ReadonlySet<string>,
): SchedulerOrder {
  return rendezvous.updateRanked(cellName, order, added, gone);
}
