import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as agentFixture from './mocks/agent-fixture.js';
import * as runRetention from './run-retention.js';

const MINUTE_MS = 60_000;
const MEGABYTE = 1024 * 1024;

/** Lets an attempt complete with a response of this size. */
function completeWith(agent: agentFixture.AgentFixture, requestId: string, bytes: number): void {
  const refKey = `${requestId}#1`;
  agentFixture.offer(agent, requestId);
  agentFixture.handle(agent, {
    kind: 'engineHead',
    refKey,
    status: 200,
    contentType: 'text/plain',
  });
  agentFixture.handle(agent, { kind: 'engineData', refKey, data: new Uint8Array(bytes) });
  agentFixture.handle(agent, { kind: 'engineEnd', refKey });
}

/** Resumes a response from its start. */
function resume(agent: agentFixture.AgentFixture, requestId: string) {
  const ref = attemptRef.buildRef(requestId, 1);
  const fields = { ref, agentLife: agentFixture.LIFE, workspace: 'brim' };
  const value = schema.create(schema.ResumeSchema, fields);
  return agentFixture.receive(agent, { case: 'resume', value });
}

nodeTest.test('records expire once a late copy of the offer would be stale', () => {
  const agent = agentFixture.createAgentFixture();
  completeWith(agent, 'old', 10);
  agentFixture.advance(agent, 14 * MINUTE_MS);
  completeWith(agent, 'new', 10);
  agentFixture.advance(agent, 2 * MINUTE_MS);
  assert.deepEqual([...agent.state.runs.keys()], ['new#1']);
  assert.equal(agent.state.retention.responseBytes, 10);
});

nodeTest.test('responses beyond the memory limit are dropped, acknowledged ones first', () => {
  // Entries fail without acknowledging responses, and many responses are large.
  // Memory stays bounded. Resuming a response that was dropped reports the
  // attempt as run without its response; it is never run again.
  const agent = agentFixture.createAgentFixture({ maxRunning: 1 });
  completeWith(agent, 'waiting', 16 * MEGABYTE);
  completeWith(agent, 'received', 10 * MEGABYTE);
  const fields = { ref: attemptRef.buildRef('received', 1), nextSequence: 3 };
  const acknowledge = schema.create(schema.AcknowledgeSchema, fields);
  agentFixture.receive(agent, { case: 'acknowledge', value: acknowledge });
  assert.equal(agentFixture.listSent(resume(agent, 'received'), 'part').length, 3);
  completeWith(agent, 'more', 10 * MEGABYTE);
  assert.ok(agent.state.retention.responseBytes <= runRetention.MAX_RESPONSE_BYTES);
  const [failed] = agentFixture.listSent(resume(agent, 'received'), 'failed');
  assert.equal(failed.code, schema.ResultCode.ANSWER_BROKEN);
  assert.equal(agentFixture.listSent(resume(agent, 'waiting'), 'part').length, 3);
  assert.deepEqual(agentFixture.listStarted(agentFixture.offer(agent, 'received')), []);
});
