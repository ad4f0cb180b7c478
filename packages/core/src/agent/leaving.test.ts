import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as agentEvent from './agent-event.js';
import * as bench from './mocks/agent-bench.js';

nodeTest.test('leaving by document refuses what has not started', () => {
  // The document declares the backend server leaving. What is queued is
  // confirmed as not run at once; what runs ends with its whole answer.
  const agent = bench.createBench({ maxRunning: 1 });
  bench.offer(agent, 'running');
  bench.offer(agent, 'queued');
  const effects = bench.setLimits(agent, {}, schema.BackendServerState.LEAVING);
  assert.equal(bench.listSent(effects, 'notRun')[0].code, schema.ResultCode.SHUTTING_DOWN);
  assert.equal(bench.listSent(effects, 'heartbeat')[0].load?.leaving, true);
  assert.equal(bench.listSent(bench.complete(agent, 'running'), 'part').length, 2);
  assert.equal(bench.listSent(bench.offer(agent, 'late'), 'notRun').length, 1);
  bench.setLimits(agent, {});
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'back')), ['back']);
});

nodeTest.test('a document from before the agent was added', () => {
  // The agent starts before the document that names it is published and reads
  // an older one. It takes no work then, and must not take itself as removed
  // for good.
  const agent = bench.createBench();
  agent.state.backendServerId = 'runner-2';
  bench.setLimits(agent, {});
  assert.equal(bench.listSent(bench.offer(agent, 'one'), 'notRun').length, 1);
  agent.state.backendServerId = bench.SERVER_ID;
  bench.setLimits(agent, {});
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'two')), ['two']);
});

nodeTest.test('the list of VMs may speak of an earlier VM', () => {
  // The list lags. It still calls this address leaving, which the VM before
  // had; once it has caught up the agent takes work.
  const agent = bench.createBench();
  bench.handle(agent, { kind: 'vmLeaving', leaving: true });
  assert.equal(bench.listSent(bench.offer(agent, 'one'), 'notRun').length, 1);
  bench.handle(agent, { kind: 'vmLeaving', leaving: false });
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'two')), ['two']);
});

nodeTest.test('a graceful shutdown waits until its answers have arrived', () => {
  // SIGTERM comes while a request runs. The run ends, but the last parts are
  // still on their way; a process that stopped now would cut the answer short.
  const agent = bench.createBench();
  bench.offer(agent, 'running');
  const stops = (effects: agentEvent.AgentEffect[]) =>
    effects.some((effect) => effect.kind === 'stopped');
  assert.equal(stops(bench.handle(agent, { kind: 'shutdownStarted' })), false);
  assert.equal(stops(bench.complete(agent, 'running')), false);
  assert.equal(stops(bench.advance(agent, 1000)), false);
  const fields = { ref: attemptRef.buildRef('running', 1), nextSequence: 2 };
  const value = schema.create(schema.AcknowledgeSchema, fields);
  bench.receive(agent, { case: 'acknowledge', value });
  assert.equal(stops(bench.advance(agent, 250)), true);
});

nodeTest.test('a graceful shutdown ends though an entry is gone', () => {
  const agent = bench.createBench();
  bench.offer(agent, 'running');
  bench.handle(agent, { kind: 'shutdownStarted' });
  bench.complete(agent, 'running');
  bench.advance(agent, 25);
  const effects = bench.advance(agent, 10_000);
  assert.ok(effects.some((effect) => effect.kind === 'stopped'));
});
