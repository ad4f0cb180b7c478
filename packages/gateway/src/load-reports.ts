/** Records the load of this process, and writes log lines and metrics for it. */
import * as perfHooks from 'node:perf_hooks';
import * as gateway from '@toucanproxy/core/gateway';
import type * as decisionLog from './decision-log.js';
import type * as gatewayMetrics from './gateway-metrics.js';

type LoadDependencies = {
  state: gateway.GatewayState;
  log: decisionLog.DecisionLog;
  metrics: gatewayMetrics.GatewayMetrics;
};

const PERCENT = 100;
const MICROSECONDS_PER_MS = 1000;
/** Interval at which the utilization of the event loop is read, milliseconds. */
const UTILIZATION_MS = 500;

/** Reads the processor time that this process has used so far, milliseconds. */
function readProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
}

/**
 * Creates the function that reads the utilization when it is due: of the event loop, or of the
 * processor time that the process may use if that is higher. A process whose processor time is
 * limited may be paused while it polls, which counts as idle time of the event loop.
 */
function createUtilizationReader(
  { load, processorPercent }: gateway.GatewayState,
  log: decisionLog.DecisionLog,
): (now: number) => void {
  let last = perfHooks.performance.eventLoopUtilization();
  let lastProcessorMs = readProcessorMs();
  let lastMs = perfHooks.performance.now();
  return (now) => {
    if (now - lastMs < UTILIZATION_MS) {
      return;
    }
    const current = perfHooks.performance.eventLoopUtilization();
    const { utilization } = perfHooks.performance.eventLoopUtilization(current, last);
    const processorMs = readProcessorMs();
    const elapsedMs = now - lastMs;
    const usableMs = (elapsedMs * processorPercent) / PERCENT;
    const share = Math.min((processorMs - lastProcessorMs) / usableMs, 1);
    last = current;
    lastProcessorMs = processorMs;
    lastMs = now;
    if (gateway.noteUtilization(load, Math.max(utilization, share), elapsedMs)) {
      const loadPercent = Math.round(load.utilization * PERCENT);
      log.writeAlways('gateway-saturation', { isSaturated: load.isSaturated, loadPercent });
    }
  };
}

/** Creates the function that is called with the delay of a turn of the event loop, milliseconds. */
export function createDelayObserver({
  state,
  log,
  metrics,
}: LoadDependencies): (delayMs: number, now: number) => void {
  const { load } = state;
  const readUtilization = createUtilizationReader(state, log);
  return (delayMs, now) => {
    readUtilization(now);
    metrics.recordLoopDelay(delayMs);
    const change = gateway.noteDelay(load, delayMs, now);
    const { admittedShare, beganMs } = load;
    if (change === 'overloaded') {
      log.writeAlways('gateway-overloaded', { delayMs: Math.round(delayMs), admittedShare });
    } else if (change === 'recovered') {
      log.writeAlways('gateway-recovered', { lastedMs: Math.round(now - beganMs) });
    }
  };
}

/** Creates the function that checks new connections by how long they have waited, milliseconds. */
export function createConnectionCheck(
  { state, log, metrics }: LoadDependencies,
  readNow: () => number,
): (waitedMs: number) => gateway.Refusal | undefined {
  let refused = 0;
  return (waitedMs) => {
    const { refusal, change } = gateway.checkConnection(state, waitedMs, readNow());
    if (change === 'begun') {
      refused = 0;
      log.writeAlways('connections-late', { waitedMs: Math.round(waitedMs) });
    } else if (change === 'ended') {
      log.writeAlways('connections-in-time', { refused });
    }
    if (refusal !== undefined) {
      refused += 1;
      metrics.recordRefusedUnread();
    }
    return refusal;
  };
}
