import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as agentEvent from './agent-event.js';
import * as bench from './mocks/agent-bench.js';

const RUN_MS = 100;

/** Keeps one place and a queue busy: 100 tokens take 100 ms. */
function createBusyBench(): bench.Bench {
  const agent = bench.createBench({ maxRunning: 1, maxQueued: 10 });
  bench.offer(agent, 'r0');
  Array.from({ length: 20 }).forEach((_, index) => {
    bench.offer(agent, `r${index + 1}`);
    agent.now += RUN_MS;
    bench.complete(agent, `r${index}`);
  });
  return agent;
}

/** Gets the refusal that was sent to the entry. */
function getRefusal(effects: agentEvent.AgentEffect[]): schema.NotRun | undefined {
  return bench.listSent(effects, 'notRun').at(0);
}

nodeTest.test('work that cannot end in time is refused at once', () => {
  // The engine does 1000 tokens a second and is busy. A request of 500 tokens
  // with 200 ms left would only waste its prefill: its caller is told at once
  // that it was not run, and one that can make it is queued.
  const agent = createBusyBench();
  const deadlineMs = agent.now + 200;
  const refusal = getRefusal(bench.offer(agent, 'long', { deadlineMs, estimatedTokens: 500 }));
  assert.equal(refusal?.code, schema.ResultCode.DEADLINE_UNREACHABLE);
  assert.equal(getRefusal(bench.offer(agent, 'short', { deadlineMs })), undefined);
});

nodeTest.test('work that has waited too long is not started', () => {
  // It could still make it when it was queued. The run before it takes longer
  // than measured; when the place is free its time is nearly up.
  const agent = createBusyBench();
  bench.offer(agent, 'beside', { tierRank: 1 });
  bench.offer(agent, 'queued', { deadlineMs: agent.now + 450, estimatedTokens: 300, tierRank: 1 });
  bench.setLimits(agent, { maxRunning: 2 });
  agent.now += 400;
  const effects = bench.complete(agent, 'r20');
  assert.equal(getRefusal(effects)?.code, schema.ResultCode.DEADLINE_UNREACHABLE);
  assert.deepEqual(bench.listStarted(effects), ['beside']);
});

nodeTest.test('an idle engine takes what a slow time would refuse', () => {
  // The engine was slow when it was last measured. Were the measure believed
  // with nothing running, all would be refused and nothing measured again.
  const agent = createBusyBench();
  agent.now += RUN_MS;
  bench.complete(agent, 'r20');
  const deadlineMs = agent.now + 50;
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'next', { deadlineMs })), ['next']);
});

nodeTest.test('refusals say when to come back, by the measured drain', () => {
  const agent = createBusyBench();
  Array.from({ length: 10 }).forEach((_, index) => bench.offer(agent, `q${index}`));
  const refusal = getRefusal(bench.offer(agent, 'more'));
  assert.equal(refusal?.code, schema.ResultCode.QUEUE_FULL);
  assert.ok(refusal.retryAfterMs > 900 && refusal.retryAfterMs < 1100);
});
