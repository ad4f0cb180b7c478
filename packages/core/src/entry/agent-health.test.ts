import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as agentHealth from './agent-health.js';

const { Stage } = agentHealth;
const NOW = 1_000_000;

/** Creates a pool in which each member took the given time for several requests. */
function makePool(times: number[]): agentHealth.AgentHealth[] {
  return times.map((ms) => {
    const health = agentHealth.createAgentHealth();
    recordTimes(health, ms, 10);
    return health;
  });
}

function recordTimes(health: agentHealth.AgentHealth, ms: number, count: number): void {
  for (let index = 0; index < count; index += 1) {
    agentHealth.recordRatio(health, Stage.COMPLETION, ms / 100, NOW);
    agentHealth.recordSuccess(health);
  }
}

nodeTest.test('a slow generation of engines is not an outlier', () => {
  const pool = makePool([100, 100, 100, 600, 600]);
  assert.equal(agentHealth.ejectOutlier(pool[4], pool, NOW), undefined);
  const median = agentHealth.findMedianRatio(pool, Stage.COMPLETION);
  assert.equal(agentHealth.estimateRatio(pool[4], median, NOW), 6);
});

nodeTest.test('one that has become slow is ejected and returns gradually', () => {
  // An engine becomes eight times slower without a failure. Its estimate rises as
  // soon as its durations show it, then it is ejected for some seconds, and then
  // its share grows gradually.
  const pool = makePool([100, 100, 100, 100, 100]);
  const [slow] = pool;
  recordTimes(slow, 800, 2);
  assert.ok(agentHealth.estimateRatio(slow, 1, NOW) > 2);
  assert.equal(agentHealth.ejectOutlier(slow, pool, NOW), undefined);
  recordTimes(slow, 800, 4);
  const cause = agentHealth.ejectOutlier(slow, pool, NOW);
  assert.equal(cause, agentHealth.EjectionCause.SLOW);
  assert.ok(agentHealth.isEjected(slow, NOW + 4999));
  assert.ok(!agentHealth.isEjected(slow, NOW + 5000));
  const shares = [5000, 10_000, 15_000].map((ms) =>
    agentHealth.computeTrafficShare(slow, NOW + ms),
  );
  assert.deepEqual(shares, [0.1, 0.5, 1]);
});

nodeTest.test('consecutive failures eject, but only a part of the pool', () => {
  // Every backend server fails. Ejecting all of them would leave none to serve, and
  // ejecting half would double the load on the others.
  const pool = makePool([100, 100, 100, 100, 100, 100]);
  const ejected = pool.filter((health) => {
    [1, 2, 3].forEach(() => agentHealth.recordFailure(health));
    return agentHealth.ejectOutlier(health, pool, NOW) !== undefined;
  });
  assert.equal(ejected.length, 2);
});

nodeTest.test('a success resets the consecutive failures', () => {
  const pool = makePool([100, 100, 100]);
  [1, 2].forEach(() => agentHealth.recordFailure(pool[0]));
  recordTimes(pool[0], 100, 1);
  agentHealth.recordFailure(pool[0]);
  assert.equal(agentHealth.ejectOutlier(pool[0], pool, NOW), undefined);
});

nodeTest.test('the latency ratio of a slow one decays', () => {
  // A slow backend server gets no work while others have room, so it shows no new
  // durations. If its old ratio did not decay, it would never be tried again.
  const [slow] = makePool([900]);
  assert.equal(agentHealth.estimateRatio(slow, 1, NOW), 9);
  assert.ok(agentHealth.estimateRatio(slow, 1, NOW + 90_000) < 1.5);
});
