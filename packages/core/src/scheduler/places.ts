/**
 * Counts the slots in use in a cell. A slot is one request's share of a backend server's
 * concurrency; names in the code and in messages call it a place.
 *
 * Every `ScheduleAsk` reports all requests that its gateway has in flight, so the next one makes
 * up for a lost datagram. A grant that the gateway has not yet reported as used also counts as
 * in use until it expires, because the gateway does not use it after that.
 */
import type * as cells from './cell.js';

/**
 * An unreported grant expires after this time, milliseconds. A gateway may use a grant for
 * `GRANT_USE_MS` after it sent the corresponding `ScheduleAsk`; the remainder allows for the
 * delay of the datagram that reports it.
 */
const GRANT_EXPIRY_MS = 600;
/** How long a gateway may use a grant after sending its `ScheduleAsk`, milliseconds. */
export const GRANT_USE_MS = 400;
/**
 * A scheduler that takes over a cell learns what is in flight from the `ScheduleAsk` messages of
 * the gateways. Every gateway with requests in flight sends one within this time, milliseconds.
 * Until then the scheduler grants only `TAKEOVER_SHARE` of the slots. Granting all of them could
 * give engines twice as many requests as they process at once.
 */
const TAKEOVER_MS = 250;
export const TAKEOVER_SHARE = 0.5;

/** The slots of a cell: all of them, those that may be granted, and those in use. */
export type PlaceCount = {
  all: number;
  usable: number;
  taken: number;
  takenByServer: Map<string, number>;
};

/** Adds an amount to the count stored under a name. */
function addTo(counts: Map<string, number>, name: string, amount: number): void {
  counts.set(name, (counts.get(name) ?? 0) + amount);
}

/** Removes expired grants. */
export function expireGrants(cell: cells.Cell, now: number): void {
  cell.askers.forEach((asker) => {
    asker.unreportedGrants = asker.unreportedGrants.filter(
      ({ grantedMs }) => now - grantedMs <= GRANT_EXPIRY_MS,
    );
  });
}

/** Counts the slots in use at each backend server. */
export function countTaken(cell: cells.Cell): Map<string, number> {
  const taken = new Map<string, number>();
  cell.askers.forEach(({ inFlight, unreportedGrants }) => {
    inFlight.forEach((requests, serverId) => addTo(taken, serverId, requests));
    unreportedGrants.forEach(({ serverId }) => addTo(taken, serverId, 1));
  });
  return taken;
}

/** Reports whether this gateway took over a cell too recently to know all that is in flight. */
export function isTakingOver(cell: cells.Cell, now: number): boolean {
  return now - cell.createdMs < TAKEOVER_MS;
}
