import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as waitQueue from './wait-queue.js';

const { test } = nodeTest;

/** Takes all items from the queue and lists their serials in order. */
function sendAll(queue: waitQueue.WaitQueue): number[] {
  const sent: number[] = [];
  while (queue.items.length > 0) {
    const { serial } = queue.items[0];
    sent.push(serial);
    waitQueue.takeItem(queue, serial);
  }
  return sent;
}

/** Builds an item that is due at the time of its serial. */
function buildItem(serial: number, rank: number, workspace: string): waitQueue.WaitItem {
  return { serial, rank, workspace, workTokens: 100, enteredMs: 0, dueMs: serial };
}

test('urgent first, then in order', () => {
  const queue = waitQueue.createWaitQueue();
  waitQueue.addItem(queue, buildItem(1, 1, 'a'));
  waitQueue.addItem(queue, buildItem(2, 0, 'a'));
  waitQueue.addItem(queue, buildItem(3, 1, 'a'));
  assert.deepEqual(sendAll(queue), [2, 1, 3]);
});

test('workspace with many requests delays mainly itself', () => {
  // One workspace sends ten requests at once, then another sends one. In order of arrival, the
  // second workspace would wait for all ten.
  const queue = waitQueue.createWaitQueue();
  Array.from({ length: 10 }, (_, index) => waitQueue.addItem(queue, buildItem(index, 0, 'loud')));
  waitQueue.addItem(queue, buildItem(100, 0, 'quiet'));
  assert.ok(sendAll(queue).indexOf(100) <= 1);
});

test('idle workspace accumulates no credit', () => {
  const queue = waitQueue.createWaitQueue();
  Array.from({ length: 5 }, (_, index) => waitQueue.addItem(queue, buildItem(index, 0, 'a')));
  sendAll(queue);
  Array.from({ length: 3 }, (_, index) => waitQueue.addItem(queue, buildItem(10 + index, 0, 'b')));
  waitQueue.addItem(queue, buildItem(20, 0, 'a'));
  assert.ok(sendAll(queue).indexOf(20) <= 2);
});

test('due items are listed and tokens ahead counted', () => {
  const queue = waitQueue.createWaitQueue();
  [1, 2, 3].forEach((serial) => waitQueue.addItem(queue, buildItem(serial, serial, 'a')));
  assert.deepEqual(
    waitQueue.listDue(queue, 2).map(({ serial }) => serial),
    [1, 2],
  );
  assert.deepEqual(
    [...waitQueue.countTokensBefore(queue, 3, 'a')],
    [
      [1, 100],
      [2, 100],
      [3, 100],
    ],
  );
  assert.deepEqual(
    [...waitQueue.countTokensBefore(queue, 2, 'b')],
    [
      [1, 100],
      [2, 100],
    ],
  );
});

test('backlog of a workspace is ahead of its own requests only', () => {
  const queue = waitQueue.createWaitQueue();
  [1, 2, 3].forEach((serial) => waitQueue.addItem(queue, buildItem(serial, 0, 'loud')));
  assert.deepEqual([...waitQueue.countTokensBefore(queue, 0, 'loud')], [[0, 300]]);
  assert.deepEqual([...waitQueue.countTokensBefore(queue, 0, 'quiet')], [[0, 100]]);
});

test('many workspaces do not reset the tags of one that waits', () => {
  // The finish tags are bounded in number. If the tag of a waiting workspace were discarded, its
  // next request would go before its earlier ones and before those of workspaces that wait.
  const queue = waitQueue.createWaitQueue();
  [1, 2, 3].forEach((serial) => waitQueue.addItem(queue, buildItem(serial, 0, 'loud')));
  Array.from({ length: 5000 }, (_, index) => {
    waitQueue.addItem(queue, buildItem(10 + index, 0, `passing ${index}`));
    return waitQueue.takeItem(queue, 10 + index);
  });
  waitQueue.addItem(queue, buildItem(4, 0, 'loud'));
  assert.deepEqual(sendAll(queue), [1, 2, 3, 4]);
  assert.ok(queue.finishTags.size < 5000);
});

test('work received elsewhere delays a workspace by its recent use at most', () => {
  // A workspace that received much elsewhere over a long time would not be served at all here.
  const queue = waitQueue.createWaitQueue();
  queue.elsewhere.set('0 busy', { received: 1e6, recent: 250, updatedMs: 0 });
  [1, 2].forEach((serial) => waitQueue.addItem(queue, buildItem(serial, 0, 'busy')));
  queue.elsewhere.set('0 busy', { received: 1e6, recent: 0, updatedMs: 0 });
  waitQueue.addItem(queue, buildItem(3, 0, 'busy'));
  [11, 12, 13, 14, 15].forEach((serial) => waitQueue.addItem(queue, buildItem(serial, 0, 'other')));
  waitQueue.addItem(queue, buildItem(4, 1, 'busy'));
  assert.deepEqual(sendAll(queue), [11, 12, 13, 1, 14, 2, 15, 3, 4]);
});
