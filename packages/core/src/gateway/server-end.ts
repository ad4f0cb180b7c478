/** Discards state when a backend server process ends. */
import * as scheduler from '../scheduler/index.js';
import type * as gatewayState from './gateway-state.js';

/** Discards the observations of a backend server that has restarted or is gone. */
export function forgetServer(state: gatewayState.GatewayState, serverId: string): void {
  scheduler.forgetServer(state.scheduler, serverId);
}
