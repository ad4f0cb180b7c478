/** Starts gateways with the command of the deploy file, beside a store, and ends them. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

export const ROOT = url.fileURLToPath(new URL('../../', import.meta.url));
const READY_MS = 20_000;
/** A case that takes longer could not run, milliseconds. */
const MAX_CASE_MS = 115_000;
const PORTS = { frontend: 8221, readiness: 8224, controlPlane: 8229 };
const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  stabilityMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  outerMs: 5000,
  strictRevocation: true,
  revokeMs: 5000,
  retryRatio: 0.2,
  retryWindowS: 10,
  retryExtra: 54,
  quotaWindowS: 8,
  quotaOverage: 0.25,
  quotaSlack: 140_000,
  recoveryS: 12,
  maxDelayMs: 120,
  retryAfterS: 10,
};

/** Waits for a time, milliseconds. */
export function wait(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Returns whether a port of a loopback address is free. */
function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.on('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds a block of loopback addresses, "127.A.B", of which the first one has free ports. */
async function findBlock(tried = 0) {
  const block = `127.${40 + ((process.pid + tried) % 180)}.${Math.floor(process.pid / 256) % 200}`;
  const free = await Promise.all(Object.values(PORTS).map((port) => isFree(`${block}.10`, port)));
  if (free.every(Boolean)) {
    return block;
  }
  if (tried > 50) {
    throw new Error('no free loopback addresses');
  }
  return findBlock(tried + 1);
}

/** Builds the settings of a gateway, in the format of DEPLOY.md. */
function buildSettings({ block, count, storePort, bounds }, index, bootstrap) {
  const ip = `${block}.${10 + index}`;
  const listen = Object.entries(PORTS).map(([name, port]) => [name, `${ip}:${port}`]);
  const seeds = Array.from({ length: Math.min(count, 3) }, (_, at) => `${block}.${10 + at}:8229`);
  return {
    nodeName: `edge-${index}`,
    role: 'gateway',
    machineClass: 'edge',
    serves: ['edge', 'control'],
    ip,
    zone: `zone-${index}`,
    region: 'region',
    zones: { 'zone-0': 'region', 'zone-1': 'region', 'zone-2': 'region', 'zone-3': 'region' },
    listen: Object.fromEntries(listen),
    internalPorts: [7600, 7615],
    seeds,
    bootstrap,
    limits: { cpuShare: 0.513, cpuCores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000 },
    heartbeatMs: 1200,
    bounds: { ...BOUNDS, ...bounds },
    platform: { address: `127.0.0.1:${storePort}`, form: 'read', readsPerS: 2000, historyS: 20 },
  };
}

/** Starts one gateway. */
function startGateway(deployment, index, bootstrap) {
  const settings = buildSettings(deployment, index, bootstrap);
  const file = path.join(deployment.folder, `node-${index}.json`);
  const logFile = path.join(deployment.folder, `gateway-${index}.log`);
  fs.writeFileSync(file, JSON.stringify(settings));
  const log = fs.openSync(logFile, 'a');
  const child = childProcess.spawn(
    process.execPath,
    ['--expose-gc', '--max-old-space-size=160', 'target/gateway.mjs'],
    {
      cwd: ROOT,
      env: { PATH: process.env.PATH, TOUCANPROXY_SETTINGS: file, TOUCAN_METRICS_PORT: '9464' },
      stdio: ['ignore', log, log],
    },
  );
  fs.closeSync(log);
  const gateway = { index, ip: settings.ip, child, logFile, hasEnded: false };
  gateway.ended = new Promise((resolve) => {
    child.on('exit', (code, signal) => {
      gateway.hasEnded = true;
      resolve({ code, signal });
    });
  });
  deployment.children.add(child);
  return gateway;
}

/** Returns whether a gateway says that it is ready. */
function isReady({ ip }) {
  return new Promise((resolve) => {
    const options = { host: ip, port: PORTS.readiness, path: '/api/readyz', timeout: 500 };
    const request = http.get(options, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('error', () => resolve(false));
  });
}

/** Waits until gateways are ready; fails if they are not in time. */
export async function waitUntilReady(gateways, leftMs = READY_MS) {
  const ready = await Promise.all(gateways.map(isReady));
  if (ready.every(Boolean)) {
    return;
  }
  if (leftMs <= 0) {
    throw new Error('the gateways are not ready');
  }
  await wait(100);
  await waitUntilReady(gateways, leftMs - 100);
}

/** Starts a deployment of gateways, and waits until they are ready. */
export async function startDeployment({ count, storePort, bounds = {} }) {
  const deployment = {
    block: await findBlock(),
    count,
    storePort,
    bounds,
    folder: fs.mkdtempSync(path.join(os.tmpdir(), 'review-')),
    children: new Set(),
    gateways: [],
    /** Starts a gateway again after it has ended. */
    restart: (index) => {
      deployment.gateways[index] = startGateway(deployment, index, false);
      return deployment.gateways[index];
    },
    /** Ends all processes and removes the folder. */
    stop: () => {
      deployment.children.forEach((child) => child.kill('SIGKILL'));
      fs.rmSync(deployment.folder, { recursive: true, force: true });
    },
  };
  process.on('exit', deployment.stop);
  deployment.gateways = Array.from({ length: count }, (_, index) =>
    startGateway(deployment, index, true),
  );
  await waitUntilReady(deployment.gateways);
  return deployment;
}

/** Runs a case: it exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(runSteps) {
  ['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => process.exit(2)));
  setTimeout(() => process.exit(2), MAX_CASE_MS);
  try {
    process.exitCode = (await runSteps()) ? 1 : 0;
  } catch (error) {
    process.stderr.write(`${error.stack}\n`);
    process.exitCode = 2;
  }
  process.exit();
}
