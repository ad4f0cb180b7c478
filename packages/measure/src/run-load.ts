/** Runs one load on one deployment under one policy, on a virtual fleet. */
import * as core from '@toucanproxy/core';
import * as proofs from '@toucanproxy/proofs';
import * as arrivals from './arrivals.js';
import * as controlBytes from './control-bytes.js';
import * as deployments from './deployment.js';
import * as tally from './tally.js';

export type LoadOptions = {
  deployment: deployments.Deployment;
  /** Arrivals as a share of the estimated capacity. */
  load: number;
  faults: proofs.FaultSpec[];
  seed: number;
  buildPolicy: (drawRandom: () => number) => core.EntryPolicy;
  /** Time over which requests arrive, milliseconds. */
  durationMs: number;
};

const WARM_UP_MS = 2000;
const MS_PER_SECOND = 1000;

const TIMING = {
  defaultDeadlineMs: 15_000,
  maxDeadlineMs: 20_000,
  keyWindowMs: 120_000,
  clockSkewMs: 100,
  heartbeatIntervalMs: 500,
  heartbeatTimeoutMs: 2000,
};

/** Makes names of a number of processes. */
function makeIds(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);
}

/** Publishes the deployment's only document. */
function publishDocument(fleet: proofs.VirtualFleet): void {
  const { options, platform } = fleet;
  const agents = options.agentIds.map((id) => ({ id, address: proofs.getAddress(fleet, id) }));
  const limits = { maxRunning: 8, maxQueued: 32, maxRequestsPerWorkspace: 5000, maxWaiting: 400 };
  const document = proofs.buildDocument(options.service, 1, agents, { timing: TIMING, limits });
  proofs.publishDocument(platform, document);
}

/**
 * Picks the entry that the platform's balancer sends a request to: the one
 * drawn, or the next that is up and has its document. A real balancer learns of
 * a lost entry some time later; that time is not modelled.
 */
function pickEntry(fleet: proofs.VirtualFleet, drawn: number): string {
  const ids = fleet.options.entryIds;
  const inTurn = ids.map((_, index) => ids[(drawn + index) % ids.length]);
  const ready = inTurn.find((id) => {
    const entry = fleet.entries.get(id);
    return entry !== undefined && entry.alive && entry.state.documents.size > 0;
  });
  return ready ?? inTurn[0];
}

/** Schedules the requests of a load. */
function scheduleArrivals(fleet: proofs.VirtualFleet, options: LoadOptions): void {
  const { deployment, load, durationMs, seed } = options;
  arrivals.listArrivals(deployment, load, durationMs, seed).forEach((arrival) => {
    const { one, path, payload } = arrival;
    const { token, timeoutMs } = one;
    const service = deployment.name;
    const plan = { service, path, token, key: '', timeoutMs, payload, prefixHashes: [] };
    proofs.schedule(fleet, arrival.atMs, () => {
      proofs.sendCall(fleet, pickEntry(fleet, arrival.entry), plan);
    });
  });
}

/** Schedules the faults. */
function scheduleFaults(fleet: proofs.VirtualFleet, faults: readonly proofs.FaultSpec[]): void {
  const target = { fleet, publish: () => {}, sendBurst: () => {} };
  faults.forEach((fault) => {
    proofs.schedule(fleet, fault.atMs, () => proofs.applyFault(target, fault));
  });
}

/** Runs a load and counts what came of it. */
export function runLoad(options: LoadOptions): tally.Tally {
  const { deployment, durationMs } = options;
  const control = controlBytes.createControlBytes();
  const fleet = proofs.createVirtualFleet({
    seed: options.seed,
    service: deployment.name,
    entryIds: makeIds('entry', deployment.entries),
    agentIds: makeIds('runner', deployment.agents),
    engineSpeeds: deployment.speeds,
    latencyMs: deployment.latencyMs,
    buildPolicy: options.buildPolicy,
    observe: (occurrence) => controlBytes.addOccurrence(control, occurrence),
  });
  publishDocument(fleet);
  proofs.advanceFleet(fleet, WARM_UP_MS);
  scheduleArrivals(fleet, options);
  scheduleFaults(fleet, options.faults);
  const longestMs = Math.max(...deployment.classes.map((one) => one.timeoutMs));
  proofs.advanceFleet(fleet, durationMs + longestMs + WARM_UP_MS);
  const seconds = fleet.nowMs === 0 ? 1 : (durationMs + longestMs) / MS_PER_SECOND;
  const nodes = deployment.entries + deployment.agents;
  return tally.countTally(fleet, deployment, control.bytes / seconds / nodes);
}
