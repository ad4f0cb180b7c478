/**
 * Follows the items under a prefix of the store.
 *
 * Lists them once and then asks for changes, again and again. Where the store
 * has dropped the history in between, it lists again. Each answer confirms what
 * is known as of the sending of its call, not of its arrival: an answer may be
 * late, and what it says may be over by then.
 *
 * Calls do not wait for changes, they are sent at even intervals. An answer that has
 * waited is as old as its wait when it comes, and the lease that it renews runs out
 * the earlier once the store falls silent.
 */
import * as gateway from '@toucanproxy/core/gateway';
import type * as clocks from './clocks.js';
import type * as storeClient from './store-client.js';
import type * as storeCodec from './store-codec.js';
import * as storeEpoch from './store-epoch.js';
import type * as unknownNames from './unknown-names.js';

export type StoreReaderOptions = {
  client: storeClient.StoreClient;
  codec: storeCodec.StoreCodec;
  prefix: string;
  /** Chooses the time between the sending of calls, milliseconds; asked while it passes. */
  chooseIntervalMs: () => number;
  readClocks: clocks.ReadClocks;
  drawRandom: () => number;
  /** Takes in all items, as they were at a revision or later. */
  applySnapshot: (items: storeCodec.StoreItem[], revision: gateway.StoreRevision) => void;
  /** Takes in the items that have changed up to a revision. */
  applyChanges: (items: storeCodec.StoreItem[], revision: gateway.StoreRevision) => void;
  /** What the store answered to a call that was sent at the given reading has been taken in. */
  confirm: (sent: gateway.ClockReading, isList: boolean) => { isListDue: boolean };
  reportLost: (reason: string) => void;
  reportRegained: (awayMs: number) => void;
  /** The store has been restored from an older backup; what it has now is taken in next. */
  applyEpoch: (change: storeEpoch.EpochChange) => void;
  /** The epoch of an answer does not follow the one that is known. */
  reportEpochFault: (fault: storeEpoch.EpochFault) => void;
  /** Told of names in answers that this product does not know. */
  reportUnknown: (found: unknownNames.UnknownName[]) => void;
};

export type StoreReader = {
  /** Resolves once the items have been read for the first time. */
  first: Promise<void>;
  stop: () => void;
};

/** Time that an answer may take, milliseconds: a slow store's. */
const ANSWER_MS = 1000;
/** First and longest pause after a failed call, milliseconds. */
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 500;
/** Least part of a pause; the rest is drawn, so that gateways do not call at once. */
const LEAST_PAUSE_SHARE = 0.5;
/** An interval that becomes shorter is noticed after this time, milliseconds. */
const INTERVAL_STEP_MS = 150;
const STATUS_OK = 200;
const STATUS_HISTORY_GONE = 410;

/** What the reader remembers between calls. */
type ReaderState = {
  options: StoreReaderOptions;
  /** Changes after this revision are not known; undefined while all is to be listed. */
  revision: gateway.StoreRevision | undefined;
  /** The latest revision that was read; tells the epoch. */
  latest: gateway.StoreRevision;
  failures: number;
  lostMs: number;
  stopped: boolean;
  noteFirst: () => void;
};

/**
 * Reads the epoch of an answer. What cannot be put in order is not used: an answer of an
 * earlier epoch would bring back what the later one has ended.
 */
function readEpoch({ options, latest }: ReaderState, answer: storeClient.StoreAnswer): number {
  options.reportUnknown(options.codec.findUnknownHeaders(answer.headers));
  const told = options.codec.parseEpoch(answer.headers);
  const { epoch, fault } = storeEpoch.resolveEpoch(latest.epoch, told);
  if (fault !== undefined) {
    options.reportEpochFault(fault);
  }
  if (epoch === undefined) {
    throw new Error(`epoch-${fault?.kind}`);
  }
  return epoch;
}

