import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as agentEvent from './agent-event.js';
import * as agentFixture from './mocks/agent-fixture.js';

const RUN_MS = 100;

/** Creates an agent whose only slot is busy; its measured throughput is 100 tokens per 100 ms. */
function createBusyFixture(): agentFixture.AgentFixture {
  const agent = agentFixture.createAgentFixture({ maxRunning: 1, maxQueued: 10 });
  agentFixture.offer(agent, 'r0');
  Array.from({ length: 20 }).forEach((_, index) => {
    agentFixture.offer(agent, `r${index + 1}`);
    agent.now += RUN_MS;
    agentFixture.complete(agent, `r${index}`);
  });
  return agent;
}

/** Returns the refusal that was sent to the entry. */
function getRefusal(effects: agentEvent.AgentEffect[]): schema.NotRun | undefined {
  return agentFixture.listSent(effects, 'notRun').at(0);
}

nodeTest.test('work that cannot meet its deadline is refused at once', () => {
  // The engine is busy and runs 1000 tokens per second. A request of 500 tokens
  // with 200 ms left would only waste its prefill: it is confirmed as not run at
  // once, and one that can meet its deadline is queued.
  const agent = createBusyFixture();
  const deadlineMs = agent.now + 200;
  const refusal = getRefusal(
    agentFixture.offer(agent, 'long', { deadlineMs, estimatedTokens: 500 }),
  );
  assert.equal(refusal?.code, schema.ResultCode.DEADLINE_UNREACHABLE);
  assert.equal(getRefusal(agentFixture.offer(agent, 'short', { deadlineMs })), undefined);
});

nodeTest.test('work that can no longer meet its deadline is not started', () => {
  // Its deadline could be met when it was queued. The run before it takes longer
  // than estimated; when the slot is free too little time is left.
  const agent = createBusyFixture();
  agentFixture.offer(agent, 'beside', { tierRank: 1 });
  agentFixture.offer(agent, 'queued', {
    deadlineMs: agent.now + 450,
    estimatedTokens: 300,
    tierRank: 1,
  });
  agentFixture.setLimits(agent, { maxRunning: 2 });
  agent.now += 400;
  const effects = agentFixture.complete(agent, 'r20');
  assert.equal(getRefusal(effects)?.code, schema.ResultCode.DEADLINE_UNREACHABLE);
  assert.deepEqual(agentFixture.listStarted(effects), ['beside']);
});

nodeTest.test('an idle engine accepts work that its last measurement would refuse', () => {
  // The engine was slow when it was last measured. If that measurement applied
  // while nothing runs, all work would be refused and nothing measured again.
  const agent = createBusyFixture();
  agent.now += RUN_MS;
  agentFixture.complete(agent, 'r20');
  const deadlineMs = agent.now + 50;
  assert.deepEqual(agentFixture.listStarted(agentFixture.offer(agent, 'next', { deadlineMs })), [
    'next',
  ]);
});

nodeTest.test('refusals give a retry time from the measured queue throughput', () => {
  const agent = createBusyFixture();
  Array.from({ length: 10 }).forEach((_, index) => agentFixture.offer(agent, `q${index}`));
  const refusal = getRefusal(agentFixture.offer(agent, 'more'));
  assert.equal(refusal?.code, schema.ResultCode.QUEUE_FULL);
  assert.ok(refusal.retryAfterMs > 900 && refusal.retryAfterMs < 1100);
});
