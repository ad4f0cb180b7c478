/** Discards state when a backend server process ends. */
import * as scheduler from '../scheduler/index.js';
import * as crashDetection from './crash-detection.js';
import type * as gatewayState from './gateway-state.js';

/** Discards the observations of a backend server that has restarted or is gone. */
export function forgetServer(
  state: gatewayState.GatewayState,
  serverId: string,
  isRestart: boolean,
  now: number,
): void {
  scheduler.forgetServer(state.scheduler, serverId);
  crashDetection.handleServerEnd(state, serverId, isRestart, now);
}
