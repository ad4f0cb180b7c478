import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as runScenario from './run-scenario.js';
import * as scenarios from './scenario.js';

/** A call with nothing special about it. */
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

// The caller is told that its request was not run, although an engine had
// started it: the request may be repeated, its content crashes the engine, it is
// offered again, and the second offer is refused by a full queue. The refusal
// spoke for the last attempt alone.
nodeTest.test('refused after a crash is told as run', () => {
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

// An entry's queue overflows while a less urgent request waits in it for its next
// attempt. Found while the entry's queue was being built: the urgent caller was
// shed and the less urgent request kept.
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

// An entry is killed while it runs a keyed request, and started again while the
// configuration service is out. The caller sends its key again, and the new life,
// which knows no document yet, told it that the request was not run.
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

// The document says that the only backend server leaves while requests wait in
// its queue behind slow ones. Started later, they would keep it busy long after
// the operators wanted it gone; it refuses them at once instead.
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

// The link closes, or goes silent, just before an agent that shuts down has
// ended its last run. Stopped at that moment it would take the answers with it;
// it waits until the entry has come back for them, and callers get them whole.
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
