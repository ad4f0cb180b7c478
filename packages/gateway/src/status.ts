/** What a gateway tells operators of its present state. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as storeFollower from './store-follower.js';
import * as unknownNames from './unknown-names.js';

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

/** Describes the backend servers that warm up, and how much longer. */
function describeWarming(
  { servers, index }: gateway.GatewayState,
  now: number,
): { id: string; warmUpLeftMs: number }[] {
  const warming = gateway.listWarming(servers, servers.byId.values(), index, now);
  return [...warming].map(([id, untilMs]) => ({ id, warmUpLeftMs: Math.round(untilMs - now) }));
}

/** Describes what backend servers have stated in their answers. */
function describeStatements(
  { servers }: gateway.GatewayState,
  now: number,
): Record<string, unknown>[] {
  return [...servers.statements].map(([id, { leavingSinceMs, backoffUntilMs, rateLimit }]) => ({
    id,
    leavingSinceMs,
    backoffLeftMs: Math.round(Math.max(backoffUntilMs - now, 0)),
    perSecond: rateLimit?.perSecond,
  }));
}

/** Describes a gateway. */
export function describeStatus(
  state: gateway.GatewayState,
  storeLink: storeFollower.StoreLink,
  unknown: unknownNames.UnknownNames,
  now: gateway.ClockReading,
): Record<string, unknown> {
  return {
    version: state.index?.configuration.version,
    beliefAgeMs: gateway.computeConfirmationAge(state.lease, now),
    storeLost: storeLink.isLost,
    storeBehind: state.lease.behindSinceMs !== undefined,
    storeRevision: state.servers.readRevision,
    requestsHeld: state.requests.size,
    backendServers: [...state.servers.byId.values()],
    evacuatedDomains: gateway.listEvacuated(state.servers.evacuations),
    warming: describeWarming(state, now.steadyMs),
    statements: describeStatements(state, now.steadyMs),
    cells: describeCells(state),
    unknownNames: unknownNames.listUnknownNames(unknown),
    peers: gateway.listKnownAddresses(state.peers),
  };
}
