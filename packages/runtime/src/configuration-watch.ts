/**
 * The task that watches one service document in the configuration service.
 *
 * It reads only. Its first call answers at once; later calls wait in the
 * service until there is a newer version or the wait is over.
 */
import * as timers from 'node:timers/promises';
import * as undici from 'undici';

/**
 * Longest pauses after a call that brought nothing, milliseconds. A process
 * without a document retries soon. One that has a document gets newer ones from
 * its peers too, and a whole fleet that retried soon would ask more than the
 * service can answer.
 */
const START_RETRY_MS = 500;
const RETRY_MS = 20_000;
/** Longest pause after a new document, milliseconds; all readers get it at once. */
const NEXT_CALL_MS = 2000;
/** Time beyond the wait that the service may take to answer, milliseconds. */
const ANSWER_GRACE_MS = 2000;
/** Share of the wait that is drawn, so that a fleet does not call in step. */
const WAIT_SPREAD = 0.3;
/** A call that ended sooner than this share of its wait was not a watch. */
const LEAST_WAIT_SHARE = 0.5;

export type ConfigurationWatch = { stop: () => void };

type WatchOptions = {
  configurationUrl: string;
  service: string;
  waitMs: number;
  /** Version in force, so that the call returns only for a newer one. */
  getVersion: () => number;
  /** Takes the text of a document; it may be faulty or old. */
  receiveDocument: (json: string) => void;
  reportFailure: (reason: string) => void;
  drawRandom: () => number;
};

/**
 * Computes the pause after a call that brought nothing, milliseconds: at least
 * half of the longest, the rest drawn. Without a document it doubles with each
 * such call in a row.
 */
export function computeRetryDelayMs(
  failures: number,
  hasDocument: boolean,
  drawRandom: () => number,
): number {
  const longest = hasDocument ? RETRY_MS : Math.min(RETRY_MS, START_RETRY_MS * 2 ** (failures - 1));
  return (longest / 2) * (1 + drawRandom());
}

/** Computes how long the next call may wait in the service, milliseconds. */
function computeWaitMs(options: WatchOptions): number {
  return Math.round(options.waitMs * (1 - WAIT_SPREAD * options.drawRandom()));
}

/** Calls the service once; undefined where there is nothing newer. */
async function fetchNewer(
  options: WatchOptions,
  waitMs: number,
  signal: AbortSignal,
): Promise<string | undefined> {
  const url = new URL(`/v1/documents/${options.service}`, options.configurationUrl);
  url.searchParams.set('newer_than', String(options.getVersion()));
  url.searchParams.set('wait_ms', String(waitMs));
  const timeout = AbortSignal.timeout(waitMs + ANSWER_GRACE_MS);
  const response = await undici.request(url, { signal: AbortSignal.any([signal, timeout]) });
  const text = await response.body.text();
  if (response.statusCode === 204) {
    return undefined;
  }
  if (response.statusCode !== 200) {
    throw new Error(`configuration service answered ${response.statusCode}`);
  }
  return text;
}

/** Waits, or less where the watch is stopped. */
function waitFor(ms: number, signal: AbortSignal): Promise<void> {
  return timers.setTimeout(ms, undefined, { signal }).catch(() => undefined);
}

/** Calls once; true where the call was of use: a newer document, or a wait to its end. */
async function runCall(options: WatchOptions, signal: AbortSignal): Promise<boolean> {
  const before = options.getVersion();
  const waitMs = computeWaitMs(options);
  const begun = performance.now();
  try {
    const json = await fetchNewer(options, waitMs, signal);
    if (json === undefined) {
      return performance.now() - begun >= waitMs * LEAST_WAIT_SHARE;
    }
    options.receiveDocument(json);
  } catch (error) {
    if (!signal.aborted) {
      options.reportFailure(String(error));
    }
  }
  return options.getVersion() !== before;
}

/** Calls until stopped. */
async function runWatch(options: WatchOptions, signal: AbortSignal): Promise<void> {
  let failures = 0;
  while (!signal.aborted) {
    const before = options.getVersion();
    const useful = await runCall(options, signal);
    failures = useful ? 0 : failures + 1;
    const version = options.getVersion();
    // A service that fails, or that answers at once with a document that is not
    // taken (faulty or old), would otherwise be called in a tight loop.
    if (failures > 0) {
      await waitFor(computeRetryDelayMs(failures, version > 0, options.drawRandom), signal);
    } else if (version !== before) {
      await waitFor(options.drawRandom() * NEXT_CALL_MS, signal);
    }
  }
}

/** Starts watching. */
export function startConfigurationWatch(options: WatchOptions): ConfigurationWatch {
  const controller = new AbortController();
  runWatch(options, controller.signal).catch((error) => options.reportFailure(String(error)));
  return { stop: () => controller.abort() };
}
