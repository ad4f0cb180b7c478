/** Graceful shutdown: stops a gateway without aborting requests in progress. */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as callerServer from './caller-server.js';
import * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as gatewaySettings from './gateway-settings.js';
import type * as gatewayTask from './gateway-task.js';
import type * as peerTask from './peer-task.js';

type ShutdownDependencies = {
  state: gateway.GatewayState;
  settings: gatewaySettings.GatewaySettings;
  callers: callerServer.CallerServer;
  task: gatewayTask.GatewayTask;
  peers: peerTask.PeerTask;
  log: decisionLog.DecisionLog;
  stopped: () => void;
};

/**
 * Time for which new connections are still accepted, milliseconds. The load balancer checks
 * readiness once a second and needs two failed checks; until then it still sends callers, which
 * would otherwise find a closed port.
 */
const ACCEPT_AFTER_SHUTDOWN_MS = 3500;
/** Part of the grace period that is reserved for sending the last bytes, milliseconds. */
const FLUSH_MS = 400;

/** Begins a graceful shutdown; `stopped` is called at its end. */
export function beginShutdown(dependencies: ShutdownDependencies): void {
  const { state, settings, callers, task, peers, log, stopped } = dependencies;
  state.shutdownMs = clocks.readSteadyMs();
  log.writeAlways('shutdown', { held: task.countPhases() });
  callers.beginShutdown();
  peers.sendLeaving();
  let isEnded = false;
  const end = () => {
    if (!isEnded) {
      isEnded = true;
      log.writeAlways('stopped', { held: task.countPhases() });
      task.reportUnfinished();
      stopped();
    }
  };
  setTimeout(() => {
    callers.stopListening();
    task.notifyIdle(() => setTimeout(end, FLUSH_MS / 2));
  }, ACCEPT_AFTER_SHUTDOWN_MS);
  setTimeout(end, settings.stopMs - FLUSH_MS);
}
