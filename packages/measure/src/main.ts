/**
 * `npm run measure [-- --seeds N --ms N --only TEXT]`: policies side by side on
 * the same seeds, for both deployments, calm and with faults, under three loads.
 */
import * as util from 'node:util';
import * as deployments from './deployment.js';
import * as faultSets from './fault-sets.js';
import * as policies from './policies.js';
import * as report from './report.js';
import * as runLoad from './run-load.js';

const LOADS = [0.7, 1, 1.5];
const DEFAULT_SEEDS = '5';
const DEFAULT_DURATION_MS = '10000';

const { values } = util.parseArgs({
  options: {
    seeds: { type: 'string', default: DEFAULT_SEEDS },
    ms: { type: 'string', default: DEFAULT_DURATION_MS },
    only: { type: 'string', default: '' },
  },
});

/** Runs one group over all seeds and prints it. */
function runGroup(
  deployment: deployments.Deployment,
  faultSet: faultSets.FaultSet,
  load: number,
  policy: policies.NamedPolicy,
): void {
  const title = `${deployment.name}, ${faultSet.name}, load ${load}, ${policy.name}`;
  if (!title.includes(values.only)) {
    return;
  }
  const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => index + 1);
  const group = seeds.map((seed) =>
    runLoad.runLoad({
      deployment,
      load,
      faults: faultSet.faults,
      seed,
      buildPolicy: policy.build,
      durationMs: Number(values.ms),
    }),
  );
  process.stdout.write(`${report.formatGroup(title, group)}\n`);
}

deployments.DEPLOYMENTS.forEach((deployment) => {
  const rate = deployments.estimateCapacity(deployment).toFixed(1);
  process.stdout.write(`${deployment.name}: estimated capacity ${rate} requests a second\n`);
  faultSets.FAULT_SETS.forEach((faultSet) =>
    LOADS.forEach((load) =>
      policies.POLICIES.forEach((policy) => runGroup(deployment, faultSet, load, policy)),
    ),
  );
});
