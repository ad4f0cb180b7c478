import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as storeCodec from './store-codec.js';
import * as storeReader from './store-reader.js';

const { test } = nodeTest;
const LONG_MS = 3_600_000;
const SHORT_MS = 1;

/**
 * Decodes the responses of a fake store: lists with one deleted item, and changes without items.
 */
const CODEC: storeCodec.StoreCodec = {
  buildRangePath: () => 'range',
  buildWatchPath: (_, revision) => `watch-${revision.count}`,
  parseEpoch: (headers) => {
    const epoch = headers.get('epoch');
    return epoch === undefined ? { kind: 'none' } : { kind: 'told', epoch: Number(epoch) };
  },
  decodePage: (body, epoch) => {
    const item = { key: body, value: undefined, revision: { epoch, count: 7 } };
    return { items: [item], isLast: body !== 'first', revision: { epoch, count: 7 } };
  },
  decodeChanges: (_, epoch) => ({ items: [], revision: { epoch, count: 8 } }),
  decodeConfiguration: () => {
    throw new Error('there is no configuration');
  },
  decodeBackendServer: () => ({ kind: 'faulty', faults: [] }),
  findUnknownFields: () => [],
  findUnknownHeaders: () => [],
  parseServerId: (key) => key,
  parseEvacuatedDomain: (key) => key,
};

/** What a reader has done so far, and how the fake store and its caller behave. */
type Reading = {
  paths: string[];
  revisions: number[];
  intervalMs: number;
  /** Epochs and bodies of the responses in order; the last one is repeated. */
  responses?: { epoch: string; body: string }[];
  /** Epoch changes that were applied, and number of confirmations. */
  epochs?: number[];
  confirmed?: number;
  /** Number of the confirmation after which all items must be listed. */
  listDueAt?: number;
};

/** Starts a reader; returns a function that waits until it has made a number of calls. */
function startReading(context: nodeTest.TestContext, reading: Reading) {
  let noteCall = () => {};
  const readNow = () => performance.now();
  const reader = storeReader.startStoreReader({
    client: {
      call: (path) => {
        reading.paths.push(path);
        noteCall();
        const { responses = [] } = reading;
        const response = responses.length > 1 ? responses.shift() : responses[0];
        const headers = new Map(response === undefined ? [] : [['epoch', response.epoch] as const]);
        const body = response?.body ?? '';
        return Promise.resolve({ status: 200, headers, body, isTooLong: false });
      },
      getReceivedBytes: () => 0,
      stop: () => {},
    },
    codec: CODEC,
    prefix: '',
    chooseIntervalMs: () => reading.intervalMs,
    readClocks: () => ({ steadyMs: readNow(), wallMs: readNow(), uptimeMs: readNow() }),
    drawRandom: () => 0.5,
    applySnapshot: (_, { count }) => reading.revisions.push(count),
    applyChanges: (_, { count }) => reading.revisions.push(count),
    confirm: () => {
      reading.confirmed = (reading.confirmed ?? 0) + 1;
      return { isListDue: reading.confirmed === reading.listDueAt };
    },
    reportLost: () => {},
    reportRegained: () => {},
    applyEpoch: ({ after }) => reading.epochs?.push(after.epoch),
    reportEpochFault: () => {},
    reportUnknown: () => {},
  });
  context.after(() => reader.stop());
  return (calls: number) =>
    new Promise<void>((resolve) => {
      noteCall = () => {
        if (reading.paths.length >= calls) {
          resolve();
        }
      };
      noteCall();
    });
}

test('shorter interval takes effect during the current wait', async (context) => {
  // No request is queued, so the next call to the store is an hour away. Then a request is queued
  // for this gateway to schedule. The call must be made at once, not at the end of the hour.
  const reading = { paths: [], revisions: [], intervalMs: LONG_MS };
  const waitForCalls = startReading(context, reading);
  await waitForCalls(2);
  reading.intervalMs = SHORT_MS;
  await waitForCalls(4);
  assert.deepEqual(reading.paths.slice(0, 4), ['range', 'watch-7', 'watch-8', 'watch-8']);
});

test('items are applied with their revision', async (context) => {
  const reading = { paths: [], revisions: [], intervalMs: SHORT_MS };
  const waitForCalls = startReading(context, reading);
  await waitForCalls(3);
  assert.deepEqual(reading.revisions.slice(0, 2), [7, 8]);
});

test('list is read again if its pages have different epochs', async (context) => {
  // Guards against applying a list that is partly from before the store was restored: entries that
  // exist would be dropped.
  const responses = [
    { epoch: '1', body: 'first' },
    { epoch: '2', body: 'second' },
    { epoch: '2', body: 'first' },
    { epoch: '2', body: 'second' },
  ];
  const reading: Reading = { paths: [], revisions: [], intervalMs: LONG_MS, responses };
  const waitForCalls = startReading(context, reading);
  await waitForCalls(5);
  assert.deepEqual(reading.paths, ['range', 'range', 'range', 'range', 'watch-7']);
  assert.equal(reading.revisions.length, 1);
});

test('changes of a later epoch cause a new list', async (context) => {
  // Guards against reading changes since a revision number that the store, once restored, has used
  // a second time.
  const responses = [
    { epoch: '1', body: '' },
    { epoch: '2', body: '' },
  ];
  const epochs: number[] = [];
  const reading: Reading = { paths: [], revisions: [], intervalMs: LONG_MS, responses, epochs };
  const waitForCalls = startReading(context, reading);
  await waitForCalls(4);
  assert.deepEqual(reading.paths, ['range', 'watch-7', 'range', 'watch-7']);
  assert.deepEqual(epochs, [2]);
  assert.deepEqual(reading.revisions, [7, 7]);
});

test('response of an earlier epoch confirms nothing', async (context) => {
  // Guards against renewing the lease with a response that is not used.
  const responses = [
    { epoch: '2', body: '' },
    { epoch: '1', body: '' },
  ];
  const reading: Reading = { paths: [], revisions: [], intervalMs: LONG_MS, responses };
  const waitForCalls = startReading(context, reading);
  await waitForCalls(4);
  assert.deepEqual([reading.confirmed, reading.revisions.length], [1, 1]);
});

test('all items are listed if changes fall behind', async (context) => {
  const reading: Reading = { paths: [], revisions: [], intervalMs: LONG_MS, listDueAt: 2 };
  const waitForCalls = startReading(context, reading);
  await waitForCalls(3);
  assert.deepEqual(reading.paths.slice(0, 3), ['range', 'watch-7', 'range']);
});
