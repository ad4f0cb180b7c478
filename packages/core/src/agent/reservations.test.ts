import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as bench from './mocks/agent-bench.js';
import * as reservation from './reservation.js';

/** Lists the requests that were granted a place. */
function listGranted(effects: ReturnType<typeof bench.advance>): string[] {
  return bench.listSent(effects, 'grant').map((grant) => grant.requestId);
}

nodeTest.test('grants the most urgent reservation when a place is free', () => {
  const agent = bench.createBench({ maxRunning: 1, urgentHeadroomPercent: 1 });
  bench.offer(agent, 'running');
  bench.reserve(agent, 'draft', { tierRank: 1 });
  bench.reserve(agent, 'stall', { tierRank: 0 });
  const effects = bench.complete(agent, 'running');
  assert.deepEqual(listGranted(effects), ['stall']);
  assert.deepEqual(bench.listStarted(effects), []);
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'stall')), ['stall']);
});

nodeTest.test('a held place counts as used', () => {
  const agent = bench.createBench({ maxRunning: 1 });
  assert.deepEqual(listGranted(bench.reserve(agent, 'held')), ['held']);
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'other')), []);
  assert.deepEqual(bench.listStarted(bench.release(agent, 'held')), ['other']);
});

nodeTest.test('a grant whose offer never comes', () => {
  // The entry dies, or its link, between grant and offer. No caller sees
  // anything: the place lapses, the next one in the queue starts, and an offer
  // that comes after all is queued like any other and not lost.
  const agent = bench.createBench({ maxRunning: 1 });
  bench.reserve(agent, 'slow');
  bench.offer(agent, 'next');
  assert.deepEqual(bench.listStarted(bench.advance(agent, reservation.HOLD_MS)), ['next']);
  const late = bench.offer(agent, 'slow');
  assert.deepEqual(bench.listStarted(late), []);
  assert.equal(bench.listSent(late, 'accepted').length, 1);
  assert.deepEqual(bench.listStarted(bench.complete(agent, 'next')), ['slow']);
});

nodeTest.test('a closed link gives its places up', () => {
  // The link of an entry closes with one place held and one demand queued. The
  // other entry's request gets the place, and nothing is granted to nobody.
  const agent = bench.createBench({ maxRunning: 1 });
  bench.reserve(agent, 'held');
  bench.reserve(agent, 'queued');
  bench.handle(agent, { kind: 'linkOpened', linkId: 2 });
  const value = schema.create(schema.ReserveSchema, { requestId: 'other', deadlineMs: 2e12 });
  bench.receive(agent, { case: 'reserve', value }, 2);
  const effects = bench.handle(agent, { kind: 'linkClosed', linkId: bench.LINK_ID });
  assert.deepEqual(listGranted(effects), ['other']);
});

nodeTest.test('doubled and late messages of reservations', () => {
  // Each message comes twice or after its use. The request runs once, the
  // place is used once, and a release that comes late frees nothing.
  const agent = bench.createBench({ maxRunning: 1 });
  bench.reserve(agent, 'one');
  assert.deepEqual(listGranted(bench.reserve(agent, 'one')), ['one']);
  assert.equal(agent.state.holds.size, 1);
  bench.offer(agent, 'one');
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'one')), []);
  bench.release(agent, 'one');
  bench.release(agent, 'unknown');
  assert.equal(agent.state.running.size, 1);
  bench.reserve(agent, 'two');
  bench.reserve(agent, 'two');
  assert.equal(agent.state.queue.items.size, 1);
});

nodeTest.test('an expired reservation is refused at once', () => {
  const agent = bench.createBench();
  const effects = bench.reserve(agent, 'late', { deadlineMs: agent.now });
  const [refused] = bench.listSent(effects, 'reserveRefused');
  assert.equal(refused.code, schema.ResultCode.DEADLINE_UNREACHABLE);
});

nodeTest.test('a leaving agent refuses reservations and frees its places', () => {
  // SIGTERM comes while a place is held and a demand is queued. Both entries are
  // told at once, and the offer for the held place is confirmed as not run.
  const agent = bench.createBench({ maxRunning: 1 });
  bench.reserve(agent, 'held');
  bench.reserve(agent, 'queued');
  const effects = bench.handle(agent, { kind: 'shutdownStarted' });
  assert.deepEqual(
    bench.listSent(effects, 'reserveRefused').map((refused) => refused.code),
    [schema.ResultCode.SHUTTING_DOWN, schema.ResultCode.SHUTTING_DOWN],
  );
  const [notRun] = bench.listSent(bench.offer(agent, 'held'), 'notRun');
  assert.equal(notRun.code, schema.ResultCode.SHUTTING_DOWN);
});
