import * as nodeTest from 'node:test';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as invariants from './invariants.js';
import * as brokenVariant from './random-runs/broken-variant.js';
import * as scenarios from './random-runs/scenario.js';

// As in invariants.test.ts: each test disables one safeguard for idempotency keys and
// asserts that the matching check fails.

nodeTest.test('agent that grants every claim', () => {
  const handleAgentEvent: typeof core.handleAgentEvent = (state, event, now) =>
    core.handleAgentEvent(state, event, now).map((effect) => {
      if (effect.kind === 'sendToEntry' && effect.message.body.case === 'claimReply') {
        effect.message.body.value.outcome = schema.ClaimOutcome.GRANTED;
      }
      return effect;
    });
  const calls = [{ ...brokenVariant.CALL, resends: [{ entry: 1, afterMs: 200 }] }];
  const scenario = { ...brokenVariant.SCENARIO, entries: 2, agents: 2, calls };
  brokenVariant.expectCaught(scenario, { handleAgentEvent }, invariants.Invariant.DISPATCHED_ONCE);
});

nodeTest.test('entry that reports not run with its key open', () => {
  const handleEntryEvent: typeof core.handleEntryEvent = (state, event, now) =>
    core
      .handleEntryEvent(state, event, now)
      .map((effect) =>
        effect.kind === 'answerFailure' ? { ...effect, runState: schema.RunState.NOT_RUN } : effect,
      );
  const cut: scenarios.FaultSpec = {
    atMs: 200,
    kind: 'partition',
    entries: [1],
    agents: [0, 1],
    ms: 6000,
  };
  const calls = [{ ...brokenVariant.CALL, resends: [{ entry: 1, afterMs: 200 }], timeoutMs: 3000 }];
  const scenario = { ...brokenVariant.SCENARIO, entries: 2, agents: 2, calls, faults: [cut] };
  brokenVariant.expectCaught(scenario, { handleEntryEvent }, invariants.Invariant.NOT_RUN_IS_TRUE);
});
