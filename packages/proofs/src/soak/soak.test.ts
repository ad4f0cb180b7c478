import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as runSoak from './run-soak.js';

/** Plays one seed with few processes and expects that all promises are kept. */
async function expectKept(
  seed: number,
  { evacuations = 0, limits = 0, epochs = 0, statements = 0 },
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
    areTimesChecked: false,
  });
  assert.deepEqual(report.violations, [], `logs in ${report.folder}`);
  assert.ok(report.calls > 0);
  fs.rmSync(report.folder, { recursive: true });
}

nodeTest.test('promises hold under faults from outside, seed 1', () => expectKept(1, {}));
nodeTest.test('promises hold under faults from outside, seed 2', () => expectKept(2, {}));
nodeTest.test('promises hold while domains are evacuated, seed 3', () =>
  expectKept(3, { evacuations: 2 }),
);
nodeTest.test('promises hold while servers name rate limits, seed 4', () =>
  expectKept(4, { limits: 1 }),
);
nodeTest.test('promises hold while the store goes back, seed 5', () =>
  expectKept(5, { evacuations: 1, epochs: 1 }),
);
nodeTest.test('promises hold while servers leave and want a backoff, seed 6', () =>
  expectKept(6, { statements: 2 }),
);
