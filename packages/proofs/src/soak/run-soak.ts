/** Runs one seed of the soak test: starts a fleet, callers and faults, then runs the checks. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import type * as faultPairs from './fault-pairs.js';
import * as soakCaller from './soak-caller.js';
import * as soakChecks from './soak-checks.js';
import * as soakClosings from './soak-closings.js';
import * as soakConnectionChecks from './soak-connection-checks.js';
import * as soakCrashes from './soak-crashes.js';
import * as soakEpochs from './soak-epochs.js';
import * as soakEvacuations from './soak-evacuations.js';
import * as soakFaults from './soak-faults.js';
import * as soakFleet from './soak-fleet.js';
import * as soakLimits from './soak-limits.js';
import * as soakMemory from './soak-memory.js';
import * as soakOddInput from './soak-odd-input.js';
import * as soakPairs from './soak-pairs.js';
import * as soakParts from './soak-parts.js';
import type * as soakRecords from './soak-records.js';
import * as soakStalls from './soak-stalls.js';
import * as soakStatements from './soak-statements.js';
import * as soakStops from './soak-stops.js';

export type SoakOptions = {
  seed: number;
  gateways: number;
  backends: number;
  callers: number;
  faults: number;
  /** Length of the period in which faults begin, milliseconds. */
  faultsMs: number;
  /** Number of evacuations of failure domains, one after the other; each is undone. */
  evacuations: number;
  /** Number of temporary rate limits that backend servers announce, one after the other. */
  limits: number;
  /** Number of statements in which a backend server says it is leaving or asks for a backoff. */
  statements: number;
  /** Number of times the store is restored from a backup, one after the other. */
  epochs: number;
  /** Number of times a request is sent that ends each backend server that runs it. */
  crashes: number;
  /** Number of rounds of planned stops; their grace period and route timeout are longer. */
  stops: number;
  /** Number of pairs of faults, one after the other, drawn from those that nothing else plays. */
  pairs: number;
  /** Pairs that are played instead of those drawn first. */
  givenPairs?: readonly faultPairs.FaultPair[];
  /** Rounds of planned stops under callers that open a connection for each request. */
  closings: number;
  /** Rounds of requests with a part that ends backend servers, after the other events. */
  parts: number;
  /** Number of times that gateways get input that means nothing. */
  oddInputs: number;
  /** Share of streams without a length; the same share of requests gets events with CRLF. */
  unframedShare: number;
  /** Share of responses that are followed by a second one on their connection. */
  extraShare: number;
  /** Also checks response times, which hold only on a machine with spare CPU. */
  areTimesChecked: boolean;
};

export type SoakReport = {
  seed: number;
  calls: number;
  runs: number;
  /** Calls by response status; `none` without a response, `left` if the caller disconnected. */
  ends: Record<string, number>;
  /** The same of the calls that took a stream up. */
  takeUps: Record<string, number>;
  faults: string[];
  pairs: string[];
  violations: soakChecks.Violation[];
  /** Requests that crossed the close of their connection at a planned stop. */
  crossings: number;
  /** Most resident memory of all processes together, MB. */
  memoryMb: number;
  /** Directory with the gateways' logs. */
  folder: string;
};

/**
 * Milliseconds after the last fault before the gateways are probed: covers the longest fault,
 * a graceful shutdown and a restart.
 */
const SETTLE_MS = 4000;
const SEED_STEP = 7919;
/** Each series of events has a random source of its own, so that a seed keeps its faults. */
const EVACUATIONS_STEP = 104_729;
const LIMITS_STEP = 1_299_709;
const EPOCHS_STEP = 15_485_863;
const STATEMENTS_STEP = 179_424_673;
const CRASHES_STEP = 32_452_843;
const STOPS_STEP = 49_979_687;
const PARTS_STEP = 67_867_967;
const ODD_INPUT_STEP = 86_028_121;
const CLOSINGS_STEP = 122_949_823;
const PAIRS_STEP = 141_650_939;
/** Numbers that a source gives before seeds that are close together differ in all of them. */
const MIXING_DRAWS = 20;
const USUAL_TIMES = { graceMs: 5000, routeTimes: { timeoutMs: 5000, targetMs: 1000 } };
/** With planned stops a request may wait in a queue for longer than the grace period. */
const STOPS_TIMES = { graceMs: 8000, routeTimes: { timeoutMs: 20_000, targetMs: 15_000 } };

/** Counts the calls by outcome. */
function countEnds(calls: readonly soakRecords.CallRecord[]): Record<string, number> {
  const ends: Record<string, number> = {};
  calls.forEach(({ response, disconnectedMs }) => {
    const key = disconnectedMs > 0 ? 'left' : String(response?.status ?? 'none');
    ends[key] = (ends[key] ?? 0) + 1;
  });
  return ends;
}

/** Creates a random source whose first numbers differ between seeds that are close together. */
function createMixedSource(seed: number): randomSource.DrawRandom {
  const draw = randomSource.createRandomSource(seed);
  Array.from({ length: MIXING_DRAWS }, draw);
  return draw;
}

