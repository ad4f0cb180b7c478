/** What a gateway tells operators of its present state. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as storeFollower from './store-follower.js';

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
    peers: gateway.listContacts(state.peers),
  };
}
