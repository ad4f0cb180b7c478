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
  buildWatchPath: (_, revision) => `watch-${revision}`,
  decodePage: () => ({ items: [], isLast: true, revision: 7 }),
  decodeChanges: () => ({ items: [], revision: 8 }),
  decodeConfiguration: () => {
    throw new Error('there is no configuration');
  },
  decodeBackendServer: () => undefined,
  parseServerId: (key) => key,
  parseEvacuatedDomain: (key) => key,
};

/** What a reader has done, and how often it is to call. */
type Reading = { paths: string[]; revisions: number[]; intervalMs: number };

/** Starts a reader, and gives what waits until it has made some calls. */
function startReading(context: nodeTest.TestContext, reading: Reading) {
  let noteCall = () => {};
  const readNow = () => performance.now();
  const reader = storeReader.startStoreReader({
    client: {
      call: (path) => {
        reading.paths.push(path);
        noteCall();
        return Promise.resolve({ status: 200, body: '' });
      },
      stop: () => {},
    },
    codec: CODEC,
    prefix: '',
    chooseIntervalMs: () => reading.intervalMs,
    readClocks: () => ({ steadyMs: readNow(), wallMs: readNow(), uptimeMs: readNow() }),
    drawRandom: () => 0.5,
    applySnapshot: (_, revision) => reading.revisions.push(revision),
    applyChanges: (_, revision) => reading.revisions.push(revision),
    confirm: () => {},
    reportLost: () => {},
    reportRegained: () => {},
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
