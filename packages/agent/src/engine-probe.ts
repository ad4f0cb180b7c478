/** The task that probes whether the engine is available. */
import * as undici from 'undici';

export type EngineProbe = {
  /** Probes soon, and then at short intervals, after an attempt has ended with a fault. */
  probeSoon: () => void;
  stop: () => void;
};

type EngineProbeOptions = {
  engineUrl: string;
  report: (available: boolean) => void;
};

const PROBE_PATH = '/health';
const MIN_INTERVAL_MS = 50;
const MAX_INTERVAL_MS = 1000;
const PROBE_TIMEOUT_MS = 2000;

/** Status with which an engine responds while it is loading its model. */
const NOT_READY_STATUS = 503;

/** Number of consecutive probes without a response in time after which an engine counts as down. */
const MAX_TIMED_OUT_PROBES = 3;

enum ProbeResult {
  UP = 'up',
  DOWN = 'down',
  TIMED_OUT = 'timed-out',
}

/** Probes once. A service without the health path is up too, as it responds. */
async function checkEngine(engineUrl: string): Promise<ProbeResult> {
  try {
    const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
    const response = await undici.request(new URL(PROBE_PATH, engineUrl), { signal, reset: true });
    await response.body.dump();
    return response.statusCode === NOT_READY_STATUS ? ProbeResult.DOWN : ProbeResult.UP;
  } catch (error) {
    return (error as Error).name === 'TimeoutError' ? ProbeResult.TIMED_OUT : ProbeResult.DOWN;
  }
}

/** Starts to probe; after each fault the interval grows from its minimum to its maximum. */
export function startEngineProbe(options: EngineProbeOptions): EngineProbe {
  let timer: NodeJS.Timeout | undefined;
  let intervalMs = MAX_INTERVAL_MS;
  let timedOutProbes = 0;
  let stopped = false;

  const schedule = (waitMs: number) => {
    clearTimeout(timer);
    timer = setTimeout(async () => {
      const result = await checkEngine(options.engineUrl);
      timedOutProbes = result === ProbeResult.TIMED_OUT ? timedOutProbes + 1 : 0;
      const isInconclusive =
        result === ProbeResult.TIMED_OUT && timedOutProbes < MAX_TIMED_OUT_PROBES;
      if (stopped) {
        return;
      }
      if (!isInconclusive) {
        options.report(result === ProbeResult.UP);
      }
      intervalMs = Math.min(2 * intervalMs, MAX_INTERVAL_MS);
      schedule(intervalMs);
    }, waitMs);
  };
  schedule(0);
  return {
    probeSoon: () => {
      intervalMs = MIN_INTERVAL_MS;
      schedule(intervalMs);
    },
    stop: () => {
      stopped = true;
      clearTimeout(timer);
    },
  };
}
