// Each check is shown to fail: the safeguard before it is taken out by hand.
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as suspects from '../shared/suspects.js';
import * as agentEvent from './agent-event.js';
import * as bench from './mocks/agent-bench.js';
import * as runs from './runs.js';

/** Lists the names of the invariants that were broken. */
function listBroken(effects: agentEvent.AgentEffect[]): string[] {
  return bench
    .listObserved(effects, 'invariantBroken')
    .map((observation) => (observation as { name: string }).name);
}

nodeTest.test('noticed: a request that may run once starts again', () => {
  // An entry offers another attempt though the first one was started.
  const agent = bench.createBench();
  bench.offer(agent, 'one');
  const ref = attemptRef.buildRef('one', 2);
  assert.deepEqual(listBroken(bench.offer(agent, 'one', { ref, repeatable: true })), []);
  const again = bench.offer(agent, 'one', { ref: attemptRef.buildRef('one', 3) });
  assert.deepEqual(listBroken(again), ['request-started-twice']);
});

nodeTest.test('noticed: an attempt is started twice', () => {
  const agent = bench.createBench();
  bench.offer(agent, 'one');
  const record = agent.state.runs.get('one#1');
  assert.ok(record !== undefined);
  assert.deepEqual(listBroken(runs.startOne(agent.state, record, agent.now)), ['started-twice']);
});

nodeTest.test('noticed: a suspect starts beside others', () => {
  // The wait for an empty engine is passed by.
  const agent = bench.createBench();
  suspects.recordCrash(agent.state.suspects, 'poison', false, agent.now);
  bench.offer(agent, 'beside');
  bench.offer(agent, 'suspect', { contentDigest: 'poison' });
  const record = agent.state.runs.get('suspect#1');
  assert.ok(record !== undefined);
  const effects = runs.startOne(agent.state, record, agent.now);
  assert.deepEqual(listBroken(effects), ['suspect-in-company']);
});

nodeTest.test('noticed: an urgent request is shed before a draft', () => {
  // The queued draft cannot be refused, because its record has been lost.
  const agent = bench.createBench({ maxRunning: 1, maxQueued: 1 });
  bench.offer(agent, 'running');
  bench.offer(agent, 'draft', { tierRank: 1 });
  agent.state.runs.delete('draft#1');
  const effects = bench.offer(agent, 'urgent');
  assert.equal(bench.listSent(effects, 'notRun')[0].code, schema.ResultCode.QUEUE_FULL);
  assert.deepEqual(listBroken(effects), ['shed-before-less-urgent']);
});
