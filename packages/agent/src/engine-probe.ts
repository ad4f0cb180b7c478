/** The task that finds out whether the engine takes connections. */
import * as undici from 'undici';

export type EngineProbe = {
  /** Probes at once, after an attempt has met a fault. */
  probeNow: () => void;
  stop: () => void;
};

type EngineProbeOptions = {
  engineUrl: string;
  report: (available: boolean) => void;
};

const PROBE_PATH = '/health';
const MIN_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1000;
const ANSWER_MS = 2000;

/** An engine that is loading its model says so by this status. */
const NOT_READY_STATUS = 503;

/** Probes without an answer in time after which an engine counts as hung. */
const MAX_SILENT_PROBES = 3;

enum Finding {
  UP = 'up',
  DOWN = 'down',
  SILENT = 'silent',
}

/** Probes once. A service without the path is up too: it answers. */
async function testEngine(engineUrl: string): Promise<Finding> {
  try {
    const signal = AbortSignal.timeout(ANSWER_MS);
    const response = await undici.request(new URL(PROBE_PATH, engineUrl), { signal, reset: true });
    await response.body.dump();
    return response.statusCode === NOT_READY_STATUS ? Finding.DOWN : Finding.UP;
  } catch (error) {
    return (error as Error).name === 'TimeoutError' ? Finding.SILENT : Finding.DOWN;
  }
}

/** Starts probing; pauses grow from short to long after each fault. */
export function startEngineProbe(options: EngineProbeOptions): EngineProbe {
  let timer: NodeJS.Timeout | undefined;
  let pauseMs = MAX_PAUSE_MS;
  let silentProbes = 0;
  let stopped = false;

  const schedule = (waitMs: number) => {
    clearTimeout(timer);
    timer = setTimeout(async () => {
      const finding = await testEngine(options.engineUrl);
      silentProbes = finding === Finding.SILENT ? silentProbes + 1 : 0;
      const undecided = finding === Finding.SILENT && silentProbes < MAX_SILENT_PROBES;
      if (stopped) {
        return;
      }
      if (!undecided) {
        options.report(finding === Finding.UP);
      }
      pauseMs = Math.min(2 * pauseMs, MAX_PAUSE_MS);
      schedule(pauseMs);
    }, waitMs);
  };
  schedule(0);
  return {
    probeNow: () => {
      pauseMs = MIN_PAUSE_MS;
      schedule(pauseMs);
    },
    stop: () => {
      stopped = true;
      clearTimeout(timer);
    },
  };
}
