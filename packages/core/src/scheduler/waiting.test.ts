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
    softwareVersion: undefined,
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

test('late return is refused with the late first attempts of its tier', () => {
  // Failure: late returns that are kept until their callers leave fill the queue of a full service,
  // and more urgent first attempts are refused meanwhile.
  const cell = createStalledCell();
  const late = { targetMs: START_MS };
  assert.equal(addRequest(cell, 4, late), false);
  assert.equal(addRequest(cell, 5, { ...late, isBelated: true }), false);
});

test('late returns are counted by what becomes of them', () => {
  const cell = createStalledCell();
  const refused = waiting.updateLateRequests(cell, LEAVE_MS).map(({ id }) => id);
  assert.ok(refused.includes(3));
  assert.deepEqual(cell.lateReturns, { queued: 1, sent: 0, refused: 1 });
});
