import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as runSoak from './run-soak.js';
import * as soakFleet from './soak-fleet.js';

soakFleet.dropCleanup();

/** Runs one seed with few processes and expects no violation of a guarantee. */
async function expectNoViolations(
  seed: number,
  {
    evacuations = 0,
    limits = 0,
    epochs = 0,
    statements = 0,
    crashes = 0,
    stops = 0,
    closings = 0,
    parts = 0,
    unframedShare = 0,
    extraShare = 0,
    oddInputs = 0,
  },
): Promise<void> {
  const report = await runSoak.runSoak({
    seed,
    gateways: 2,
    backends: 3,
    callers: 6,
    faults: 8,
    faultsMs: 3000,
    evacuations,
    limits,
    epochs,
    statements,
    crashes,
    stops,
    pairs: 0,
    closings,
    parts,
    unframedShare,
    extraShare,
    oddInputs,
    areTimesChecked: false,
  });
  assert.deepEqual(report.violations, [], `logs in ${report.folder}`);
  assert.ok(report.calls > 0);
  fs.rmSync(report.folder, { recursive: true });
}

nodeTest.test('guarantees hold under faults from outside, seed 1', () => expectNoViolations(1, {}));
nodeTest.test('guarantees hold under faults from outside, seed 2', () => expectNoViolations(2, {}));
nodeTest.test('guarantees hold while domains are evacuated, seed 3', () =>
  expectNoViolations(3, { evacuations: 2 }),
);
nodeTest.test('guarantees hold while servers announce rate limits, seed 4', () =>
  expectNoViolations(4, { limits: 1 }),
);
nodeTest.test('guarantees hold while the store is restored, seed 5', () =>
  expectNoViolations(5, { evacuations: 1, epochs: 1 }),
);
nodeTest.test('guarantees hold while servers leave and ask for a backoff, seed 6', () =>
  expectNoViolations(6, { statements: 2 }),
);
nodeTest.test('guarantees hold while a request ends servers, seed 7', () =>
  expectNoViolations(7, { crashes: 16 }),
);
nodeTest.test('guarantees hold while gateways stop one after the other, seed 8', () =>
  expectNoViolations(8, { stops: 1 }),
);
nodeTest.test('guarantees hold while a part of prompts ends servers, seed 7', () =>
  expectNoViolations(7, { crashes: 16, parts: 1 }),
);
nodeTest.test('guarantees hold while streams have no length, seed 2', () =>
  expectNoViolations(2, { unframedShare: 0.3 }),
);
nodeTest.test('guarantees hold while gateways read input that means nothing, seed 9', () =>
  expectNoViolations(9, { oddInputs: 40 }),
);
nodeTest.test('guarantees hold while servers respond twice, seed 2', () =>
  expectNoViolations(2, { unframedShare: 0.3, extraShare: 0.3 }),
);
