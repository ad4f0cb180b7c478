import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as agentEvent from './agent-event.js';
import * as engineLimit from './engine-limit.js';
import * as agentFixture from './mocks/agent-fixture.js';
import * as batchEngine from './mocks/batch-engine.js';

type Measurements = { urgentWaitMs: number; ended: number; places: number };

const STEPS = 20_000;
const SLOW_FACTOR = 5;
const URGENT_EACH_STEPS = 50;
const DRAFT_LENGTHS = [20, 400, 60, 1200, 100];

/** Runs a steady load of drafts and an occasional urgent request through one engine. */
function run(maxBatch: number, isAdaptive: boolean, slowFrom = STEPS): Measurements {
  const agent = agentFixture.createAgentFixture({
    maxRunning: 32,
    maxQueued: 64,
    maxRunningTokens: 1_000_000,
  });
  const engine: batchEngine.BatchEngine = { maxBatch, waiting: [], batch: [] };
  const urgentSince = new Map<string, number>();
  const waits: number[] = [];
  let ended = 0;
  const take = (effects: agentEvent.AgentEffect[]) => batchEngine.admit(engine, effects);
  Array.from({ length: STEPS }).forEach((_, step) => {
    agent.now += step >= slowFrom ? SLOW_FACTOR * batchEngine.STEP_MS : batchEngine.STEP_MS;
    if (!isAdaptive) {
      agent.state.limit = engineLimit.createEngineLimit();
    }
    const estimatedTokens = DRAFT_LENGTHS[step % DRAFT_LENGTHS.length];
    const payload = new Uint8Array(estimatedTokens * 4);
    if (agent.state.queue.items.size < 40) {
      take(agentFixture.offer(agent, `d${step}`, { tierRank: 1, estimatedTokens, payload }));
    }
    if (step % URGENT_EACH_STEPS === 0) {
      urgentSince.set(`u${step}#1`, agent.now);
      take(agentFixture.offer(agent, `u${step}`, { estimatedTokens: 20, payload }));
    }
    const effects = batchEngine.advance(engine, agent);
    ended += agentFixture
      .listSent(effects, 'part')
      .filter((one) => one.content.case === 'end').length;
    agentFixture.listSent(effects, 'part').forEach((part) => {
      const key = `${part.ref?.requestId}#1`;
      const since = urgentSince.get(key);
      if (part.content.case === 'data' && since !== undefined) {
        waits.push(agent.now - since);
        urgentSince.delete(key);
      }
    });
  });
  const urgentWaitMs = waits.reduce((sum, ms) => sum + ms, 0) / waits.length;
  return { urgentWaitMs, ended, places: agent.state.limit.places };
}

nodeTest.test('the limit adapts to the batch size of the engine', () => {
  // The document allows 32 concurrent requests; the engine batches 8 and queues
  // the rest without tiers, so urgent requests wait behind drafts there. The
  // limit falls until the engine's own queue is short.
  const fixed = run(8, false);
  const adaptive = run(8, true);
  assert.ok(adaptive.urgentWaitMs < fixed.urgentWaitMs / 2);
  assert.ok(adaptive.ended > 0.95 * fixed.ended);
});

nodeTest.test('the limit recovers on an engine that slows down for good', () => {
  // From step 6000 on every step takes five times as long, so that each first
  // byte looks late. The limit falls, the old baseline expires, and the limit
  // rises to the full batch again.
  assert.equal(run(32, true, 6000).places, 32);
});
