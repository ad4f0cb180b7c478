import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as agentFixture from './mocks/agent-fixture.js';
import * as reservation from './reservation.js';

/** Lists the requests that were granted a slot. */
function listGranted(effects: ReturnType<typeof agentFixture.advance>): string[] {
  return agentFixture.listSent(effects, 'grant').map((grant) => grant.requestId);
}

nodeTest.test('the most urgent reservation is granted when a slot becomes free', () => {
  const agent = agentFixture.createAgentFixture({ maxRunning: 1, urgentHeadroomPercent: 1 });
  agentFixture.offer(agent, 'running');
  agentFixture.reserve(agent, 'draft', { tierRank: 1 });
  agentFixture.reserve(agent, 'stall', { tierRank: 0 });
  const effects = agentFixture.complete(agent, 'running');
  assert.deepEqual(listGranted(effects), ['stall']);
  assert.deepEqual(agentFixture.listStarted(effects), []);
  assert.deepEqual(agentFixture.listStarted(agentFixture.offer(agent, 'stall')), ['stall']);
});

nodeTest.test('a held slot counts as used', () => {
  const agent = agentFixture.createAgentFixture({ maxRunning: 1 });
  assert.deepEqual(listGranted(agentFixture.reserve(agent, 'held')), ['held']);
  assert.deepEqual(agentFixture.listStarted(agentFixture.offer(agent, 'other')), []);
  assert.deepEqual(agentFixture.listStarted(agentFixture.release(agent, 'held')), ['other']);
});

nodeTest.test('a hold expires when its offer does not arrive in time', () => {
  // The entry or its link fails between grant and offer. The hold expires and the
  // next item in the queue starts. A late offer is queued like any other and is
  // not lost.
  const agent = agentFixture.createAgentFixture({ maxRunning: 1 });
  agentFixture.reserve(agent, 'slow');
  agentFixture.offer(agent, 'next');
  assert.deepEqual(agentFixture.listStarted(agentFixture.advance(agent, reservation.HOLD_MS)), [
    'next',
  ]);
  const late = agentFixture.offer(agent, 'slow');
  assert.deepEqual(agentFixture.listStarted(late), []);
  assert.equal(agentFixture.listSent(late, 'accepted').length, 1);
  assert.deepEqual(agentFixture.listStarted(agentFixture.complete(agent, 'next')), ['slow']);
});

nodeTest.test('closing a link releases its reservations and holds', () => {
  // The link of an entry closes with one slot held and one reservation queued.
  // The request of another entry gets the slot; nothing is granted to the closed
  // link.
  const agent = agentFixture.createAgentFixture({ maxRunning: 1 });
  agentFixture.reserve(agent, 'held');
  agentFixture.reserve(agent, 'queued');
  agentFixture.handle(agent, { kind: 'linkOpened', linkId: 2 });
  const value = schema.create(schema.ReserveSchema, { requestId: 'other', deadlineMs: 2e12 });
  agentFixture.receive(agent, { case: 'reserve', value }, 2);
  const effects = agentFixture.handle(agent, { kind: 'linkClosed', linkId: agentFixture.LINK_ID });
  assert.deepEqual(listGranted(effects), ['other']);
});

nodeTest.test('duplicate and late messages of reservations have no effect', () => {
  // Each message arrives twice or too late. The request runs once, the slot is
  // used once, and a late release frees nothing.
  const agent = agentFixture.createAgentFixture({ maxRunning: 1 });
  agentFixture.reserve(agent, 'one');
  assert.deepEqual(listGranted(agentFixture.reserve(agent, 'one')), ['one']);
  assert.equal(agent.state.holds.size, 1);
  agentFixture.offer(agent, 'one');
  assert.deepEqual(agentFixture.listStarted(agentFixture.offer(agent, 'one')), []);
  agentFixture.release(agent, 'one');
  agentFixture.release(agent, 'unknown');
  assert.equal(agent.state.running.size, 1);
  agentFixture.reserve(agent, 'two');
  agentFixture.reserve(agent, 'two');
  assert.equal(agent.state.queue.items.size, 1);
});

nodeTest.test('an expired reservation is refused at once', () => {
  const agent = agentFixture.createAgentFixture();
  const effects = agentFixture.reserve(agent, 'late', { deadlineMs: agent.now });
  const [refused] = agentFixture.listSent(effects, 'reserveRefused');
  assert.equal(refused.code, schema.ResultCode.DEADLINE_UNREACHABLE);
});

nodeTest.test('a leaving agent refuses reservations and releases its holds', () => {
  // SIGTERM arrives while one slot is held and one reservation is queued. Both are
  // refused at once, and the offer for the held slot is confirmed as not run.
  const agent = agentFixture.createAgentFixture({ maxRunning: 1 });
  agentFixture.reserve(agent, 'held');
  agentFixture.reserve(agent, 'queued');
  const effects = agentFixture.handle(agent, { kind: 'shutdownStarted' });
  assert.deepEqual(
    agentFixture.listSent(effects, 'reserveRefused').map((refused) => refused.code),
    [schema.ResultCode.SHUTTING_DOWN, schema.ResultCode.SHUTTING_DOWN],
  );
  const [notRun] = agentFixture.listSent(agentFixture.offer(agent, 'held'), 'notRun');
  assert.equal(notRun.code, schema.ResultCode.SHUTTING_DOWN);
});
