/** Stops a gateway without cutting a request. */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as callerServer from './caller-server.js';
import * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as gatewaySettings from './gateway-settings.js';
import type * as gatewayTask from './gateway-task.js';
import type * as peerTask from './peer-task.js';

type ShutdownParts = {
  state: gateway.GatewayState;
  settings: gatewaySettings.GatewaySettings;
  callers: callerServer.CallerServer;
  task: gatewayTask.GatewayTask;
  peers: peerTask.PeerTask;
  log: decisionLog.DecisionLog;
  stopped: () => void;
};

/**
 * Time in which new connections are still taken, milliseconds. The balancer asks
 * once a second and needs two misses; callers that it sends before would
 * otherwise meet a closed port.
 */
const LINGER_MS = 3500;
/** What is left of the grace time for the last bytes to leave, milliseconds. */
const LAST_BYTES_MS = 400;

/** Begins a graceful shutdown; `stopped` is called at its end. */
export function beginShutdown(parts: ShutdownParts): void {
  const { state, settings, callers, task, peers, log, stopped } = parts;
  state.shutdownMs = clocks.readSteadyMs();
  log.writeAlways('shutdown', { held: task.countHeld() });
  callers.beginShutdown();
  peers.sendLeaving();
  let ended = false;
  const end = () => {
    if (!ended) {
      ended = true;
      log.writeAlways('stopped', { held: task.countHeld() });
      stopped();
    }
  };
  setTimeout(() => {
    callers.stopListening();
    task.notifyIdle(() => setTimeout(end, LAST_BYTES_MS / 2));
  }, LINGER_MS);
  setTimeout(end, settings.stopMs - LAST_BYTES_MS);
}
