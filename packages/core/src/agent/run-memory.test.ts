import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as bench from './mocks/agent-bench.js';
import * as runMemory from './run-memory.js';

const MINUTE_MS = 60_000;
const MEGABYTE = 1024 * 1024;

/** Lets an attempt complete with an answer of this size. */
function completeWith(agent: bench.Bench, requestId: string, bytes: number): void {
  const refKey = `${requestId}#1`;
  bench.offer(agent, requestId);
  bench.handle(agent, { kind: 'engineHead', refKey, status: 200, contentType: 'text/plain' });
  bench.handle(agent, { kind: 'engineData', refKey, data: new Uint8Array(bytes) });
  bench.handle(agent, { kind: 'engineEnd', refKey });
}

/** Asks for an answer from its start. */
function resume(agent: bench.Bench, requestId: string) {
  const ref = attemptRef.buildRef(requestId, 1);
  const fields = { ref, agentLife: bench.LIFE, workspace: 'brim' };
  const value = schema.create(schema.ResumeSchema, fields);
  return bench.receive(agent, { case: 'resume', value });
}

nodeTest.test('records expire when a late copy would be stale', () => {
  const agent = bench.createBench();
  completeWith(agent, 'old', 10);
  bench.advance(agent, 14 * MINUTE_MS);
  completeWith(agent, 'new', 10);
  bench.advance(agent, 2 * MINUTE_MS);
  assert.deepEqual([...agent.state.runs.keys()], ['new#1']);
  assert.equal(agent.state.memory.answerBytes, 10);
});

nodeTest.test('answers are dropped when memory is short, acknowledged ones first', () => {
  // Entries die with answers not acknowledged, and many answers are large. The
  // memory stays bounded. An answer that was dropped is reported as run and
  // broken when it is asked for again; it is never run again.
  const agent = bench.createBench({ maxRunning: 1 });
  completeWith(agent, 'waiting', 16 * MEGABYTE);
  completeWith(agent, 'received', 10 * MEGABYTE);
  const fields = { ref: attemptRef.buildRef('received', 1), nextSequence: 3 };
  const acknowledge = schema.create(schema.AcknowledgeSchema, fields);
  bench.receive(agent, { case: 'acknowledge', value: acknowledge });
  assert.equal(bench.listSent(resume(agent, 'received'), 'part').length, 3);
  completeWith(agent, 'more', 10 * MEGABYTE);
  assert.ok(agent.state.memory.answerBytes <= runMemory.MAX_ANSWER_BYTES);
  const [failed] = bench.listSent(resume(agent, 'received'), 'failed');
  assert.equal(failed.code, schema.ResultCode.ANSWER_BROKEN);
  assert.equal(bench.listSent(resume(agent, 'waiting'), 'part').length, 3);
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'received')), []);
});
