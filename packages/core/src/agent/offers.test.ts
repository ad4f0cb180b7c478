import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as keyRetention from '../shared/key-retention.js';
import * as agentState from './agent-state.js';
import * as bench from './mocks/agent-bench.js';

nodeTest.test('a copy of an offer from before the records never runs', () => {
  // The caller's request runs and is answered. A copy of its offer is held up on
  // a silent link until the record of the attempt has expired. Taken for a new
  // offer, it would run a second time for a caller that has its answer.
  const agent = bench.createBench();
  const issuedMs = agent.now;
  const retentionMs = keyRetention.computeRetention(agentState.getTiming(agent.state));
  const deadlineMs = issuedMs + 2 * retentionMs;
  bench.offer(agent, 'one', { issuedMs, deadlineMs });
  bench.complete(agent, 'one');
  bench.advance(agent, retentionMs + 1);
  assert.equal(agent.state.runs.size, 0);
  const effects = bench.offer(agent, 'one', { issuedMs, deadlineMs });
  assert.deepEqual(bench.listStarted(effects), []);
  const refused = bench.listSent(effects, 'notRun').map((one) => one.code);
  assert.deepEqual(refused, [schema.ResultCode.STALE_OFFER]);
});

nodeTest.test('an offer within the key window runs', () => {
  const agent = bench.createBench();
  const { keyWindowMs } = agentState.getTiming(agent.state);
  const issuedMs = agent.now - keyWindowMs;
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'one', { issuedMs })), ['one']);
});
