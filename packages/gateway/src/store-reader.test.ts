import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as storeCodec from './store-codec.js';
import * as storeReader from './store-reader.js';

const { test } = nodeTest;
const LONG_MS = 3_600_000;
const SHORT_MS = 1;

/** Answers of a store without items: a list at first, then changes. */
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
  decodeBackendServer: () => undefined,
  findUnknownFields: () => [],
  findUnknownHeaders: () => [],
  parseServerId: (key) => key,
  parseEvacuatedDomain: (key) => key,
};

/** What a reader has done, and how often it is to call. */
type Reading = {
  paths: string[];
  revisions: number[];
  intervalMs: number;
  /** Epochs and bodies of the first answers; the last one goes on. */
  answers?: { epoch: string; body: string }[];
  /** Epochs that were taken in, and calls that confirmed what is known. */
  epochs?: number[];
  confirmed?: number;
  /** The confirmation after which all is to be listed. */
  listDueAt?: number;
};

/** Starts a reader, and gives what waits until it has made some calls. */
function startReading(context: nodeTest.TestContext, reading: Reading) {
  let noteCall = () => {};
  const readNow = () => performance.now();
  const reader = storeReader.startStoreReader({
    client: {
      call: (path) => {
        reading.paths.push(path);
        noteCall();
        const { answers = [] } = reading;
        const answer = answers.length > 1 ? answers.shift() : answers[0];
        const headers = new Map(answer === undefined ? [] : [['epoch', answer.epoch] as const]);
        return Promise.resolve({ status: 200, headers, body: answer?.body ?? '' });
      },
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

test('interval that becomes shorter while it passes', async (context) => {
  // Nothing waits, and the next call to the store is an hour away. Then work waits for this
  // gateway to schedule it. The call is made now, not after the hour that it began with.
  const reading = { paths: [], revisions: [], intervalMs: LONG_MS };
  const waitForCalls = startReading(context, reading);
  await waitForCalls(2);
  reading.intervalMs = SHORT_MS;
  await waitForCalls(4);
  assert.deepEqual(reading.paths.slice(0, 4), ['range', 'watch-7', 'watch-8', 'watch-8']);
});

test('what is read comes with its revision', async (context) => {
  const reading = { paths: [], revisions: [], intervalMs: SHORT_MS };
  const waitForCalls = startReading(context, reading);
  await waitForCalls(3);
  assert.deepEqual(reading.revisions.slice(0, 2), [7, 8]);
});

test('list whose pages are of two epochs', async (context) => {
  // Guards against half a list from before the store went back: it would drop what is there.
  const answers = [
    { epoch: '1', body: 'first' },
    { epoch: '2', body: 'second' },
    { epoch: '2', body: 'first' },
    { epoch: '2', body: 'second' },
  ];
  const reading: Reading = { paths: [], revisions: [], intervalMs: LONG_MS, answers };
  const waitForCalls = startReading(context, reading);
  await waitForCalls(5);
  assert.deepEqual(reading.paths, ['range', 'range', 'range', 'range', 'watch-7']);
  assert.equal(reading.revisions.length, 1);
});

test('changes of a later epoch are listed anew', async (context) => {
  // Guards against changes that are told from a count which the store has given out twice.
  const answers = [
    { epoch: '1', body: '' },
    { epoch: '2', body: '' },
  ];
  const epochs: number[] = [];
  const reading: Reading = { paths: [], revisions: [], intervalMs: LONG_MS, answers, epochs };
  const waitForCalls = startReading(context, reading);
  await waitForCalls(4);
  assert.deepEqual(reading.paths, ['range', 'watch-7', 'range', 'watch-7']);
  assert.deepEqual(epochs, [2]);
  assert.deepEqual(reading.revisions, [7, 7]);
});

test('answer of an earlier epoch confirms nothing', async (context) => {
  // Guards against a lease that an answer renews which is not used.
  const answers = [
    { epoch: '2', body: '' },
    { epoch: '1', body: '' },
  ];
  const reading: Reading = { paths: [], revisions: [], intervalMs: LONG_MS, answers };
  const waitForCalls = startReading(context, reading);
  await waitForCalls(4);
  assert.deepEqual([reading.confirmed, reading.revisions.length], [1, 1]);
});

test('all is listed where changes fall behind', async (context) => {
  const reading: Reading = { paths: [], revisions: [], intervalMs: LONG_MS, listDueAt: 2 };
  const waitForCalls = startReading(context, reading);
  await waitForCalls(3);
  assert.deepEqual(reading.paths.slice(0, 3), ['range', 'watch-7', 'range']);
});
