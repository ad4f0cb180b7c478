/** Runs the fault soak by hand: `main.js --first 1 --seeds 50 --jobs 3`. */
import * as fs from 'node:fs';
import * as util from 'node:util';
import * as faultPairs from './fault-pairs.js';
import * as runSoak from './run-soak.js';
import * as soakFleet from './soak-fleet.js';

soakFleet.dropCleanup();

const { values } = util.parseArgs({
  options: {
    first: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '10' },
    jobs: { type: 'string', default: '2' },
    gateways: { type: 'string', default: '3' },
    backends: { type: 'string', default: '4' },
    callers: { type: 'string', default: '16' },
    faults: { type: 'string', default: '14' },
    'faults-ms': { type: 'string', default: '8000' },
    evacuations: { type: 'string', default: '3' },
    limits: { type: 'string', default: '2' },
    epochs: { type: 'string', default: '2' },
    statements: { type: 'string', default: '4' },
    crashes: { type: 'string', default: '20' },
    stops: { type: 'string', default: '2' },
    pairs: { type: 'string', default: '2' },
    pair: { type: 'string', multiple: true, default: [] },
    closings: { type: 'string', default: '1' },
    parts: { type: 'string', default: '1' },
    odd: { type: 'string', default: '60' },
    unframed: { type: 'string', default: '0.3' },
    extra: { type: 'string', default: '0.1' },
  },
});
const first = Number(values.first);
const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => first + index);
let failures = 0;
/** Memory that all seeds that run at once may use together, MB. */
const MAX_MEMORY_MB = 12_000;

/** Runs seeds from the shared list until it is empty. */
async function runSome(): Promise<void> {
  let seed = seeds.shift();
  while (seed !== undefined) {
    const report = await runSoak.runSoak({
      seed,
      gateways: Number(values.gateways),
      backends: Number(values.backends),
      callers: Number(values.callers),
      faults: Number(values.faults),
      faultsMs: Number(values['faults-ms']),
      evacuations: Number(values.evacuations),
      limits: Number(values.limits),
      epochs: Number(values.epochs),
      statements: Number(values.statements),
      crashes: Number(values.crashes),
      stops: Number(values.stops),
      pairs: Number(values.pairs),
      givenPairs: values.pair.map(faultPairs.parsePair),
      closings: Number(values.closings),
      parts: Number(values.parts),
      oddInputs: Number(values.odd),
      unframedShare: Number(values.unframed),
      extraShare: Number(values.extra),
      areTimesChecked: true,
    });
    process.stdout.write(`${JSON.stringify(report)}\n`);
    if (report.memoryMb * Number(values.jobs) > MAX_MEMORY_MB) {
      throw new Error(`the soak may need more than ${MAX_MEMORY_MB} MB`);
    }
    if (report.violations.length > 0) {
      failures += 1;
    } else {
      // The logs are needed only to trace a violation.
      fs.rmSync(report.folder, { recursive: true });
    }
    seed = seeds.shift();
  }
}

await Promise.all(Array.from({ length: Number(values.jobs) }, runSome));
process.stdout.write(`${JSON.stringify({ seeds: Number(values.seeds), failures })}\n`);
process.exitCode = failures > 0 ? 1 : 0;
