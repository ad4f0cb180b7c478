import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as waitQueue from './wait-queue.js';
import * as workspaceShares from './workspace-shares.js';

const { test } = nodeTest;

/** Builds the quotas of workspaces w0, w1 and so on. */
function buildQuotas(rates: readonly number[], unit = 'tokens'): workspaceShares.DeclaredQuota[] {
  return rates.map((perSecond, index) => ({ workspace: `w${index}`, unit, perSecond }));
}

test('shares are relative to the mean, and bounded', () => {
  const shares = workspaceShares.computeShares(buildQuotas([10, 20, 30, 1, 139, 0]));
  assert.deepEqual(
    [...shares],
    [
      ['w0', 0.25],
      ['w1', 0.5],
      ['w2', 0.75],
      ['w3', 0.25],
      ['w4', 3.475],
    ],
  );
});

test('quotas of different units are not compared', () => {
  const quotas = [...buildQuotas([1000, 3000]), ...buildQuotas([0, 0, 5], 'requests')];
  assert.deepEqual(
    [...workspaceShares.computeShares(quotas)],
    [
      ['w0', 0.5],
      ['w1', 1.5],
    ],
  );
});

test('share of a request that is missing or invalid is the usual one', () => {
  // A gateway of the previous version sends no share. One that is not a positive number would make
  // a tag infinite or not a number, and the workspace would never be served.
  const shares = [undefined, 0, -1, NaN, Infinity, 1e-9, 2].map(workspaceShares.readShare);
  assert.deepEqual(shares, [1, 1, 1, 1, 4, 0.25, 2]);
});

/** Sends a load of four workspaces through a queue and lists the serials in the order sent. */
function listOrder(
  steps: readonly { workspace: number; rank: number; workTokens: number; isSent: boolean }[],
  findShare: (workspace: string) => number | undefined,
): number[] {
  const queue = waitQueue.createWaitQueue();
  const sent: number[] = [];
  const sendFirst = () => {
    sent.push(queue.items[0].serial);
    waitQueue.takeItem(queue, queue.items[0].serial);
  };
  steps.forEach(({ rank, workTokens, isSent, ...step }, serial) => {
    const workspace = `w${step.workspace}`;
    const share = findShare(workspace);
    const item = { serial, rank, workspace, share, workTokens, enteredMs: 0, dueMs: 0 };
    waitQueue.addItem(queue, item);
    if (isSent) {
      sendFirst();
    }
  });
  while (queue.items.length > 0) {
    sendFirst();
  }
  return sent;
}

test('equal declared quotas give the order without quotas', () => {
  const step = fastCheck.record({
    workspace: fastCheck.integer({ min: 0, max: 3 }),
    rank: fastCheck.integer({ min: 0, max: 2 }),
    workTokens: fastCheck.double({ min: 1, max: 3000, noNaN: true }),
    isSent: fastCheck.boolean(),
  });
  const perSecond = fastCheck.double({ min: 1e-3, max: 1e9, noNaN: true });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 60 }), perSecond, (steps, rate) => {
      // One workspace declares none: its share is 1 as well.
      const shares = workspaceShares.computeShares(buildQuotas([rate, rate, rate]));
      const withQuotas = listOrder(steps, (workspace) => shares.get(workspace));
      const readBack = listOrder(steps, () => workspaceShares.readShare(undefined));
      assert.deepEqual(
        withQuotas,
        listOrder(steps, () => undefined),
      );
      assert.deepEqual(readBack, withQuotas);
    }),
  );
});

test('waiting workspaces are served by their shares', () => {
  const steps = Array.from({ length: 900 }, (_, index) => ({
    workspace: index % 3,
    rank: 0,
    workTokens: 100,
    isSent: false,
  }));
  const shares = new Map([
    ['w0', 4],
    ['w1', 0.25],
  ]);
  const first = listOrder(steps, (workspace) => shares.get(workspace)).slice(0, 210);
  const counts = [0, 1, 2].map((workspace) => first.filter((at) => at % 3 === workspace).length);
  assert.deepEqual(counts, [160, 10, 40]);
});