/** Lists all items; the first page's revision is where changes are followed from. */
async function readAll(state: ReaderState): Promise<{
  items: storeCodec.StoreItem[];
  revision: gateway.StoreRevision;
}> {
  const { client, codec, prefix } = state.options;
  const items: storeCodec.StoreItem[] = [];
  let revision: gateway.StoreRevision | undefined;
  let isLast = false;
  while (!isLast) {
    const path = codec.buildRangePath(prefix, items.at(-1)?.key);
    const answer = await client.call(path, ANSWER_MS);
    if (answer.status !== STATUS_OK) {
      throw new Error(`status-${answer.status}`);
    }
    const epoch = readEpoch(state, answer);
    if (revision !== undefined && epoch !== revision.epoch) {
      // Half of the list is from before the store went back.
      throw new Error('epoch-changed');
    }
    const page = codec.decodePage(answer.body, epoch);
    items.push(...page.items);
    revision ??= page.revision;
    isLast = page.isLast || page.items.length === 0;
  }
  return { items, revision: revision ?? gateway.EARLIEST_REVISION };
}

/** Waits. */
function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Notes that the store has answered. */
function noteAnswer(state: ReaderState): void {
  const { options } = state;
  if (state.failures > 0) {
    state.failures = 0;
    options.reportRegained(options.readClocks().steadyMs - state.lostMs);
  }
}

/** Waits until the next call is due; the interval may change while it passes. */
async function waitInterval(state: ReaderState, sentMs: number): Promise<void> {
  const { options } = state;
  const computeLeft = () => options.chooseIntervalMs() - (options.readClocks().steadyMs - sentMs);
  let leftMs = computeLeft();
  while (leftMs > 0 && !state.stopped) {
    await pause(Math.min(leftMs, INTERVAL_STEP_MS));
    leftMs = computeLeft();
  }
}

/** Lists all items and takes them in. */
async function readList(state: ReaderState): Promise<void> {
  const { options, latest } = state;
  const sent = options.readClocks();
  const { items, revision } = await readAll(state);
  noteAnswer(state);
  if (latest.epoch !== revision.epoch && latest !== gateway.EARLIEST_REVISION) {
    options.applyEpoch({ before: latest, after: revision });
  }
  state.revision = revision;
  state.latest = revision;
  options.applySnapshot(items, revision);
  options.confirm(sent, true);
  state.noteFirst();
}

/** Asks for changes and takes them in; a store that has gone back is listed next. */
async function readChanges(state: ReaderState, since: gateway.StoreRevision): Promise<void> {
  const { options } = state;
  const { client, codec, prefix } = options;
  const sent = options.readClocks();
  const path = codec.buildWatchPath(prefix, since, 0);
  // Listed again after any answer that is not taken in.
  state.revision = undefined;
  const answer = await client.call(path, ANSWER_MS).catch((error: unknown) => {
    state.revision = since;
    throw error;
  });
  if (answer.status === STATUS_HISTORY_GONE) {
    return;
  }
  if (answer.status !== STATUS_OK) {
    state.revision = since;
    throw new Error(`status-${answer.status}`);
  }
  const epoch = readEpoch(state, answer);
  if (epoch !== since.epoch) {
    return;
  }
  const changes = codec.decodeChanges(answer.body, epoch);
  noteAnswer(state);
  state.revision = gateway.isLater(changes.revision, since) ? changes.revision : since;
  state.latest = state.revision;
  options.applyChanges(changes.items, changes.revision);
  if (options.confirm(sent, false).isListDue) {
    state.revision = undefined;
    return;
  }
  await waitInterval(state, sent.steadyMs);
}

/** Makes one call and takes in what it brings. */
function readOnce(state: ReaderState): Promise<void> {
  return state.revision === undefined ? readList(state) : readChanges(state, state.revision);
}

/** Notes a failed call and waits before the next one. */
async function handleFailure(state: ReaderState, error: unknown): Promise<void> {
  const { options } = state;
  if (state.failures === 0) {
    state.lostMs = options.readClocks().steadyMs;
    options.reportLost((error as Error).message);
  }
  const longest = Math.min(FIRST_PAUSE_MS * 2 ** state.failures, LONGEST_PAUSE_MS);
  state.failures += 1;
  const share = LEAST_PAUSE_SHARE + (1 - LEAST_PAUSE_SHARE) * options.drawRandom();
  await pause(longest * share);
}

/** Reads until it is stopped. */
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

/** Starts to follow a prefix. */
export function startStoreReader(options: StoreReaderOptions): StoreReader {
  let noteFirst = () => {};
  const first = new Promise<void>((resolve) => {
    noteFirst = resolve;
  });
  const state: ReaderState = {
    options,
    revision: undefined,
    latest: gateway.EARLIEST_REVISION,
    failures: 0,
    lostMs: 0,
    stopped: false,
    noteFirst,
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
