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
