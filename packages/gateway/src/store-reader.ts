/**
 * Follows the items under a prefix of the store.
 *
 * Lists all items once and then polls for changes. If the store no longer has the history since
 * the last call, it lists again. A response confirms the state as of the time its call was sent,
 * not the time it arrived: it may be delayed, and its content outdated by then.
 *
 * Calls are sent at regular intervals and do not wait in the store for changes. A response that
 * waited would be as old as its wait when it arrives, so the lease that it renews would expire
 * that much earlier if the store then became unreachable.
 */
import * as gateway from '@toucanproxy/core/gateway';
import type * as clocks from './clocks.js';
import * as listChanges from './list-changes.js';
import type * as storeClient from './store-client.js';
import type * as storeCodec from './store-codec.js';
import * as storeEpoch from './store-epoch.js';
import type * as unknownNames from './unknown-names.js';

/** Why a call failed, and how far it had got. */
export type StoreCallFailure = {
  reason: string;
  /** Body bytes that had arrived. */
  receivedBytes: number;
  /** Time since the call was sent, milliseconds. */
  waitedMs: number;
};

export type StoreReaderOptions = {
  client: storeClient.StoreClient;
  codec: storeCodec.StoreCodec;
  prefix: string;
  /** Chooses the interval between calls, milliseconds; called repeatedly while it elapses. */
  chooseIntervalMs: () => number;
  readClocks: clocks.ReadClocks;
  drawRandom: () => number;
  /** Applies the complete list of items, as of a revision or later. */
  applySnapshot: (items: storeCodec.StoreItem[], revision: gateway.StoreRevision) => void;
  /** Applies the items that have changed up to a revision. */
  applyChanges: (items: storeCodec.StoreItem[], revision: gateway.StoreRevision) => void;
  /** Called after a response was applied, with the time its call was sent. */
  confirm: (sent: gateway.ClockReading, isList: boolean) => { isListDue: boolean };
  /** Called after the first of several failed calls. */
  reportLost: (failure: StoreCallFailure) => void;
  reportRegained: (awayMs: number) => void;
  /** Called when the store has been restored from a backup, before its items are applied. */
  applyEpoch: (change: storeEpoch.EpochChange) => void;
  /** Called when the epoch of a response does not follow the last known one. */
  reportEpochFault: (fault: storeEpoch.EpochFault) => void;
  /** Called with the headers of a response that the gateway does not know. */
  reportUnknown: (found: unknownNames.UnknownName[]) => void;
};

export type StoreReader = {
  /** Resolves once all items have been read for the first time. */
  first: Promise<void>;
  stop: () => void;
};

/** Limits of a call for changes; long enough for a slow store. */
const CHANGES_LIMITS = { idleMs: 1000, totalMs: 1000 };
/** Limits of a call that lists items. There is no shorter way to read them over a slow link. */
const LIST_LIMITS = { idleMs: 1000, totalMs: 5000 };
/** Changes are read to their end up to this length, even if a list is shorter, bytes. */
const MIN_CHANGES_BYTES = 65_536;
/** Upper limit of the pause after a first failed call, and after any failed call, milliseconds. */
const MAX_FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 500;
/** Fixed share of a pause; the rest is random, so that gateways do not call all at once. */
const FIXED_PAUSE_SHARE = 0.5;
/** How often the interval is checked again while it elapses, milliseconds. */
const INTERVAL_CHECK_MS = 150;
const STATUS_OK = 200;
const STATUS_HISTORY_GONE = 410;

/** State of the reader between calls. */
type ReaderState = {
  options: StoreReaderOptions;
  /** Changes have been read up to this revision; undefined if the next call lists all items. */
  revision: gateway.StoreRevision | undefined;
  /** The latest revision that was read; gives the epoch of the store. */
  latestRevision: gateway.StoreRevision;
  /** Body bytes of the last complete list. */
  listBytes: number;
  /** Much of the list changes between calls, so that it is shorter than the changes. */
  isListing: boolean;
  /** When the latest call was sent. */
  sentMs: number;
  failures: number;
  /** When the first of the current failures occurred. */
  lostSinceMs: number;
  stopped: boolean;
  resolveFirstRead: () => void;
};

/**
 * Reads the epoch of a response; throws if the epoch is unreadable or earlier than the last one. A
 * response of an earlier epoch would restore state that has since been replaced.
 */
function readEpoch(
  { options, latestRevision }: ReaderState,
  response: storeClient.StoreResponse,
): number {
  options.reportUnknown(options.codec.findUnknownHeaders(response.headers));
  const parsed = options.codec.parseEpoch(response.headers);
  const { epoch, fault } = storeEpoch.resolveEpoch(latestRevision.epoch, parsed);
  if (fault !== undefined) {
    options.reportEpochFault(fault);
  }
  if (epoch === undefined) {
    throw new Error(`epoch-${fault?.kind}`);
  }
  return epoch;
}

/** Lists all items, page by page; changes are read starting from the revision of the first page. */
async function readAll(state: ReaderState): Promise<{
  items: storeCodec.StoreItem[];
  revision: gateway.StoreRevision;
}> {
  const { client, codec, prefix } = state.options;
  const items: storeCodec.StoreItem[] = [];
  let revision: gateway.StoreRevision | undefined;
  let isLast = false;
  let bytes = 0;
  while (!isLast) {
    const path = codec.buildRangePath(prefix, items.at(-1)?.key);
    state.sentMs = state.options.readClocks().steadyMs;
    const response = await client.call(path, LIST_LIMITS);
    if (response.status !== STATUS_OK) {
      throw new Error(`status-${response.status}`);
    }
    bytes += client.getReceivedBytes();
    const epoch = readEpoch(state, response);
    if (revision !== undefined && epoch !== revision.epoch) {
      // The store was restored between two pages; the earlier ones are out of date.
      throw new Error('epoch-changed');
    }
    const page = codec.decodePage(response.body, epoch);
    items.push(...page.items);
    revision ??= page.revision;
    isLast = page.isLast || page.items.length === 0;
  }
  state.listBytes = bytes;
  return { items, revision: revision ?? gateway.EARLIEST_REVISION };
}

