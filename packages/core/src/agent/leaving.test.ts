import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as agentEvent from './agent-event.js';
import * as agentFixture from './mocks/agent-fixture.js';

nodeTest.test('an agent that its document marks as leaving refuses what has not started', () => {
  // The document marks the backend server as leaving. Queued attempts are
  // confirmed as not run at once; running ones end with a complete response.
  const agent = agentFixture.createAgentFixture({ maxRunning: 1 });
  agentFixture.offer(agent, 'running');
  agentFixture.offer(agent, 'queued');
  const effects = agentFixture.setLimits(agent, {}, schema.BackendServerState.LEAVING);
  assert.equal(agentFixture.listSent(effects, 'notRun')[0].code, schema.ResultCode.SHUTTING_DOWN);
  assert.equal(agentFixture.listSent(effects, 'heartbeat')[0].load?.leaving, true);
  assert.equal(agentFixture.listSent(agentFixture.complete(agent, 'running'), 'part').length, 2);
  assert.equal(agentFixture.listSent(agentFixture.offer(agent, 'late'), 'notRun').length, 1);
  agentFixture.setLimits(agent, {});
  assert.deepEqual(agentFixture.listStarted(agentFixture.offer(agent, 'back')), ['back']);
});

nodeTest.test('a document older than the agent does not remove it for good', () => {
  // The agent starts before the document that lists it is published, and reads an
  // older one. Until the newer one arrives it accepts no work, but it must not
  // consider itself removed for good.
  const agent = agentFixture.createAgentFixture();
  agent.state.backendServerId = 'server-2';
  agentFixture.setLimits(agent, {});
  assert.equal(agentFixture.listSent(agentFixture.offer(agent, 'one'), 'notRun').length, 1);
  agent.state.backendServerId = agentFixture.SERVER_ID;
  agentFixture.setLimits(agent, {});
  assert.deepEqual(agentFixture.listStarted(agentFixture.offer(agent, 'two')), ['two']);
});

nodeTest.test('a stale list of VMs may refer to an earlier VM', () => {
  // The list still marks this address as leaving, which an earlier VM had. Once
  // the list is up to date the agent accepts work.
  const agent = agentFixture.createAgentFixture();
  agentFixture.handle(agent, { kind: 'vmLeaving', leaving: true });
  assert.equal(agentFixture.listSent(agentFixture.offer(agent, 'one'), 'notRun').length, 1);
  agentFixture.handle(agent, { kind: 'vmLeaving', leaving: false });
  assert.deepEqual(agentFixture.listStarted(agentFixture.offer(agent, 'two')), ['two']);
});

nodeTest.test('a graceful shutdown waits until its responses are acknowledged', () => {
  // SIGTERM arrives while a request runs. The run ends, but the last parts are
  // still in transit; stopping now would truncate the response.
  const agent = agentFixture.createAgentFixture();
  agentFixture.offer(agent, 'running');
  const stops = (effects: agentEvent.AgentEffect[]) =>
    effects.some((effect) => effect.kind === 'stopped');
  assert.equal(stops(agentFixture.handle(agent, { kind: 'shutdownStarted' })), false);
  assert.equal(stops(agentFixture.complete(agent, 'running')), false);
  assert.equal(stops(agentFixture.advance(agent, 1000)), false);
  const fields = { ref: attemptRef.buildRef('running', 1), nextSequence: 2 };
  const value = schema.create(schema.AcknowledgeSchema, fields);
  agentFixture.receive(agent, { case: 'acknowledge', value });
  assert.equal(stops(agentFixture.advance(agent, 250)), true);
});

nodeTest.test('a graceful shutdown ends although an entry is gone', () => {
  const agent = agentFixture.createAgentFixture();
  agentFixture.offer(agent, 'running');
  agentFixture.handle(agent, { kind: 'shutdownStarted' });
  agentFixture.complete(agent, 'running');
  agentFixture.advance(agent, 25);
  const effects = agentFixture.advance(agent, 10_000);
  assert.ok(effects.some((effect) => effect.kind === 'stopped'));
});
