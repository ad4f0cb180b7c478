/**
 * Watches one service document in the configuration service by long polling.
 *
 * The watch only reads the document. The first call returns at once; later calls wait in the service until there is a
 * newer version or the wait time is over.
 */
import * as timers from 'node:timers/promises';
import * as undici from 'undici';

/**
 * Maximum delays before a retry, milliseconds: the first one without a document, and the overall
 * maximum. A process without a document retries soon. A process that has one also gets newer
 * versions from its peers, and if all processes retried soon, they would overload the service.
 */
const FIRST_RETRY_MS = 500;
const MAX_RETRY_MS = 20_000;
/**
 * Maximum pause after a new document, milliseconds; it spreads the calls, since all watchers get
 * the document at once.
 */
const NEXT_CALL_MS = 2000;
/** Time that the service may take to respond after the wait is over, milliseconds. */
const RESPONSE_GRACE_MS = 2000;
/** Share of the wait that is random, so that processes do not call simultaneously. */
const WAIT_JITTER = 0.3;
/** A call without a newer document that returned before this share of its wait counts as failed. */
const MIN_WAIT_SHARE = 0.5;

export type ConfigurationWatch = { stop: () => void };

type WatchOptions = {
  configurationUrl: string;
  service: string;
  waitMs: number;
  /** Returns the active version; a call returns early only for a newer one. */
  getVersion: () => number;
  /** Called with the text of a document, which may be invalid or outdated. */
  receiveDocument: (json: string) => void;
  reportFailure: (reason: string) => void;
  drawRandom: () => number;
};

/**
 * Computes the delay before a retry, milliseconds: half of a maximum, plus a random share of the
 * other half. Without a document the maximum doubles with each consecutive failure.
 */
export function computeRetryDelayMs(
  failures: number,
  hasDocument: boolean,
  drawRandom: () => number,
): number {
  const maxDelayMs = hasDocument
    ? MAX_RETRY_MS
    : Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (failures - 1));
  return (maxDelayMs / 2) * (1 + drawRandom());
}

/** Computes how long the next call waits in the service, milliseconds. */
function computeWaitMs(options: WatchOptions): number {
  return Math.round(options.waitMs * (1 - WAIT_JITTER * options.drawRandom()));
}

/** Calls the service once; returns undefined if there is no newer document. */
async function fetchNewer(
  options: WatchOptions,
  waitMs: number,
  signal: AbortSignal,
): Promise<string | undefined> {
  const url = new URL(`/v1/documents/${options.service}`, options.configurationUrl);
  url.searchParams.set('newer_than', String(options.getVersion()));
  url.searchParams.set('wait_ms', String(waitMs));
  const timeout = AbortSignal.timeout(waitMs + RESPONSE_GRACE_MS);
  const response = await undici.request(url, {
    signal: AbortSignal.any([signal, timeout]),
    // On a kept connection, a late second response would pass for the response to the next call.
    reset: true,
  });
  const text = await response.body.text();
  if (response.statusCode === 204) {
    return undefined;
  }
  if (response.statusCode !== 200) {
    throw new Error(`configuration service responded with status ${response.statusCode}`);
  }
  return text;
}

/** Waits for a time, or until the watch is stopped. */
function waitFor(ms: number, signal: AbortSignal): Promise<void> {
  return timers.setTimeout(ms, undefined, { signal }).catch(() => undefined);
}

/**
 * Makes one call; returns whether it was useful: a newer document was accepted, or the wait ended.
 */
async function runCall(options: WatchOptions, signal: AbortSignal): Promise<boolean> {
  const before = options.getVersion();
  const waitMs = computeWaitMs(options);
  const startMs = performance.now();
  try {
    const json = await fetchNewer(options, waitMs, signal);
    if (json === undefined) {
      return performance.now() - startMs >= waitMs * MIN_WAIT_SHARE;
    }
    options.receiveDocument(json);
  } catch (error) {
    if (!signal.aborted) {
      options.reportFailure(String(error));
    }
  }
  return options.getVersion() !== before;
}

/** Calls repeatedly until stopped. */
async function runWatch(options: WatchOptions, signal: AbortSignal): Promise<void> {
  let failures = 0;
  while (!signal.aborted) {
    const before = options.getVersion();
    const isUseful = await runCall(options, signal);
    failures = isUseful ? 0 : failures + 1;
    const version = options.getVersion();
    // Without this delay, a service that fails, or that returns at once with a document that is not
    // accepted (invalid or outdated), would be called in a tight loop.
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
