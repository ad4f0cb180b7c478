import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as cells from './cell.js';
import type * as scheduledRequest from './scheduled-request.js';
import * as waiting from './waiting.js';

const { test } = nodeTest;
const START_MS = 10_000;
const LEAVE_MS = START_MS + 2000;

/** Adds a request to a cell; returns whether it was queued. */
function addRequest(
  cell: cells.Cell,
  id: number,
  changes: Partial<scheduledRequest.ScheduledRequest>,
  now = START_MS,
): boolean {
  const request = {
    id,
    asker: 'a',
    serial: id,
    attemptId: String(id),
    workspace: `w${id}`,
    failureDomain: 'd',
    share: 1,
    urgency: 1,
    isBeyondQuota: false,
    workTokens: 100,
    promptTokens: 0,
    answerTokens: 100,
    arrivedMs: now,
    isBelated: false,
    targetMs: now + 400,
    leaveMs: LEAVE_MS,
    giveUpMs: START_MS + 6000,
    triedIds: new Set<string>(),
    excludedDomains: new Set<string>(),
    ...changes,
  };
  const isQueued = waiting.enqueueRequest(cell, request, now);
  if (isQueued) {
    cell.requests.set(id, request);
  }
  return isQueued;
}

/** Creates a cell in which requests of all ranks have waited for long without a slot. */
function createStalledCell(): cells.Cell {
  const cell = cells.createCell('one/0', 0);
  addRequest(cell, 1, { targetMs: START_MS + 3000, workspace: 'w' }, START_MS - 1000);
  const late = { targetMs: START_MS - 1000, workspace: 'w' };
  addRequest(cell, 2, late, START_MS - 1000);
  addRequest(cell, 3, { ...late, isBelated: true }, START_MS - 1000);
  return cell;
}

test('return is not refused on arrival in an overload', () => {
  // A caller that was refused returns once, while requests of its tier are late. If its return is
  // refused on arrival too, it gets no response although a slot may become free in its time.
  const cell = createStalledCell();
  const late = { targetMs: START_MS };
  assert.equal(addRequest(cell, 4, late), false);
  assert.equal(addRequest(cell, 5, { ...late, isBelated: true }), true);
});

test('late returns and late first attempts share a rank', () => {
  // The returns of a workspace with many requests must not delay those of others, in either order,
  // and no return may make a request late that can still be on time.
  const cell = cells.createCell('one/0', 0);
  const late = { targetMs: START_MS };
  addRequest(cell, 1, { ...late, workspace: 'hot' });
  addRequest(cell, 2, { ...late, workspace: 'hot', isBelated: true });
  addRequest(cell, 3, { ...late, workspace: 'hot' });
  addRequest(cell, 4, { ...late, isBelated: true });
  addRequest(cell, 5, late);
  addRequest(cell, 6, {});
  const order = cell.queue.items.map(({ serial }) => serial);
  assert.deepEqual(order, [6, 1, 4, 5, 2, 3]);
});

test('late return waits for as long as its caller', () => {
  // Its tier gets no slot for seconds. Refused for that, it would be refused twice; kept longer
  // than its caller waits, it would take a slot for a response that nobody reads.
  const cell = createStalledCell();
  addRequest(cell, 4, { isBelated: true });
  const listRefused = (now: number) => waiting.updateLateRequests(cell, now).map(({ id }) => id);
  assert.ok(!listRefused(LEAVE_MS - 100).includes(4));
  assert.ok(listRefused(LEAVE_MS).includes(4));
  assert.deepEqual(cell.lateReturns, { queued: 2, sent: 0, refused: 2 });
});
