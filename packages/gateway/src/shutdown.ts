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
/** Time without requests after which the process exits, milliseconds. */
const IDLE_MS = 200;
/** Interval at which this is checked, milliseconds. */
const CHECK_MS = 50;
/** Time before the end of the grace period at which the process exits, milliseconds. */
const EXIT_MS = 100;

/** Runs a step once there has been no request for a while. */
function runWhenIdle({ countOpen }: callerServer.CallerServer, step: () => void): NodeJS.Timeout {
  let busyMs = clocks.readSteadyMs();
  const timer = setInterval(() => {
    const now = clocks.readSteadyMs();
    if (countOpen() > 0) {
      busyMs = now;
    } else if (now - busyMs >= IDLE_MS) {
      step();
    }
  }, CHECK_MS);
  return timer;
}

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
  let idleTimer: NodeJS.Timeout | undefined;
  const end = () => {
    if (!isEnded) {
      isEnded = true;
      clearInterval(idleTimer);
      const connections = callers.countConnections();
      log.writeAlways('stopped', { held: task.countPhases(), connections });
      stopped();
    }
  };
  setTimeout(() => {
    callers.stopListening();
    log.writeAlways('port-closed', { connections: callers.countConnections() });
    if (!isEnded) {
      idleTimer = runWhenIdle(callers, end);
    }
  }, ACCEPT_AFTER_SHUTDOWN_MS);
  // After a stall of the event loop, responses may have arrived that it reads only after its timers.
  setTimeout(() => setImmediate(task.endUnfinished), gateway.computeRunLimitMs(state));
  setTimeout(end, stopMs - EXIT_MS);
}