/** Waits for a time, milliseconds. */
function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Records a response of the store; reports it if calls had failed before. */
function recordResponse(state: ReaderState): void {
  const { options } = state;
  if (state.failures > 0) {
    state.failures = 0;
    options.reportRegained(options.readClocks().steadyMs - state.lostSinceMs);
  }
}

/** Waits until the next call is due; the interval may change in the meantime. */
async function waitInterval(state: ReaderState, sentMs: number): Promise<void> {
  const { options } = state;
  const computeLeftMs = () => options.chooseIntervalMs() - (options.readClocks().steadyMs - sentMs);
  let leftMs = computeLeftMs();
  while (leftMs > 0 && !state.stopped) {
    await pause(Math.min(leftMs, INTERVAL_CHECK_MS));
    leftMs = computeLeftMs();
  }
}

/** Lists all items and applies them. */
async function readList(state: ReaderState): Promise<void> {
  const { options, latestRevision } = state;
  const sent = options.readClocks();
  const { items, revision } = await readAll(state);
  recordResponse(state);
  if (latestRevision.epoch !== revision.epoch && latestRevision !== gateway.EARLIEST_REVISION) {
    options.applyEpoch({ before: latestRevision, after: revision });
  }
  const wasListing = state.isListing;
  state.isListing = wasListing && listChanges.hasChangedMuch(items, latestRevision);
  state.revision = state.isListing ? undefined : revision;
  state.latestRevision = revision;
  options.applySnapshot(items, revision);
  options.confirm(sent, true);
  state.resolveFirstRead();
  if (wasListing) {
    await waitInterval(state, sent.steadyMs);
  }
}

/**
 * Reads changes and applies them.
 *
 * If the store was restored, the next call lists all items. So does it if the changes are longer
 * than a list: they contain each version of an item, and with a slow link and large items in quick
 * succession a call might never end in time, as the next one would have more to read.
 */
async function readChanges(state: ReaderState, since: gateway.StoreRevision): Promise<void> {
  const { options } = state;
  const { client, codec, prefix } = options;
  const sent = options.readClocks();
  state.sentMs = sent.steadyMs;
  const path = codec.buildWatchPath(prefix, since, 0);
  // Any response that is not applied makes the next call list all items.
  state.revision = undefined;
  const maxBytes = Math.max(state.listBytes, MIN_CHANGES_BYTES);
  const limits = { ...CHANGES_LIMITS, maxBytes };
  const response = await client.call(path, limits).catch((error: unknown) => {
    state.isListing = client.getReceivedBytes() > 0;
    state.revision = state.isListing ? undefined : since;
    throw error;
  });
  if (response.isTooLong) {
    state.isListing = true;
    return;
  }
  if (response.status === STATUS_HISTORY_GONE) {
    return;
  }
  if (response.status !== STATUS_OK) {
    state.revision = since;
    throw new Error(`status-${response.status}`);
  }
  const epoch = readEpoch(state, response);
  if (epoch !== since.epoch) {
    return;
  }
  const changes = codec.decodeChanges(response.body, epoch);
  recordResponse(state);
  state.revision = gateway.isLater(changes.revision, since) ? changes.revision : since;
  state.latestRevision = state.revision;
  options.applyChanges(changes.items, changes.revision);
  if (options.confirm(sent, false).isListDue) {
    state.revision = undefined;
    return;
  }
  await waitInterval(state, sent.steadyMs);
}

/** Makes one call and applies its result. */
function readOnce(state: ReaderState): Promise<void> {
  return state.revision === undefined ? readList(state) : readChanges(state, state.revision);
}

/** Records a failed call and waits before the next one. */
async function handleFailure(state: ReaderState, error: unknown): Promise<void> {
  const { options } = state;
  if (state.failures === 0) {
    const now = options.readClocks().steadyMs;
    state.lostSinceMs = now;
    options.reportLost({
      reason: (error as Error).message,
      receivedBytes: options.client.getReceivedBytes(),
      waitedMs: Math.round(now - state.sentMs),
    });
  }
  const maxPauseMs = Math.min(MAX_FIRST_PAUSE_MS * 2 ** state.failures, MAX_PAUSE_MS);
  state.failures += 1;
  const share = FIXED_PAUSE_SHARE + (1 - FIXED_PAUSE_SHARE) * options.drawRandom();
  await pause(maxPauseMs * share);
}

/** Reads until the reader is stopped. */
async function run(state: ReaderState): Promise<void> {
  while (!state.stopped) {
    try {
      await readOnce(state);
    } catch (error) {
      if (!state.stopped) {
        await handleFailure(state, error);
      }
    }
  }
}

/** Starts following a prefix. */
export function startStoreReader(options: StoreReaderOptions): StoreReader {
  let resolveFirstRead = () => {};
  const first = new Promise<void>((resolve) => {
    resolveFirstRead = resolve;
  });
  const state: ReaderState = {
    options,
    revision: undefined,
    latestRevision: gateway.EARLIEST_REVISION,
    listBytes: 0,
    isListing: false,
    sentMs: 0,
    failures: 0,
    lostSinceMs: 0,
    stopped: false,
    resolveFirstRead,
  };
  run(state);
  return {
    first,
    stop: () => {
      state.stopped = true;
      options.client.stop();
    },
  };
}
