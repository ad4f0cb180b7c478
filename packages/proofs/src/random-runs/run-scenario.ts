/** Runs one scenario on a virtual fleet and checks every invariant. */
import * as core from '@toucanproxy/core';
import * as invariants from '../invariants.js';
import * as exampleDocument from '../mocks/example-document.js';
import * as fleetProcesses from '../mocks/fleet-processes.js';
import * as fleetState from '../mocks/fleet-state.js';
import * as virtualCallers from '../mocks/virtual-callers.js';
import * as virtualFleet from '../mocks/virtual-fleet.js';
import * as virtualNetwork from '../mocks/virtual-network.js';
import * as virtualPlatform from '../mocks/virtual-platform.js';
import * as applyFault from './apply-fault.js';
import * as scenarios from './scenario.js';

export type RunReport = {
  violations: invariants.Violation[];
  events: number;
  /** Virtual time, milliseconds. */
  virtualMs: number;
  calls: virtualCallers.Call[];
  faults: Record<string, number>;
  fleet: fleetState.VirtualFleet;
};

/** Parts of the code that a run may replace, to show that the checks can fail. */
export type Broken = Partial<
  Pick<fleetState.FleetOptions, 'handleEntryEvent' | 'handleAgentEvent' | 'buildPolicy'>
>;

const SERVICE = 'brimwit';
const WARM_UP_MS = 1500;
const SLICE_MS = 250;
/** Longest time from the last call to its final response, pauses of processes included. */
const QUIET_MS = 26_000;
/** Time that a run continues after the last final response, so that late starts are detected. */
const TRAILING_MS = 4000;
const CLOCK_SKEW_MS = 40;

const TIMING = {
  defaultDeadlineMs: 5000,
  maxDeadlineMs: 8000,
  keyWindowMs: 60_000,
  clockSkewMs: CLOCK_SKEW_MS,
  heartbeatIntervalMs: 200,
  heartbeatTimeoutMs: 800,
};

type Run = {
  scenario: scenarios.Scenario;
  fleet: fleetState.VirtualFleet;
  checker: invariants.Checker;
  version: number;
};

/** Publishes the next document version. */
function publishDocument(run: Run, leavingAgents: string[]): void {
  const { fleet, scenario } = run;
  run.version += 1;
  const agents = fleet.options.agentIds.map((id) => ({
    id,
    address: fleetState.getAddress(fleet, id),
    failureDomain: 'suva-loft',
    addedInVersion: 1,
    state: leavingAgents.includes(id)
      ? 'BACKEND_SERVER_STATE_LEAVING'
      : 'BACKEND_SERVER_STATE_ACTIVE',
  }));
  const limits = { maxRunning: scenario.maxRunning, maxQueued: scenario.maxQueued };
  const overrides = { backendServers: agents, timing: TIMING, limits };
  virtualPlatform.publishDocument(
    fleet.platform,
    exampleDocument.buildDocument(SERVICE, run.version, agents, overrides),
  );
}

/** Builds the ids of a number of processes. */
function buildIds(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);
}

/** Starts the fleet of a scenario. */
function startRun(scenario: scenarios.Scenario, broken: Broken): Run {
  const checker = invariants.createChecker();
  const fleet = virtualFleet.createVirtualFleet({
    seed: scenario.seed,
    service: SERVICE,
    entryIds: buildIds('entry', scenario.entries),
    agentIds: buildIds('runner', scenario.agents),
    clockSkewMs: CLOCK_SKEW_MS,
    observe: (occurrence) => invariants.checkOccurrence(checker, occurrence),
    ...broken,
  });
  checker.fleet = fleet;
  const run: Run = { scenario, fleet, checker, version: 0 };
  publishDocument(run, []);
  virtualFleet.advanceFleet(fleet, WARM_UP_MS);
  return run;
}

/** Builds a version 7 UUID, which contains its time of issue. */
function buildKey(issuedMs: number, serial: number): string {
  const time = Math.floor(issuedMs).toString(16).padStart(12, '0');
  const tail = serial.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}

/** Builds a caller's request. Its key contains the time of issue, unless it is a plain key. */
function buildPlan(
  spec: scenarios.CallSpec,
  contentId: string,
  fleet: fleetState.VirtualFleet,
): virtualCallers.CallPlan {
  const { promptTokens, answerTokens, stream, poison } = spec;
  const timedKey = buildKey(fleet.nowMs, fleet.calls.length);
  const key = spec.plainKey ? `key-${contentId}` : timedKey;
  return {
    service: SERVICE,
    path: spec.once ? '/v1/chat/completions' : '/v1/completions',
    token: spec.urgent ? 'brim-stall' : 'band-draft',
    key: spec.resends.length > 0 ? key : '',
    timeoutMs: spec.timeoutMs,
    payload: { contentId, promptTokens, answerTokens, stream, crash: poison },
    prefixHashes: [],
  };
}

