// Each invariant check is shown to report a violation: the test bypasses the code that prevents it.
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as suspects from '../shared/suspects.js';
import * as agentEvent from './agent-event.js';
import * as agentFixture from './mocks/agent-fixture.js';
import * as runs from './runs.js';

/** Lists the names of the reported invariants. */
function listBroken(effects: agentEvent.AgentEffect[]): string[] {
  return agentFixture
    .listObserved(effects, 'invariantBroken')
    .map((observation) => (observation as { name: string }).name);
}

nodeTest.test('reported: a request that may run only once is started again', () => {
  // An entry offers another attempt although the first one was started.
  const agent = agentFixture.createAgentFixture();
  agentFixture.offer(agent, 'one');
  const ref = attemptRef.buildRef('one', 2);
  assert.deepEqual(listBroken(agentFixture.offer(agent, 'one', { ref, repeatable: true })), []);
  const again = agentFixture.offer(agent, 'one', { ref: attemptRef.buildRef('one', 3) });
  assert.deepEqual(listBroken(again), ['request-started-twice']);
});

nodeTest.test('reported: an attempt is started twice', () => {
  const agent = agentFixture.createAgentFixture();
  agentFixture.offer(agent, 'one');
  const record = agent.state.runs.get('one#1');
  assert.ok(record !== undefined);
  assert.deepEqual(listBroken(runs.startAttempt(agent.state, record, agent.now)), [
    'started-twice',
  ]);
});

nodeTest.test('reported: a suspect starts beside others', () => {
  // The suspect is started without waiting until nothing else runs.
  const agent = agentFixture.createAgentFixture();
  suspects.recordCrash(agent.state.suspects, 'poison', false, agent.now);
  agentFixture.offer(agent, 'beside');
  agentFixture.offer(agent, 'suspect', { contentDigest: 'poison' });
  const record = agent.state.runs.get('suspect#1');
  assert.ok(record !== undefined);
  const effects = runs.startAttempt(agent.state, record, agent.now);
  assert.deepEqual(listBroken(effects), ['suspect-in-company']);
});

nodeTest.test('reported: an urgent request is shed before a draft', () => {
  // The queued draft cannot be evicted, because its record is missing.
  const agent = agentFixture.createAgentFixture({ maxRunning: 1, maxQueued: 1 });
  agentFixture.offer(agent, 'running');
  agentFixture.offer(agent, 'draft', { tierRank: 1 });
  agent.state.runs.delete('draft#1');
  const effects = agentFixture.offer(agent, 'urgent');
  assert.equal(agentFixture.listSent(effects, 'notRun')[0].code, schema.ResultCode.QUEUE_FULL);
  assert.deepEqual(listBroken(effects), ['shed-before-less-urgent']);
});
