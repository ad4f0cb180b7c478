/** Graceful shutdown: stops a gateway without aborting requests in progress. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as callerServer from './caller-server.js';
import * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as gatewayTask from './gateway-task.js';
import type * as peerTask from './peer-task.js';

type ShutdownDependencies = {
  state: gateway.GatewayState;
  /** Time after which the process is killed, milliseconds. */
  stopMs: number;
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
/** Time for the last responses to leave the process, milliseconds. */
const FLUSH_MS = 200;
/** Time before the end of the grace period at which the process exits, milliseconds. */
const EXIT_MS = 100;

/** Begins a graceful shutdown; `stopped` is called at its end. */
export function beginShutdown(dependencies: ShutdownDependencies): void {
  const { state, stopMs, callers, task, peers, log, stopped } = dependencies;
  if (!gateway.beginShutdown(state, stopMs, clocks.readSteadyMs())) {
    return;
  }
  log.writeAlways('shutdown', { held: task.countPhases() });
  callers.beginShutdown();
  peers.sendLeaving();
  let isEnded = false;
  const end = () => {
    if (!isEnded) {
      isEnded = true;
      log.writeAlways('stopped', { held: task.countPhases() });
      stopped();
    }
  };
  setTimeout(() => {
    callers.stopListening();
    task.notifyIdle(() => setTimeout(end, FLUSH_MS));
  }, ACCEPT_AFTER_SHUTDOWN_MS);
  setTimeout(task.endUnfinished, gateway.computeRunLimitMs(state));
  setTimeout(end, stopMs - EXIT_MS);
}
