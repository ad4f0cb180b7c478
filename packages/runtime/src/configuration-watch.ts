/**
 * The task that watches one service document in the configuration service.
 *
 * It reads only. Its first call answers at once; later calls wait in the
 * service until there is a newer version or the wait is over.
 */
import * as undici from 'undici';

/** Pause after a failed call, milliseconds; the spread keeps a fleet from calling in step. */
const RETRY_MIN_MS = 250;
const RETRY_SPREAD_MS = 1000;
/** Time beyond the wait that the service may take to answer. */
const ANSWER_GRACE_MS = 2000;

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

/** Calls the service once; undefined where there is nothing newer. */
async function fetchNewer(options: WatchOptions, signal: AbortSignal): Promise<string | undefined> {
  const url = new URL(`/v1/documents/${options.service}`, options.configurationUrl);
  url.searchParams.set('newer_than', String(options.getVersion()));
  url.searchParams.set('wait_ms', String(options.waitMs));
  const timeout = AbortSignal.timeout(options.waitMs + ANSWER_GRACE_MS);
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
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, ms);
    signal.addEventListener('abort', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

/** Calls until stopped. */
async function runWatch(options: WatchOptions, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const before = options.getVersion();
    try {
      const json = await fetchNewer(options, signal);
      if (json !== undefined) {
        options.receiveDocument(json);
      }
    } catch (error) {
      if (!signal.aborted) {
        options.reportFailure(String(error));
      }
    }
    // A service that fails, or that answers at once with a document that is not
    // taken (faulty or old), would otherwise be called in a tight loop.
    if (options.getVersion() === before) {
      await waitFor(RETRY_MIN_MS + options.drawRandom() * RETRY_SPREAD_MS, signal);
    }
  }
}

/** Starts watching. */
export function startConfigurationWatch(options: WatchOptions): ConfigurationWatch {
  const controller = new AbortController();
  runWatch(options, controller.signal).catch((error) => options.reportFailure(String(error)));
  return { stop: () => controller.abort() };
}
