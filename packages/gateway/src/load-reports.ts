/** Records the load of this process, and writes log lines and metrics for it. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as decisionLog from './decision-log.js';
import type * as gatewayMetrics from './gateway-metrics.js';

type LoadDependencies = {
  state: gateway.GatewayState;
  log: decisionLog.DecisionLog;
  metrics: gatewayMetrics.GatewayMetrics;
};

/** Creates the function that is called with the delay of a turn of the event loop, milliseconds. */
export function createDelayObserver({
  state: { load },
  log,
  metrics,
}: LoadDependencies): (delayMs: number, now: number) => void {
  return (delayMs, now) => {
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
