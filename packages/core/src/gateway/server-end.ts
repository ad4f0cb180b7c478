/** What ends with the life of a backend server. */
import * as scheduler from '../scheduler/index.js';
import type * as gatewayState from './gateway-state.js';

/** Forgets what was seen of a backend server that has restarted or gone. */
export function forgetServer(state: gatewayState.GatewayState, serverId: string): void {
  scheduler.forgetServer(state.scheduler, serverId);
}
