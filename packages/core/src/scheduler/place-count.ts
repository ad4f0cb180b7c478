/** Counts how many slots of a cell its scheduler may grant. */
import * as candidates from './candidates.js';
import type * as cells from './cell.js';
import * as places from './places.js';

/**
 * Counts all slots of a cell, those that may be granted, and those in use.
 *
 * Right after a takeover only part of the slots may be granted if other gateways could have
 * requests in flight that have not been reported yet.
 *
 * @param address address of the gateway that runs this scheduler
 */
export function countPlaces(
  address: string,
  cell: cells.Cell,
  servers: candidates.CellServers,
  now: number,
): places.PlaceCount {
  const { placeShare, hasPeers } = servers;
  const takenByServer = places.countTaken(cell);
  const all = candidates.countPlaces(cell, servers, takenByServer, now);
  const mayMissInFlight = hasPeers || [...cell.askers.keys()].some((one) => one !== address);
  const share =
    mayMissInFlight && places.isTakingOver(cell, now)
      ? Math.min(placeShare, places.TAKEOVER_SHARE)
      : placeShare;
  const taken = [...takenByServer.values()].reduce((sum, one) => sum + one, 0);
  return { all, usable: Math.ceil(all * share), taken, takenByServer };
}
