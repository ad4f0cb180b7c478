/**
 * Follows the items under a prefix of the store.
 *
 * Lists them once and then asks for changes, again and again. Where the store
 * has dropped the history in between, it lists again. Each answer confirms what
 * is known as of the sending of its call, not of its arrival: an answer may be
 * late, and what it says may be over by then.
 */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as clocks from './clocks.js';
import type * as storeClient from './store-client.js';
import type * as storeCodec from './store-codec.js';

export type StoreReaderOptions = {
  name: string;
  client: storeClient.StoreClient;
  codec: storeCodec.StoreCodec;
  prefix: string;
  /** How long a call waits for changes, milliseconds. */
  waitMs: number;
  /** Pause between calls that brought changes, milliseconds. */
  pauseMs: number;
  readClocks: clocks.ReadClocks;
  drawRandom: () => number;
  applySnapshot: (items: storeCodec.StoreItem[]) => void;
  applyChanges: (items: storeCodec.StoreItem[]) => void;
  /** The store has answered a call that was sent at the given reading. */
  confirm: (sent: gateway.ClockReading) => void;
  reportLost: (name: string, reason: string) => void;
  reportRegained: (name: string, awayMs: number) => void;
};

export type StoreReader = {
  /** Resolves once the items have been read for the first time. */
  first: Promise<void>;
  stop: () => void;
};

/** Time beyond its waiting that an answer may take, milliseconds: a slow store's. */
const ANSWER_MS = 1000;
/** First and longest pause after a failed call, milliseconds. */
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 500;
/** Least part of a pause; the rest is drawn, so that gateways do not call at once. */
const LEAST_PAUSE_SHARE = 0.5;
const STATUS_OK = 200;
const STATUS_HISTORY_GONE = 410;

/** What the reader remembers between calls. */
type ReaderState = {
  options: StoreReaderOptions;
  /** Changes after this revision are not known; undefined before the first list. */
  revision: number | undefined;
  failures: number;
  lostMs: number;
  stopped: boolean;
  noteFirst: () => void;
};

/** Lists all items; the first page's revision is where changes are followed from. */
async function readAll({ client, codec, prefix }: StoreReaderOptions): Promise<{
  items: storeCodec.StoreItem[];
  revision: number;
}> {
  const items: storeCodec.StoreItem[] = [];
  let revision: number | undefined;
  let isLast = false;
  while (!isLast) {
    const path = codec.buildRangePath(prefix, items.at(-1)?.key);
    const { status, body } = await client.call(path, ANSWER_MS);
    if (status !== STATUS_OK) {
      throw new Error(`status-${status}`);
    }
    const page = codec.decodePage(body);
    items.push(...page.items);
    revision ??= page.revision;
    isLast = page.isLast || page.items.length === 0;
  }
  return { items, revision: revision ?? 0 };
}

/** Waits. */
function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Notes that the store has answered. */
function noteAnswer(state: ReaderState, sent: gateway.ClockReading): void {
  const { options } = state;
  if (state.failures > 0) {
    state.failures = 0;
    options.reportRegained(options.name, options.readClocks().steadyMs - state.lostMs);
  }
  options.confirm(sent);
}

/** Makes one call and takes in what it brings. */
async function readOnce(state: ReaderState): Promise<void> {
  const { options } = state;
  const { client, codec, prefix, waitMs } = options;
  const sent = options.readClocks();
  if (state.revision === undefined) {
    const { items, revision } = await readAll(options);
    noteAnswer(state, sent);
    state.revision = revision;
    options.applySnapshot(items);
    state.noteFirst();
    return;
  }
  // After a failed call the age of what is known matters more than the number of
  // calls: an answer that comes at once renews the lease before it runs out.
  const boundedMs = state.failures > 0 ? 0 : waitMs;
  const path = codec.buildWatchPath(prefix, state.revision, boundedMs);
  const { status, body } = await client.call(path, boundedMs + ANSWER_MS);
  if (status === STATUS_HISTORY_GONE) {
    state.revision = undefined;
    return;
  }
  if (status !== STATUS_OK) {
    throw new Error(`status-${status}`);
  }
  const changes = codec.decodeChanges(body);
  noteAnswer(state, sent);
  state.revision = Math.max(changes.revision, state.revision);
  options.applyChanges(changes.items);
  if (changes.items.length > 0 && options.pauseMs > 0) {
    await pause(options.pauseMs);
  }
}

/** Notes a failed call and waits before the next one. */
async function handleFailure(state: ReaderState, error: unknown): Promise<void> {
  const { options } = state;
  if (state.failures === 0) {
    state.lostMs = options.readClocks().steadyMs;
    options.reportLost(options.name, (error as Error).message);
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
