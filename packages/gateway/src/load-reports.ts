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
/** Interval at which the utilization of the event loop is read, milliseconds. */
const UTILIZATION_MS = 500;

/** Creates the function that reads the utilization of the event loop when it is due. */
function createUtilizationReader(
  load: gateway.GatewayLoad,
  log: decisionLog.DecisionLog,
): (now: number) => void {
  let last = perfHooks.performance.eventLoopUtilization();
  let lastMs = -Infinity;
  return (now) => {
    if (now - lastMs < UTILIZATION_MS) {
      return;
    }
    const current = perfHooks.performance.eventLoopUtilization();
    const { utilization, active, idle } = perfHooks.performance.eventLoopUtilization(current, last);
    last = current;
    lastMs = now;
    if (gateway.noteUtilization(load, utilization, active + idle)) {
      const loadPercent = Math.round(load.utilization * PERCENT);
      log.writeAlways('gateway-saturation', { isSaturated: load.isSaturated, loadPercent });
    }
  };
}

/** Creates the function that is called with the delay of a turn of the event loop, milliseconds. */
export function createDelayObserver({
  state: { load },
  log,
  metrics,
}: LoadDependencies): (delayMs: number, now: number) => void {
  const readUtilization = createUtilizationReader(load, log);
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
