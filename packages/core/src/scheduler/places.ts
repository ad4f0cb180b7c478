/**
 * How many places of a cell are taken.
 *
 * Each ask tells all that its gateway has in flight, so that a lost datagram mends
 * itself. Grants that the gateway has not told of yet count besides, until they have
 * run out: it then uses them no more.
 */
import type * as cells from './cell.js';

/**
 * A grant that nobody tells of is over after this time, milliseconds. A gateway uses
 * grants for `GRANT_USE_MS` after it sent the ask that they answer; the rest covers
 * its datagram on the way.
 */
const GRANT_MS = 600;
/** How long a gateway may use a grant, from the sending of the ask on, milliseconds. */
export const GRANT_USE_MS = 400;
/**
 * A scheduler that takes a cell over learns what is in flight as gateways ask it, which
 * all that have something do within this time, milliseconds. Until then it gives out
 * a part of the places: with all of them, engines would get twice what they work on.
 */
const TAKEOVER_MS = 250;
export const TAKEOVER_SHARE = 0.5;

/** Places of a cell, those that may be used, and those that are taken. */
export type PlaceCount = {
  all: number;
  usable: number;
  taken: number;
  takenByServer: Map<string, number>;
};

/** Adds to a count by name. */
function addTo(counts: Map<string, number>, name: string, amount: number): void {
  counts.set(name, (counts.get(name) ?? 0) + amount);
}

/** Forgets grants that are over. */
export function expireGrants(cell: cells.Cell, now: number): void {
  cell.askers.forEach((asker) => {
    asker.openGrants = asker.openGrants.filter(({ grantedMs }) => now - grantedMs <= GRANT_MS);
  });
}

/** Counts the requests at each backend server. */
export function countTaken(cell: cells.Cell): Map<string, number> {
  const taken = new Map<string, number>();
  cell.askers.forEach(({ inFlight, openGrants }) => {
    inFlight.forEach((requests, serverId) => addTo(taken, serverId, requests));
    openGrants.forEach(({ serverId }) => addTo(taken, serverId, 1));
  });
  return taken;
}

/** Tells whether this gateway has just begun to schedule a cell. */
export function isNew(cell: cells.Cell, now: number): boolean {
  return now - cell.createdMs < TAKEOVER_MS;
}
