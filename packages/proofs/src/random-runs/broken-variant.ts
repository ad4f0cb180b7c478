/** Shows that the check of an invariant can fail, by running a scenario without a safeguard. */
import * as assert from 'node:assert/strict';
import * as core from '@toucanproxy/core';
import * as invariants from '../invariants.js';
import * as runScenario from './run-scenario.js';
import * as scenarios from './scenario.js';

/** One long call on a route whose requests must not be retried. */
export const CALL: scenarios.CallSpec = {
  atMs: 100,
  entry: 0,
  urgent: false,
  once: true,
  stream: true,
  promptTokens: 200,
  answerTokens: 60,
  timeoutMs: 7000,
  leaveAfterMs: 0,
  poison: false,
  plainKey: false,
  resends: [],
};

/** Three such calls with one entry, one agent and no fault. */
export const SCENARIO: scenarios.Scenario = {
  seed: 11,
  entries: 1,
  agents: 1,
  maxRunning: 2,
  maxQueued: 8,
  calls: [CALL, CALL, CALL],
  faults: [],
};

/**
 * A policy that offers requests without a reservation. Under late binding, a leaving agent
 * already refuses the reservation, and an offer already has its slot. Some safeguards are the
 * only protection, and thus testable, only without reservations.
 */
export const buildPushPolicy = core.createLeastOutstandingPolicy;

/** Asserts that a scenario passes, and that it violates an invariant without a safeguard. */
export function expectCaught(
  scenario: scenarios.Scenario,
  broken: runScenario.Broken,
  invariant: invariants.Invariant,
): void {
  const policy = broken.buildPolicy === undefined ? {} : { buildPolicy: broken.buildPolicy };
  assert.deepEqual(runScenario.runScenario(scenario, policy).violations, []);
  const [first] = runScenario.runScenario(scenario, broken).violations;
  assert.equal(first?.invariant, invariant, first?.detail);
}
