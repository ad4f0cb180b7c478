/** Runs seeds of the soak test with few processes, without the checks of times. */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as runSoak from './run-soak.js';
import * as soakFleet from './soak-fleet.js';

soakFleet.dropCleanup();

const FEW = {
  gateways: 2,
  backends: 3,
  callers: 6,
  faults: 8,
  faultsMs: 3000,
  evacuations: 0,
  limits: 0,
  epochs: 0,
  statements: 0,
  crashes: 0,
  stops: 0,
  pairs: 0,
  closings: 0,
  parts: 0,
  unframedShare: 0,
  extraShare: 0,
  oddInputs: 0,
  areTimesChecked: false,
};

/** Runs one seed and expects no violation of a guarantee. */
export async function expectNoViolations(
  seed: number,
  changes: Partial<runSoak.SoakOptions>,
): Promise<void> {
  const report = await runSoak.runSoak({ ...FEW, ...changes, seed });
  assert.deepEqual(report.violations, [], `logs in ${report.folder}`);
  assert.ok(report.calls > 0);
  fs.rmSync(report.folder, { recursive: true });
}
