import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as runScenario from './run-scenario.js';
import * as scenarios from './scenario.js';

/** A minimal call; the tests override what matters to them. */
const CALL: scenarios.CallSpec = {
  atMs: 0,
  entry: 0,
  urgent: false,
  once: false,
  stream: false,
  promptTokens: 1,
  answerTokens: 1,
  timeoutMs: 300,
  leaveAfterMs: 0,
  poison: false,
  plainKey: false,
  resends: [],
};

// Guards against reporting "not run" for a request that an engine had started. The request is
// retryable and its content crashes the engine. It is offered again, and a full queue refuses
// the second offer. That refusal is true of the last attempt only.
nodeTest.test('a refusal after a crash is not reported as not run', () => {
  runScenario.expectNoViolation({
    seed: 999984,
    entries: 1,
    agents: 1,
    maxRunning: 1,
    maxQueued: 1,
    calls: [{ ...CALL, poison: true }, CALL],
    faults: [],
  });
});

// An entry's queue overflows while a less urgent request waits in it for its next attempt.
// Guards against shedding the urgent request and keeping the less urgent one.
nodeTest.test('overflow sheds the least urgent', () => {
  runScenario.expectNoViolation({
    seed: 556530,
    entries: 1,
    agents: 1,
    maxRunning: 1,
    maxQueued: 1,
    calls: [
      { ...CALL, poison: true },
      { ...CALL, leaveAfterMs: 1 },
    ],
    faults: [{ atMs: 4, kind: 'burst', count: 6, urgentPercent: 12, entry: 0 }],
  });
});

// An entry is killed while a request with a key runs, and restarts while the configuration
// service is unavailable. The caller resends its key. Guards against the new incarnation, which
// has no document yet, reporting that the request was not run.
nodeTest.test('key sent to an entry without a document', () => {
  runScenario.expectNoViolation({
    seed: 493662,
    entries: 1,
    agents: 1,
    maxRunning: 1,
    maxQueued: 1,
    calls: [{ ...CALL, atMs: 4688, once: true, resends: [{ entry: 0, afterMs: 63 }] }, CALL],
    faults: [
      { atMs: 4700, kind: 'entryStopped', entry: 0, told: false, downMs: 50 },
      { atMs: 0, kind: 'documentOut', ms: 4752 },
    ],
  });
});

// The document marks the only backend server as leaving while requests wait in its queue behind
// slow ones. Starting them later would keep it busy long after the operators wanted it gone, so
// it must refuse them at once.
nodeTest.test('leaving agent refuses what it queued', () => {
  const call = { ...CALL, atMs: 100, once: true, promptTokens: 200, answerTokens: 60 };
  runScenario.expectNoViolation({
    seed: 11,
    entries: 1,
    agents: 1,
    maxRunning: 1,
    maxQueued: 8,
    calls: Array.from({ length: 6 }, () => ({ ...call, stream: true, timeoutMs: 8000 })),
    faults: [
      { atMs: 0, kind: 'engineSlowed', agent: 0, factor: 2, ms: 20_000 },
      { atMs: 200, kind: 'documentPublished', leaving: [0] },
    ],
  });
});

// The link closes or goes silent just before an agent that is shutting down completes its last
// run. If the agent stopped then, the responses would be lost. It must wait until the entry
// reconnects to fetch them, so that callers get complete responses.
['linkClosed', 'linkSilent'].forEach((kind) =>
  nodeTest.test(`shutdown with ${kind}`, () => {
    const call = { ...CALL, atMs: 100, once: true, promptTokens: 200, answerTokens: 60 };
    const report = runScenario.expectNoViolation({
      seed: 11,
      entries: 1,
      agents: 1,
      maxRunning: 4,
      maxQueued: 8,
      calls: Array.from({ length: 3 }, () => ({ ...call, stream: true, timeoutMs: 8000 })),
      faults: [
        { atMs: 300, kind: 'agentShutDown', agent: 0, downMs: 1000 },
        { atMs: 690, kind, entry: 0, agent: 0 } as scenarios.FaultSpec,
      ],
    });
    report.calls.forEach((one) => assert.deepEqual(one.outcomes, [{ kind: 'completed' }]));
  }),
);