/** Sends a call, and resends it as its spec says until one of the calls has completed. */
function sendWithResends(run: Run, spec: scenarios.CallSpec, contentId: string): void {
  const { fleet } = run;
  const plan = buildPlan(spec, contentId, fleet);
  const sent: virtualCallers.Call[] = [];
  const send = (entry: number) => {
    const ids = fleet.options.entryIds;
    const call = virtualFleet.sendCall(fleet, ids[entry % ids.length], plan);
    sent.push(call);
    if (spec.leaveAfterMs > 0) {
      fleetState.schedule(fleet, spec.leaveAfterMs, () => virtualFleet.closeCall(fleet, call));
    }
  };
  send(spec.entry);
  spec.resends.forEach((resend) =>
    fleetState.schedule(fleet, resend.afterMs, () => {
      const done = sent.some((call) => call.outcomes.some((final) => final.kind === 'completed'));
      if (!done) {
        send(resend.entry);
      }
    }),
  );
}

/** Sends many calls at once. */
function sendBurst(run: Run, fault: Extract<scenarios.FaultSpec, { kind: 'burst' }>): void {
  const { drawRandom } = run.fleet;
  Array.from({ length: fault.count }).forEach((_, index) => {
    const spec: scenarios.CallSpec = {
      atMs: 0,
      entry: fault.entry + index,
      urgent: drawRandom() * 100 < fault.urgentPercent,
      once: drawRandom() < 0.5,
      stream: drawRandom() < 0.5,
      promptTokens: 1 + Math.floor(drawRandom() * 2000),
      answerTokens: 1 + Math.floor(drawRandom() * 30),
      timeoutMs: 2000 + Math.floor(drawRandom() * 5000),
      leaveAfterMs: 0,
      poison: false,
      plainKey: false,
      resends: [],
    };
    sendWithResends(run, spec, `b${fault.atMs}-${index}-${run.fleet.calls.length}`);
  });
}

/** Schedules all calls and faults of a scenario. */
function scheduleScenario(run: Run): void {
  const { fleet, scenario } = run;
  scenario.calls.forEach((spec, index) =>
    fleetState.schedule(fleet, spec.atMs, () => sendWithResends(run, spec, `c${index}`)),
  );
  const target: applyFault.FaultTarget = {
    fleet,
    publish: (leavingAgents) => publishDocument(run, leavingAgents),
    sendBurst: (fault) => sendBurst(run, fault),
  };
  scenario.faults.forEach((fault) =>
    fleetState.schedule(fleet, fault.atMs, () => applyFault.applyFault(target, fault)),
  );
}

/** Advances until a condition holds, an invariant is violated or the time is over. */
function advanceUntil(run: Run, ms: number, isDone: () => boolean): void {
  const untilMs = run.fleet.nowMs + ms;
  while (run.fleet.nowMs < untilMs && run.checker.violations.length === 0 && !isDone()) {
    virtualFleet.advanceFleet(run.fleet, SLICE_MS);
    virtualNetwork.removeClosedConnections(run.fleet.network);
  }
}

/** Starts every stopped process, so that nothing keeps waiting for one. */
function startStopped(run: Run): void {
  [...run.fleet.entries.values(), ...run.fleet.agents.values()].forEach((process) =>
    fleetProcesses.startProcess(run.fleet, process),
  );
}

/** Checks that the latest published document is active in every process. */
function checkVersions(run: Run): void {
  const processes = [...run.fleet.entries.values(), ...run.fleet.agents.values()];
  processes
    .filter((process) => process.alive)
    .forEach((process) => {
      const version = core.getVersion(process.state.documents, SERVICE);
      if (version !== run.version) {
        run.checker.violations.push({
          invariant: invariants.Invariant.VERSION_SPREADS,
          atMs: run.fleet.nowMs,
          detail: `${process.id} has ${version}, published is ${run.version}`,
        });
      }
    });
}

/** Counts faults by kind. */
function countFaults(scenario: scenarios.Scenario): Record<string, number> {
  const counts: Record<string, number> = {};
  scenario.faults.forEach((fault) => {
    counts[fault.kind] = (counts[fault.kind] ?? 0) + 1;
  });
  return counts;
}

/** Runs one scenario until it ends or violates an invariant. */
export function runScenario(scenario: scenarios.Scenario, broken: Broken = {}): RunReport {
  const run = startRun(scenario, broken);
  const { fleet, checker } = run;
  const beganMs = fleet.nowMs - WARM_UP_MS;
  scheduleScenario(run);
  advanceUntil(run, scenarios.ACTIVE_MS, () => false);
  const isAnswered = () =>
    fleet.calls.every((call) => call.hasDisconnected || call.outcomes.length > 0);
  const quietFromMs = fleet.nowMs + scenarios.LONGEST_FAULT_MS + scenarios.LONGEST_RESEND_MS;
  advanceUntil(run, QUIET_MS, () => fleet.nowMs > quietFromMs && isAnswered());
  startStopped(run);
  advanceUntil(run, TRAILING_MS, () => false);
  if (checker.violations.length === 0) {
    invariants.checkEnd(checker);
    checkVersions(run);
  }
  return {
    violations: checker.violations,
    events: fleet.eventCount,
    virtualMs: fleet.nowMs - beganMs,
    calls: fleet.calls,
    faults: countFaults(scenario),
    fleet,
  };
}

/** Runs a scenario and throws if it violates an invariant. */
export function expectNoViolation(scenario: scenarios.Scenario, broken: Broken = {}): RunReport {
  const report = runScenario(scenario, broken);
  const [first] = report.violations;
  if (first !== undefined) {
    throw new Error(`${first.invariant} broken: ${first.detail}`);
  }
  return report;
}
