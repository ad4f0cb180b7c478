/** What a gateway tells operators of its present state. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as storeFollower from './store-follower.js';

/** Describes who schedules which cell, and what this gateway schedules itself. */
function describeCells(state: gateway.GatewayState): Record<string, unknown>[] {
  return [...state.links.values()].map(({ cell, address, asks, places, load }) => ({
    cell,
    scheduler: address,
    waitingHere: asks.size,
    places,
    requestsInCell: load,
    queued: state.scheduler.cells.get(cell)?.queue.items.length,
  }));
}

/** Describes a gateway. */
export function describeStatus(
  state: gateway.GatewayState,
  storeLink: storeFollower.StoreLink,
  now: gateway.ClockReading,
): Record<string, unknown> {
  return {
    version: state.index?.configuration.version,
    beliefAgeMs: gateway.computeAge(state.belief, now),
    storeLost: storeLink.isLost,
    requestsHeld: state.requests.size,
    backendServers: [...state.servers.byId.values()],
    cells: describeCells(state),
    peers: gateway.listContacts(state.peers),
  };
}
