import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as keyRetention from '../shared/key-retention.js';
import * as agentState from './agent-state.js';
import * as agentFixture from './mocks/agent-fixture.js';

nodeTest.test('a copy of an offer whose record has expired never runs', () => {
  // A request completes. A copy of its offer is delayed on a stalled link until
  // the record of the attempt has expired. Treated as a new offer, it would run
  // the request a second time.
  const agent = agentFixture.createAgentFixture();
  const issuedMs = agent.now;
  const retentionMs = keyRetention.computeRetention(agentState.getTiming(agent.state));
  const deadlineMs = issuedMs + 2 * retentionMs;
  agentFixture.offer(agent, 'one', { issuedMs, deadlineMs });
  agentFixture.complete(agent, 'one');
  agentFixture.advance(agent, retentionMs + 1);
  assert.equal(agent.state.runs.size, 0);
  const effects = agentFixture.offer(agent, 'one', { issuedMs, deadlineMs });
  assert.deepEqual(agentFixture.listStarted(effects), []);
  const refused = agentFixture.listSent(effects, 'notRun').map((one) => one.code);
  assert.deepEqual(refused, [schema.ResultCode.STALE_OFFER]);
});

nodeTest.test('an offer within the key window runs', () => {
  const agent = agentFixture.createAgentFixture();
  const { keyWindowMs } = agentState.getTiming(agent.state);
  const issuedMs = agent.now - keyWindowMs;
  assert.deepEqual(agentFixture.listStarted(agentFixture.offer(agent, 'one', { issuedMs })), [
    'one',
  ]);
});
