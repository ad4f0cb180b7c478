/** Graceful shutdown: stops a gateway without aborting requests in progress. */
import * as gateway from '@toucanproxy/core/gateway';
import * as runtime from '@toucanproxy/runtime';
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

enum ShutdownStep {
  /** The port is open; a caller that comes late is refused. */
  LISTENING,
  /** The port is being closed or is closed. */
  CLOSING,
  ENDED,
}

type ShutdownRun = {
  dependencies: ShutdownDependencies;
  step: ShutdownStep;
  idleTimer: NodeJS.Timeout | undefined;
};

/**
 * Time after which the process may stop to accept connections, milliseconds. The load balancer checks
 * readiness once a second and needs two failed checks; until then it still sends callers.
 */
const ACCEPT_AFTER_SHUTDOWN_MS = 3500;
/** Time without requests after which the port closes, and then the process exits, milliseconds. */
const IDLE_MS = 200;
/** Interval at which this is checked, milliseconds. */
const CHECK_MS = 50;
/** Time before the end of the grace period at which the process exits, milliseconds. */
const EXIT_MS = 100;
/**
 * Time before the exit at which the port closes in any case and requests that are still being read are
 * refused, milliseconds.
 */
const CLOSE_MS = 200;
/** Time in which requests that have arrived are refused before the process exits, milliseconds. */
const LAST_MS = 40;

/**
 * Runs a step once there has been no request for a while. Timers fire before the event loop polls,
 * so that requests may have arrived meanwhile.
 */
function runWhenIdle(callers: callerServer.CallerServer, step: () => void): NodeJS.Timeout {
  const { areBusy, countBytes } = callers;
  let busyMs = clocks.readSteadyMs();
  let isChecking = false;
  const check = () => {
    const now = clocks.readSteadyMs();
    if (areBusy(now)) {
      busyMs = now;
    }
    return now - busyMs >= IDLE_MS;
  };
  return setInterval(() => {
    if (!isChecking && check()) {
      isChecking = true;
      runtime.runAfterEmptyTurn(countBytes, clocks.readSteadyMs, () => {
        isChecking = false;
        if (check()) {
          step();
        }
      });
    }
  }, CHECK_MS);
}

/** Runs a step once what has arrived has its response; at the latest after `LAST_MS`. */
function runWhenAnswered({ areBusy }: callerServer.CallerServer, step: () => void): void {
  const endMs = clocks.readSteadyMs() + LAST_MS;
  const check = () => {
    const now = clocks.readSteadyMs();
    if (now < endMs && areBusy(now)) {
      setImmediate(check);
    } else {
      step();
    }
  };
  setImmediate(check);
}

/** Ends the shutdown. */
function end(run: ShutdownRun): void {
  const { dependencies, step, idleTimer } = run;
  if (step === ShutdownStep.ENDED) {
    return;
  }
  run.step = ShutdownStep.ENDED;
  clearInterval(idleTimer);
  const { callers, task, log, stopped } = dependencies;
  const connections = callers.countConnections();
  log.writeAlways('stopped', { held: task.countPhases(), connections });
  stopped();
}

/** Closes the port. Callers that connected before are served until they have been idle for a while. */
function closePort(run: ShutdownRun): void {
  const { dependencies, step, idleTimer } = run;
  if (step !== ShutdownStep.LISTENING) {
    return;
  }
  run.step = ShutdownStep.CLOSING;
  clearInterval(idleTimer);
  const { callers, log } = dependencies;
  callers.stopListening(() => {
    log.writeAlways('port-closed', { connections: callers.countConnections() });
    if (run.step === ShutdownStep.CLOSING) {
      run.idleTimer = runWhenIdle(callers, () => end(run));
    }
  });
}

/** Begins a graceful shutdown; `stopped` is called at its end. */
export function beginShutdown(dependencies: ShutdownDependencies): void {
  const { state, stopMs, callers, task, peers, log } = dependencies;
  if (!gateway.beginShutdown(state, stopMs, clocks.readSteadyMs())) {
    return;
  }
  log.writeAlways('shutdown', { held: task.countPhases() });
  callers.beginShutdown();
  peers.sendLeaving();
  const run: ShutdownRun = { dependencies, step: ShutdownStep.LISTENING, idleTimer: undefined };
  setTimeout(() => {
    setImmediate(callers.closeIdle);
    if (run.step === ShutdownStep.LISTENING) {
      run.idleTimer = runWhenIdle(callers, () => closePort(run));
    }
  }, ACCEPT_AFTER_SHUTDOWN_MS);
  // After a stall of the event loop, responses may have arrived that it reads only after its timers.
  setTimeout(() => setImmediate(task.endUnfinished), gateway.computeRunLimitMs(state));
  setTimeout(
    () => {
      callers.refuseUnread(gateway.buildShutdownRefusal(state, clocks.readSteadyMs()));
      closePort(run);
    },
    stopMs - EXIT_MS - CLOSE_MS,
  );
  setTimeout(() => runWhenAnswered(callers, () => end(run)), stopMs - EXIT_MS);
}
