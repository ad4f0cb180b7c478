import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
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
  bench.handle(agent, { kind: 'vmLeaving', leaving: true });
  bench.setLimits(agent, {});
  assert.equal(agent.state.leaving, true);
  bench.handle(agent, { kind: 'vmLeaving', leaving: false });
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'back')), ['back']);
});
