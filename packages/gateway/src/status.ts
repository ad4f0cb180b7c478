/** What a gateway tells operators of its present state. */
import * as gateway from '@toucanproxy/core/gateway';

/** Describes a gateway. */
export function describeStatus(
  state: gateway.GatewayState,
  storeLost: ReadonlySet<string>,
  now: gateway.ClockReading,
): Record<string, unknown> {
  return {
    version: state.index?.configuration.version,
    beliefAgeMs: gateway.computeAge(state.belief, now),
    // Readers of the store whose last call failed.
    storeLost: [...storeLost],
    requestsHeld: state.requests.size,
    backendServers: [...state.servers.byId.values()],
    peers: gateway.listContacts(state.peers),
  };
}
