/**
 * `npm run measure:real`: one calm load over real processes on loopback, beside
 * the same load on the virtual fleet.
 */
import * as proofs from '@toucanproxy/proofs';
import * as core from '@toucanproxy/core';
import * as arrivals from './arrivals.js';
import * as deployments from './deployment.js';
import * as runLoad from './run-load.js';
import * as tallies from './tally.js';

const LOAD = 0.7;
const DURATION_MS = 15_000;
const SEED = 1;
const MAX_RUNNING = 8;

type Outcome = { tier: string; inTime: boolean; ms: number };

/** Prints one line. */
function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Starts the processes of a deployment. */
async function startDeployment(deployment: deployments.Deployment): Promise<proofs.Scene> {
  const scene = await proofs.createScene();
  while (scene.backendServers.length < deployment.agents) {
    const speed = deployment.speeds[scene.backendServers.length % deployment.speeds.length];
    const { stepMs, prefillTokensPerStep, maxBatch } = speed;
    await proofs.addRunner(scene, { stepMs, prefillTokensPerStep, maxBatch });
  }
  proofs.publishNext(scene, {
    timing: { heartbeatIntervalMs: 500, heartbeatTimeoutMs: 2000 },
    limits: { maxRunning: MAX_RUNNING, maxQueued: 32, maxRequestsPerWorkspace: 5000 },
  });
  while (scene.entries.length < deployment.entries) {
    await proofs.addEntry(scene);
  }
  return scene;
}

/** Sends one request at its time and notes what its caller got. */
async function sendOne(scene: proofs.Scene, arrival: arrivals.Arrival): Promise<Outcome> {
  await new Promise((resolve) => {
    setTimeout(resolve, arrival.atMs);
  });
  const { one, payload } = arrival;
  const began = performance.now();
  const answer = await proofs.sendChat(scene.entries[arrival.entry], {
    prompt: payload.contentId.padEnd(4 * payload.promptTokens, '.'),
    tokens: payload.answerTokens,
    stream: payload.stream,
    token: one.token,
    timeoutMs: one.timeoutMs,
    path: arrival.path,
  });
  const ms = performance.now() - began;
  const whole = answer.status === 200 && !answer.broken;
  return { tier: one.tier, inTime: whole && ms <= one.timeoutMs, ms };
}

/** Formats goodput and completion times of one tier. */
function formatTier(tier: string, inTime: number, sent: number, times: number[]): string {
  const sorted = [...times].sort((a, b) => a - b);
  const at = (share: number) => Math.round(sorted[Math.floor((sorted.length - 1) * share)] ?? 0);
  const goodput = (inTime / Math.max(sent, 1)).toFixed(3);
  return `${tier}: goodput ${goodput} of ${sent}, done in p50/p95 ${at(0.5)}/${at(0.95)} ms`;
}

/** Runs the load over real processes. */
async function runReal(deployment: deployments.Deployment): Promise<void> {
  const scene = await startDeployment(deployment);
  try {
    const list = arrivals.listArrivals(deployment, LOAD, DURATION_MS, SEED);
    const outcomes = await Promise.all(list.map((arrival) => sendOne(scene, arrival)));
    ['stall', 'draft'].forEach((tier) => {
      const own = outcomes.filter((outcome) => outcome.tier === tier);
      const done = own.filter((outcome) => outcome.inTime);
      const times = done.map((outcome) => outcome.ms);
      print(`  real    ${formatTier(tier, done.length, own.length, times)}`);
    });
  } finally {
    proofs.stopScene(scene);
  }
}

/** Runs the same load on the virtual fleet. */
function runVirtual(deployment: deployments.Deployment): void {
  const tally: tallies.Tally = runLoad.runLoad({
    deployment,
    load: LOAD,
    faults: [],
    seed: SEED,
    buildPolicy: core.createLateBindingPolicy,
    durationMs: DURATION_MS,
  });
  Object.entries(tally.tiers).forEach(([tier, counts]) =>
    print(`  virtual ${formatTier(tier, counts.inTime, counts.sent, counts.completedMs)}`),
  );
}

const [, quebrada] = deployments.DEPLOYMENTS;
print(`${quebrada.name}, calm, load ${LOAD}, late binding`);
runVirtual(quebrada);
await runReal(quebrada);
