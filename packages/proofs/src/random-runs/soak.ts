/** Runs random scenarios for some minutes: `soak.js --minutes N --seed S`. */
import * as util from 'node:util';
import * as fastCheck from 'fast-check';
import * as runScenario from './run-scenario.js';
import * as scenarios from './scenario.js';

const BATCH_RUNS = 50;
const MS_PER_MINUTE = 60_000;

type Totals = {
  runs: number;
  events: number;
  calls: number;
  virtualMs: number;
  faults: Record<string, number>;
  ends: Record<string, number>;
};

/** Adds to one count of a table. */
function addCount(counts: Record<string, number>, key: string, amount = 1): void {
  counts[key] = (counts[key] ?? 0) + amount;
}

/** Adds one run to the totals. */
function addRun(totals: Totals, report: runScenario.RunReport): void {
  totals.runs += 1;
  totals.events += report.events;
  totals.calls += report.calls.length;
  totals.virtualMs += report.virtualMs;
  Object.entries(report.faults).forEach(([kind, count]) => addCount(totals.faults, kind, count));
  report.calls.forEach((call) => addCount(totals.ends, call.outcomes[0]?.kind ?? 'left'));
}

/** Runs batches of scenarios until the time is over or an invariant is violated. */
function runSoak(minutes: number, firstSeed: number): boolean {
  const totals: Totals = { runs: 0, events: 0, calls: 0, virtualMs: 0, faults: {}, ends: {} };
  const untilMs = Date.now() + minutes * MS_PER_MINUTE;
  const property = fastCheck.property(scenarios.buildScenarios({ resends: true }), (scenario) =>
    addRun(totals, runScenario.expectNoViolation(scenario)),
  );
  let seed = firstSeed;
  let failed = false;
  while (!failed && Date.now() < untilMs) {
    const details = fastCheck.check(property, { seed, numRuns: BATCH_RUNS });
    failed = details.failed;
    if (failed) {
      process.stdout.write(`${fastCheck.defaultReportMessage(details) ?? ''}\n`);
      process.stdout.write(`${JSON.stringify(details.counterexample?.[0])}\n`);
    }
    seed += 1;
  }
  const seeds = { first: firstSeed, last: seed - 1 };
  process.stdout.write(`${JSON.stringify({ failed, seeds, ...totals }, undefined, 2)}\n`);
  return failed;
}

const { values } = util.parseArgs({
  options: {
    minutes: { type: 'string', default: '1' },
    seed: { type: 'string', default: '1' },
  },
});
process.exitCode = runSoak(Number(values.minutes), Number(values.seed)) ? 1 : 0;
