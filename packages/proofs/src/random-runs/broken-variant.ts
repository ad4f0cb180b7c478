/** Shows that an invariant's check can fail: runs a scenario with a safeguard taken out. */
import * as assert from 'node:assert/strict';
import * as core from '@toucanproxy/core';
import * as invariants from '../invariants.js';
import * as runScenario from './run-scenario.js';
import * as scenarios from './scenario.js';

/** One long call on a route that runs once. */
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

/** Three such calls, one entry, one agent, no fault. */
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
 * Pushes offers. Under late binding a leaving agent refuses the reservation, and
 * an offer finds its place held: some safeguards stand alone only where offers
 * are pushed.
 */
export const buildPushPolicy = core.createLeastOutstandingPolicy;

/** Asserts that a scenario passes, and breaks an invariant without a safeguard. */
export function expectCaught(
  scenario: scenarios.Scenario,
  broken: runScenario.Broken,
  invariant: invariants.Invariant,
): void {
  const whole = broken.buildPolicy === undefined ? {} : { buildPolicy: broken.buildPolicy };
  assert.deepEqual(runScenario.runScenario(scenario, whole).violations, []);
  const [first] = runScenario.runScenario(scenario, broken).violations;
  assert.equal(first?.invariant, invariant, first?.detail);
}
