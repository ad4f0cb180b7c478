import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as schema from '@toucanproxy/schema';
import * as bench from '../agent/mocks/agent-fixture.js';
import * as startQueue from './start-queue.js';

const ITEM: startQueue.QueuedItem = {
  kind: startQueue.QueuedKind.ATTEMPT,
  id: '',
  tierRank: 0,
  workspace: 'brim',
  weight: 1,
  estimatedTokens: 1000,
  deadlineMs: 0,
};

/** Takes up to `count` items from the queue. */
function takeMany(queue: startQueue.StartQueue, count: number): startQueue.QueuedItem[] {
  return Array.from({ length: count }).flatMap(() => {
    const item = startQueue.findNext(queue);
    if (item !== undefined) {
      startQueue.takeItem(queue, item);
    }
    return item === undefined ? [] : [item];
  });
}

nodeTest.test('workspaces share a tier by weight and tokens', () => {
  const queue = startQueue.createStartQueue();
  Array.from({ length: 600 }).forEach((_, index) => {
    const id = String(index);
    startQueue.enqueue(queue, { ...ITEM, id: `a${id}`, workspace: 'a' });
    startQueue.enqueue(queue, { ...ITEM, id: `b${id}`, workspace: 'b', estimatedTokens: 10_000 });
    startQueue.enqueue(queue, { ...ITEM, id: `c${id}`, workspace: 'c', weight: 2 });
  });
  const taken = takeMany(queue, 900);
  const sumTokens = (workspace: string) =>
    taken
      .filter((item) => item.workspace === workspace)
      .reduce((sum, item) => sum + item.estimatedTokens, 0);
  assert.ok(Math.abs(sumTokens('a') - sumTokens('b')) <= 14_000);
  assert.ok(Math.abs(sumTokens('c') - 2 * sumTokens('a')) <= 14_000);
});

nodeTest.test('the queue returns each item once, tiers in order', () => {
  const arbitrary = fastCheck.array(
    fastCheck.record({
      tierRank: fastCheck.nat(4),
      workspace: fastCheck.constantFrom('a', 'b', 'c'),
      weight: fastCheck.nat(3),
      estimatedTokens: fastCheck.oneof(fastCheck.nat(9000), fastCheck.constant(Number.NaN)),
      removed: fastCheck.boolean(),
    }),
  );
  fastCheck.assert(
    fastCheck.property(arbitrary, (given) => {
      const queue = startQueue.createStartQueue();
      given.forEach((one, index) => startQueue.enqueue(queue, { ...ITEM, ...one, id: `${index}` }));
      const removed = given.flatMap((one, index) => (one.removed ? [`${index}`] : []));
      removed.forEach((id) => startQueue.removeItem(queue, ITEM.kind, id));
      const taken = takeMany(queue, given.length);
      const ranks = taken.map((item) => item.tierRank);
      assert.deepEqual(
        ranks,
        [...ranks].sort((a, b) => a - b),
      );
      assert.equal(new Set(taken.map((item) => item.id)).size, given.length - removed.length);
      assert.equal(startQueue.countTokens(queue), 0);
      assert.equal(queue.tiers.length, 0);
    }),
    { seed: 7 },
  );
});

nodeTest.test('an urgent arrival evicts the newest of the least urgent tier', () => {
  // The queue is full. The evicted draft must be reported as not run, and the urgent attempt is
  // queued instead. A draft that arrives afterwards must be refused, because everything in the
  // queue is at least as urgent.
  const agent = bench.createAgentFixture({ maxRunning: 1, maxQueued: 2 });
  bench.offer(agent, 'running');
  bench.offer(agent, 'draft-old', { tierRank: 2 });
  bench.offer(agent, 'draft-new', { tierRank: 2 });
  const effects = bench.offer(agent, 'stall');
  const [evicted] = bench.listSent(effects, 'notRun');
  assert.equal(evicted.ref?.requestId, 'draft-new');
  assert.equal(evicted.code, schema.ResultCode.EVICTED);
  const [refused] = bench.listSent(bench.offer(agent, 'third', { tierRank: 2 }), 'notRun');
  assert.equal(refused.code, schema.ResultCode.QUEUE_FULL);
});

nodeTest.test('a full queue of urgent work takes the slot reserved for a draft', () => {
  // The only slot is reserved for a draft whose offer is in transit, and the queue is full of
  // urgent attempts. The next urgent one must be accepted: the draft loses its reservation before
  // an urgent attempt is shed.
  const agent = bench.createAgentFixture({ maxRunning: 1, maxQueued: 1 });
  bench.reserve(agent, 'draft', { tierRank: 2 });
  bench.offer(agent, 'stall-1');
  const effects = bench.offer(agent, 'stall-2');
  assert.deepEqual(bench.listStarted(effects), ['stall-1']);
  assert.equal(bench.listSent(effects, 'reserveRefused')[0].requestId, 'draft');
  assert.equal(bench.listSent(effects, 'accepted').length, 1);
  assert.deepEqual(bench.listObserved(effects, 'invariantBroken'), []);
});

nodeTest.test('headroom is kept for the most urgent tier', () => {
  const agent = bench.createAgentFixture({ maxRunning: 4, urgentHeadroomPercent: 25 });
  const drafts = ['a', 'b', 'c', 'd'].flatMap((id) => bench.offer(agent, id, { tierRank: 1 }));
  assert.deepEqual(bench.listStarted(drafts), ['a', 'b', 'c']);
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'stall')), ['stall']);
});