/** Applies the faults and runs all series of events beside them. */
async function runEvents(
  fleet: soakFleet.SoakFleet,
  options: SoakOptions,
  faults: soakFaults.Fault[],
): Promise<faultPairs.FaultPair[]> {
  const createSource = (step: number) => randomSource.createRandomSource(options.seed + step);
  await Promise.all([
    soakFaults.applyFaults(fleet, faults),
    soakEvacuations.runEvacuations(fleet, createSource(EVACUATIONS_STEP), options.evacuations),
    soakLimits.runLimits(fleet, createSource(LIMITS_STEP), options.limits),
    soakStatements.runStatements(fleet, createSource(STATEMENTS_STEP), options.statements),
    soakEpochs.runEpochs(fleet, createSource(EPOCHS_STEP), options.epochs),
    soakCrashes.runCrashes(fleet, createSource(CRASHES_STEP), options.crashes),
    soakStops.runStops(fleet, createSource(STOPS_STEP), options.stops),
    soakOddInput.runOddInput(fleet, createSource(ODD_INPUT_STEP), options.oddInputs),
  ]);
  await soakParts.runParts(fleet, createSource(PARTS_STEP), options.parts);
  const { givenPairs = [] } = options;
  const pairs = await soakPairs.runPairs(
    fleet,
    createMixedSource(options.seed + PAIRS_STEP),
    options.pairs,
    givenPairs,
  );
  await soakClosings.runClosings(
    fleet,
    createMixedSource(options.seed + CLOSINGS_STEP),
    options.closings,
  );
  return pairs;
}

/** Runs the callers and the faults, then checks the records. */
async function runCalls(
  fleet: soakFleet.SoakFleet,
  options: SoakOptions,
  faults: soakFaults.Fault[],
): Promise<{ violations: soakChecks.Violation[]; pairs: faultPairs.FaultPair[] }> {
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
      crLfShare: options.unframedShare,
      isStopped: () => stopped,
    }),
  );
  const pairs = await runEvents(fleet, options, faults);
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
  const bounds = {
    revocationMs,
    evacuationMs,
    retryRatio,
    retryExtra,
    routeTimeoutMs: fleet.routeTimes.timeoutMs,
    areTimesChecked: options.areTimesChecked,
  };
  const violations = [
    ...soakChecks.checkRecords(fleet.records, bounds),
    ...soakOddInput.checkFailures(fleet),
  ];
  const unserved = { guarantee: 'serves again', detail: 'a gateway does not serve' };
  return { pairs, violations: isServing ? violations : [...violations, unserved] };
}

/** Records the startup as a disturbance, so that no gateway is checked before it serves. */
function recordStartup({ gateways, records, readNow }: soakFleet.SoakFleet): void {
  const untilMs = readNow();
  gateways.forEach(({ index }) =>
    records.disturbances.push({ gateway: index, fromMs: 0, untilMs }),
  );
}

/** Writes the records beside the gateways' logs, to trace a violation; bodies are left out. */
function writeRecords({ records, folder }: soakFleet.SoakFleet): void {
  const text = JSON.stringify(records, (key, value: unknown) => (key === 'body' ? '' : value));
  fs.writeFileSync(path.join(folder, 'records.json'), text);
}

/** Runs one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, gateways, backends } = options;
  const hasStops = options.stops + options.closings > 0;
  const draw = randomSource.createRandomSource(seed);
  const faults = soakFaults.drawFaults(draw, options.faults, 0, options.faultsMs);
  const fleet = await soakFleet.startFleet(draw, {
    gateways,
    backends,
    hasStops,
    ...(hasStops ? STOPS_TIMES : USUAL_TIMES),
  });
  try {
    if (!(await soakFleet.waitForService(fleet))) {
      throw new Error(`the fleet does not start; its logs are in ${fleet.folder}`);
    }
    recordStartup(fleet);
    fleet.backends.forEach(({ server }) => {
      server.setUnframedShare(options.unframedShare);
      server.setExtraShare(options.extraShare);
    });
    const endMemory = soakMemory.watchMemory(fleet);
    const endWatch = soakStalls.watchStalls(fleet.records, fleet.readNow);
    const { violations, pairs } = await runCalls(fleet, options, faults);
    endWatch();
    writeRecords(fleet);
    const { calls } = fleet.records;
    return {
      seed,
      calls: calls.length,
      runs: fleet.records.runs.length,
      ends: countEnds(calls.filter(({ resumes }) => resumes === undefined)),
      takeUps: countEnds(calls.filter(({ resumes }) => resumes !== undefined)),
      faults: faults.map(
        ({ kind, atMs, forMs }) => `${kind}@${Math.round(atMs)}+${Math.round(forMs)}`,
      ),
      pairs: pairs.map((pair) => pair.join(' + ')),
      violations,
      crossings: soakConnectionChecks.countCrossings(fleet.records),
      memoryMb: endMemory(),
      folder: fleet.folder,
    };
  } finally {
    soakFleet.stopFleet(fleet);
  }
}
