/** Runs one seed of the soak: a fleet, callers, faults, then the checks. */
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import * as soakCaller from './soak-caller.js';
import * as soakChecks from './soak-checks.js';
import * as soakEpochs from './soak-epochs.js';
import * as soakEvacuations from './soak-evacuations.js';
import * as soakFaults from './soak-faults.js';
import * as soakFleet from './soak-fleet.js';
import * as soakLimits from './soak-limits.js';
import * as soakStatements from './soak-statements.js';

export type SoakOptions = {
  seed: number;
  gateways: number;
  backends: number;
  callers: number;
  faults: number;
  /** Time in which faults begin, milliseconds. */
  faultsMs: number;
  /** Failure domains that are evacuated and taken back, one after the other. */
  evacuations: number;
  /** Rate limits that backend servers name, one after the other. */
  limits: number;
  /** Statements of backend servers that they leave, or want nothing for a while. */
  statements: number;
  /** Restorations of the store from backups, one after the other. */
  epochs: number;
  areTimesChecked: boolean;
};

export type SoakReport = {
  seed: number;
  calls: number;
  runs: number;
  /** Calls by the status of their answer; 0 for none. */
  ends: Record<string, number>;
  faults: string[];
  violations: soakChecks.Violation[];
  /** Where the logs of the gateways are. */
  folder: string;
};

/** Longest fault, graceful end and restart; then everything must serve again, ms. */
const SETTLE_MS = 4000;
const SEED_STEP = 7919;
/** Evacuations have a source of their own, so that a seed keeps its faults. */
const EVACUATIONS_STEP = 104_729;
const LIMITS_STEP = 1_299_709;
const EPOCHS_STEP = 15_485_863;
const STATEMENTS_STEP = 179_424_673;

/** Puts the faults in at their times. */
async function applyFaults(fleet: soakFleet.SoakFleet, faults: soakFaults.Fault[]): Promise<void> {
  const beganMs = fleet.readNow();
  await Promise.all(
    faults.map(async (fault) => {
      await timers.setTimeout(Math.max(beganMs + fault.atMs - fleet.readNow(), 0));
      soakFaults.applyFault(fleet, fault);
    }),
  );
}

/** Counts how the calls ended. */
function countEnds({ records }: soakFleet.SoakFleet): Record<string, number> {
  const ends: Record<string, number> = {};
  records.calls.forEach(({ answer, leftMs }) => {
    const key = leftMs > 0 ? 'left' : String(answer?.status ?? 'none');
    ends[key] = (ends[key] ?? 0) + 1;
  });
  return ends;
}

/** Plays the callers and the faults, and checks what was seen. */
async function runCalls(
  fleet: soakFleet.SoakFleet,
  options: SoakOptions,
  faults: soakFaults.Fault[],
): Promise<soakChecks.Violation[]> {
  const { seed, callers } = options;
  let stopped = false;
  const calling = Array.from({ length: callers }, (_, index) =>
    soakCaller.runCaller({
      name: `caller-${index}`,
      draw: randomSource.createRandomSource(seed * SEED_STEP + index),
      records: fleet.records,
      readNow: fleet.readNow,
      ports: fleet.gateways.map((gateway) => gateway.callers.port),
      credentials: fleet.credentials,
      isStopped: () => stopped,
    }),
  );
  const draw = randomSource.createRandomSource(seed + EVACUATIONS_STEP);
  await Promise.all([
    applyFaults(fleet, faults),
    soakEvacuations.runEvacuations(fleet, draw, options.evacuations),
    soakLimits.runLimits(
      fleet,
      randomSource.createRandomSource(seed + LIMITS_STEP),
      options.limits,
    ),
    soakStatements.runStatements(
      fleet,
      randomSource.createRandomSource(seed + STATEMENTS_STEP),
      options.statements,
    ),
    soakEpochs.runEpochs(
      fleet,
      randomSource.createRandomSource(seed + EPOCHS_STEP),
      options.epochs,
    ),
  ]);
  await timers.setTimeout(SETTLE_MS);
  const isServing = await soakFleet.waitForService(fleet);
  stopped = true;
  await Promise.all(calling);
  const {
    REVOCATION_MS: revocationMs,
    EVACUATION_MS: evacuationMs,
    RETRY_RATIO: retryRatio,
    RETRY_EXTRA: retryExtra,
  } = soakFleet;
  const violations = soakChecks.checkRecords(fleet.records, {
    revocationMs,
    evacuationMs,
    retryRatio,
    retryExtra,
    areTimesChecked: options.areTimesChecked,
  });
  return isServing
    ? violations
    : [...violations, { promise: 'serves again', detail: 'a gateway does not serve' }];
}

/** Notes that the gateways owe nothing for the time until they had started. */
function noteStart({ gateways, records, readNow }: soakFleet.SoakFleet): void {
  const untilMs = readNow();
  gateways.forEach(({ index }) =>
    records.disturbances.push({ gateway: index, fromMs: 0, untilMs }),
  );
}

/** Runs one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, gateways, backends } = options;
  const draw = randomSource.createRandomSource(seed);
  const faults = soakFaults.drawFaults(draw, options.faults, 0, options.faultsMs);
  const fleet = await soakFleet.startFleet(draw, { gateways, backends });
  try {
    if (!(await soakFleet.waitForService(fleet))) {
      throw new Error(`the fleet does not start; its logs are in ${fleet.folder}`);
    }
    noteStart(fleet);
    const violations = await runCalls(fleet, options, faults);
    return {
      seed,
      calls: fleet.records.calls.length,
      runs: fleet.records.runs.length,
      ends: countEnds(fleet),
      faults: faults.map(
        ({ kind, atMs, forMs }) => `${kind}@${Math.round(atMs)}+${Math.round(forMs)}`,
      ),
      violations,
      folder: fleet.folder,
    };
  } finally {
    soakFleet.stopFleet(fleet);
  }
}
