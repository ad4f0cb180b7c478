import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as runScenario from './run-scenario.js';
import * as scenarios from './scenario.js';

const RUNS_PER_SEED = 40;
const SEEDS = [1, 2, 3, 4, 5, 6];

SEEDS.forEach((seed) =>
  nodeTest.test(`random faults, seed ${seed}`, () => {
    let events = 0;
    const property = fastCheck.property(
      scenarios.buildScenarios({ resends: seed % 2 === 0 }),
      (scenario) => {
        events += runScenario.expectNoViolation(scenario).events;
      },
    );
    fastCheck.assert(property, { seed, numRuns: RUNS_PER_SEED });
    assert.ok(events > 0);
  }),
);
