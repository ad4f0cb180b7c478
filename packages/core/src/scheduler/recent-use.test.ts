import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as gatewayFixture from '../gateway/mocks/gateway-fixture.js';
import * as schedulerFixture from './mocks/scheduler-fixture.js';
import * as recentUse from './recent-use.js';
import * as scheduler from './scheduler.js';
import * as waitQueue from './wait-queue.js';

const { test } = nodeTest;
const DECAY_MS = recentUse.USE_DECAY_MS;
const REQUEST = { workspace: 'w', urgency: 0, share: 1, workTokens: 100 };
const HOT_USE = schema.create(schema.RecentUseSchema, {
  workspace: 'hot',
  tiers: [{ urgency: 0, workTokens: 250 }],
});

test('workspace of one queue only received nothing elsewhere', () => {
  // Without allowance for the time until a grant is reported, each report would look like work
  // received elsewhere, and the order within one cell would change.
  const use = recentUse.createRecentUse();
  let last: recentUse.ReportedUse[] = [];
  for (let now = 0; now < 20_000; now += 500) {
    recentUse.noteGrant(use, REQUEST, now);
    const workTokens = 100 + (last[0]?.workTokens ?? 0) * Math.exp(-500 / DECAY_MS);
    const next = [{ key: '0 w', workTokens }];
    recentUse.applyReport(use, last, now - 480, next, now + 20);
    last = next;
    assert.equal(recentUse.estimateElsewhere(use, REQUEST, now + 20), 0);
  }
});

test('steady use in two cells counts once', () => {
  // Failure: grants of this cell lower the estimate until they are reported, and each report then
  // counts as new use elsewhere; a workspace with many requests waits behind all others.
  const use = recentUse.createRecentUse();
  const queue = waitQueue.createWaitQueue();
  const [step, durationMs, perGrant] = [50, 30_000, 100];
  let reported = 0;
  let last: recentUse.ReportedUse[] = [];
  for (let now = 0; now < durationMs; now += step) {
    recentUse.noteGrant(use, { ...REQUEST, workTokens: perGrant }, now);
    reported = reported * Math.exp(-step / DECAY_MS) + 2 * perGrant;
    if (now % 500 === 0) {
      const next = [{ key: '0 w', workTokens: reported }];
      recentUse.applyReport(use, last, now - 500, next, now);
      last = next;
    }
    recentUse.updateElsewhere(use, queue, REQUEST, now);
  }
  const elsewhere = (durationMs / step) * perGrant;
  const received = queue.elsewhere.get('0 w')?.received ?? 0;
  assert.ok(received < 1.2 * elsewhere, String(received));
});

test('reports of all gateways add up, and the last of each counts', () => {
  const use = recentUse.createRecentUse();
  const first = [{ key: '0 w', workTokens: 1000 }];
  recentUse.applyReport(use, [], 0, first, 0);
  recentUse.applyReport(use, [], 0, [{ key: '0 w', workTokens: 500 }], 0);
  assert.equal(recentUse.estimateElsewhere(use, REQUEST, 0), 1500);
  const left = recentUse.estimateElsewhere(use, REQUEST, DECAY_MS);
  assert.ok(Math.abs(left - 1500 / Math.E) < 1, String(left));
  recentUse.applyReport(use, first, 0, [], DECAY_MS);
  const other = recentUse.estimateElsewhere(use, REQUEST, DECAY_MS);
  assert.ok(Math.abs(other - 500 / Math.E) < 1, String(other));
});

/** Builds an ask with one request of each given workspace. */
function buildAsk(
  sequence: number,
  workspaces: readonly string[],
  changes: Partial<Pick<schema.ScheduleAsk, 'recentUse' | 'lastGrant'>> = {},
): schema.ScheduleAsk {
  const times = { targetLeftMs: 5000, leaveLeftMs: 8000, giveUpLeftMs: 9000, workTokens: 100 };
  const requests = workspaces.map((workspace, index) =>
    schema.create(schema.WaitingRequestSchema, {
      serial: sequence * 100 + index,
      attemptId: workspace,
      workspace,
      ...times,
    }),
  );
  const identity = { address: '10.0.0.2:1', life: 'b', cell: 'one/0', sequence };
  return schema.create(schema.ScheduleAskSchema, { ...identity, requests, ...changes });
}

/** Lists the workspaces in the order in which a scheduler with one free slot serves them. */
function listServed(
  own: scheduler.Scheduler,
  sequence: number,
  count: number,
  now: number,
): string[] {
  const entry = gatewayFixture.buildEntry('a', { slots: 1 });
  const servers = schedulerFixture.buildServers([entry]);
  return Array.from({ length: count }, (_, index) => {
    const lastGrant = own.nextGrant - 1;
    scheduler.receiveAsk(own, buildAsk(sequence + index, [], { lastGrant }), now + index);
    const [granted] = scheduler.scheduleRequests(own, () => servers, now + index);
    return granted.request.workspace;
  });
}

test('order of workspaces holds after a takeover', () => {
  // The scheduler is lost while one workspace has received far more than the other. Its successor
  // would serve both in the order in which their requests arrive again.
  const own = scheduler.createScheduler('10.0.0.1:1', 'life', () => 0.5);
  const names = ['hot', 'hot', 'quiet', 'quiet', 'quiet', 'quiet'];
  scheduler.receiveAsk(own, buildAsk(1, names, { recentUse: [HOT_USE] }), 1000);
  const served = listServed(own, 2, 6, 1000);
  assert.deepEqual(served, ['quiet', 'quiet', 'quiet', 'hot', 'quiet', 'hot']);
});

test('recent use delays nobody after it has decayed', () => {
  // A workspace would wait for work that it received long ago.
  const own = scheduler.createScheduler('10.0.0.1:1', 'life', () => 0.5);
  const late = 1000 + 10 * DECAY_MS;
  scheduler.receiveAsk(own, buildAsk(1, [], { recentUse: [HOT_USE] }), 1000);
  scheduler.receiveAsk(own, buildAsk(2, ['hot', 'hot', 'quiet', 'quiet']), late);
  assert.deepEqual(listServed(own, 3, 2, late).sort(), ['hot', 'quiet']);
});

test('recent use of a gateway that is gone is forgotten', () => {
  const own = scheduler.createScheduler('10.0.0.1:1', 'life', () => 0.5);
  scheduler.receiveAsk(own, buildAsk(1, [], { recentUse: [HOT_USE] }), 1000);
  scheduler.scheduleRequests(own, () => schedulerFixture.buildServers([]), 3000);
  const cell = own.cells.get('one/0');
  assert.equal(
    cell && recentUse.estimateElsewhere(cell.recentUse, { workspace: 'hot', urgency: 0 }, 3000),
    0,
  );
});

test('use of one urgency does not delay another', () => {
  // A workspace that receives much urgent work elsewhere would starve at the less urgent ranks,
  // whose virtual time advances more slowly.
  const own = scheduler.createScheduler('10.0.0.1:1', 'life', () => 0.5);
  const tiers = [{ urgency: 1, workTokens: 250 }];
  const other = schema.create(schema.RecentUseSchema, { workspace: 'hot', tiers });
  scheduler.receiveAsk(own, buildAsk(1, ['hot', 'quiet'], { recentUse: [other] }), 1000);
  assert.deepEqual(listServed(own, 2, 2, 1000), ['hot', 'quiet']);
});
