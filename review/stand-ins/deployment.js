/**
 * A small deployment on loopback addresses: gateways and runners as separate processes, with the
 * store in this process. Everything that happens goes into the record.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as configuration from './configuration.js';
import * as storeStandIn from './store.js';

export const ROOT = url.fileURLToPath(new URL('../../', import.meta.url));
const RUNNER = url.fileURLToPath(new URL('./runner.js', import.meta.url));
/** Command of the deploy file. */
const GATEWAY = ['--max-old-space-size=160', 'target/gateway.mjs'];
const HEARTBEAT_MS = 1200;
/** Pause after which the platform starts a process again that has ended by itself. */
const RESTART_MS = 500;
const READY_TIMEOUT_MS = 20_000;
const LOST_HEARTBEATS = 3;
/** Bounds of `ql-lima`. */
const BOUNDS = {
  stabilityMs: 3000,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  strictRevocation: true,
  revokeMs: 5000,
  retryRatio: 0.2,
  retryWindowS: 10,
  retryExtra: 54,
  quotaWindowS: 8,
  quotaOverage: 0.25,
  quotaSlack: 140_000,
};

/** Waits for a time, milliseconds. */
export function waitMs(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Finds a free port on all loopback addresses that the deployment uses. */
function findPort(host = '127.0.0.1') {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.on('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Asks a gateway whether it is ready. */
async function isReady({ ip, readiness }) {
  const answer = await fetch(`http://${ip}:${readiness}/api/readyz`).catch(() => undefined);
  return answer?.status === 200;
}

/** Writes the settings file of a gateway, in the format of DEPLOY.md. */
function writeSettings(deployment, gateway, count) {
  const { folder, internalPort, store } = deployment;
  const { name, ip, frontend, readiness } = gateway;
  const file = path.join(folder, `${name}.json`);
  const settings = {
    nodeName: name,
    role: 'gateway',
    machineClass: 'edge',
    serves: ['edge', 'control'],
    ip,
    zone: 'zone-1',
    region: 'region-1',
    zones: { 'zone-1': 'region-1' },
    listen: { frontend: `${ip}:${frontend}`, readiness: `${ip}:${readiness}` },
    internalPorts: [internalPort, internalPort + 1],
    seeds: Array.from({ length: Math.min(count, 3) }, (_, at) => `127.0.0.${at + 1}:1`),
    bootstrap: true,
    limits: { cpuShare: 1, cpuCores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000 },
    heartbeatMs: HEARTBEAT_MS,
    bounds: BOUNDS,
    platform: { address: `127.0.0.1:${store.port}`, form: 'read' },
  };
  fs.writeFileSync(file, JSON.stringify(settings));
  return file;
}

/** Starts the process of a gateway; one that ends by itself is started again, as DEPLOY.md says. */
function startProcess(deployment, gateway) {
  const file = path.join(deployment.folder, `${gateway.name}.log`);
  const log = fs.openSync(file, 'a');
  const child = childProcess.spawn(process.execPath, GATEWAY, {
    cwd: ROOT,
    env: {
      PATH: process.env.PATH,
      HOME: process.env.HOME,
      LANG: process.env.LANG,
      TOUCANPROXY_SETTINGS: gateway.settings,
      TOUCAN_METRICS_PORT: String(gateway.metrics),
    },
    stdio: ['ignore', log, log],
  });
  fs.closeSync(log);
  deployment.children.add(child);
  deployment.note({ kind: 'gateway-started', gateway: gateway.name });
  child.on('exit', (code, signal) => {
    deployment.children.delete(child);
    if (!deployment.isStopping) {
      const written = fs.readFileSync(file, 'utf8').trimEnd().split('\n').slice(-30);
      const error = written
        .filter((line) => !line.startsWith('{"name"'))
        .map((line) => line.replaceAll(ROOT, ''));
      deployment.note({ kind: 'gateway-ended', gateway: gateway.name, code, signal, error });
      setTimeout(() => {
        if (!deployment.isStopping) {
          startProcess(deployment, gateway);
        }
      }, RESTART_MS);
    }
  });
}

/** Starts a gateway as the deploy file says. */
async function startGateway(deployment, index, count) {
  const ip = `127.0.0.${index + 1}`;
  const ports = await Promise.all([findPort(ip), findPort(ip), findPort(ip)]);
  const [frontend, readiness, metrics] = ports;
  const gateway = { name: `edge-${index + 1}`, ip, frontend, readiness, metrics };
  gateway.settings = writeSettings(deployment, gateway, count);
  startProcess(deployment, gateway);
  return gateway;
}

/** Writes the entry of a runner, as the runner itself would. */
function writeEntry({ store }, runner, changes = {}) {
  runner.sequence += 1;
  Object.assign(runner.entry, changes);
  store.put(`servers/${runner.id}`, { ...runner.entry, sequence: runner.sequence });
}

/** Handles a line that a runner has printed. */
function handleLine(deployment, runner, line) {
  const fields = JSON.parse(line);
  deployment.note(fields);
  if (fields.kind === 'held') {
    runner.resolveStarted();
  } else if (fields.kind === 'started') {
    runner.entry.born = fields.bornMs;
    runner.expiry = setTimeout(() => {
      writeEntry(deployment, runner);
      deployment.note({ kind: 'entry-written', runner: runner.id });
      runner.heartbeat = setInterval(() => writeEntry(deployment, runner), HEARTBEAT_MS);
    }, runner.firstEntryMs);
    runner.resolveStarted();
  }
}

/** Starts a runner process; resolves once it serves, or waits to be told to (`isHeld`). */
async function startRunner(deployment, id, options, port) {
  const usedPort = port ?? (await findPort());
  const { service = 'one', slots = 9, firstEntryMs = 0, ...rest } = options;
  const argument = JSON.stringify({ id, port: usedPort, ...rest });
  const child = childProcess.spawn(process.execPath, [RUNNER, argument], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const address = `127.0.0.1:${usedPort}`;
  const version = options.version ?? 'v1';
  const entry = { service, address, zone: 'zone-1', version, slots, state: 'ready' };
  const runner = { id, port: usedPort, child, sequence: 0, firstEntryMs };
  runner.entry = { ...entry, coldRemainingMs: 0 };
  deployment.children.add(child);
  const started = new Promise((resolve) => {
    runner.resolveStarted = resolve;
  });
  let text = '';
  child.stdout.on('data', (part) => {
    const lines = (text + part.toString()).split('\n');
    text = lines.pop();
    lines.forEach((line) => handleLine(deployment, runner, line));
  });
  child.on('exit', (code, signal) => {
    clearTimeout(runner.expiry);
    clearInterval(runner.heartbeat);
    deployment.note({ kind: 'runner-ended', runner: id, code, signal });
    runner.expiry = setTimeout(() => {
      deployment.store.remove(`servers/${id}`);
      deployment.note({ kind: 'entry-removed', runner: id });
    }, LOST_HEARTBEATS * HEARTBEAT_MS);
  });
  await started;
  return runner;
}

/** Waits until all gateways are ready. */
async function waitUntilReady(deployment) {
  const endMs = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < endMs) {
    const ready = await Promise.all(deployment.gateways.map(isReady));
    if (ready.every(Boolean)) {
      return;
    }
    await waitMs(50);
  }
  throw new Error('the gateways did not become ready');
}

/** Opens the record of a case; its lines are JSON with the time since the start. */
function openRecord(file) {
  const startMs = Date.now();
  const lines = [];
  return {
    note: (fields) => lines.push({ ms: Date.now() - startMs, ...fields }),
    lines,
    write: () => fs.writeFileSync(file, lines.map((line) => `${JSON.stringify(line)}\n`).join('')),
  };
}

/** Starts the store and a number of gateways; `runners` are started with `startRunner`. */
async function startDeployment({ recordFile, gateways: count, routes }) {
  const record = openRecord(recordFile);
  const deployment = {
    folder: fs.mkdtempSync(path.join(os.tmpdir(), 'review-')),
    internalPort: await findPort(),
    store: await storeStandIn.startStore(),
    gateways: [],
    children: new Set(),
    isStopping: false,
    note: record.note,
    lines: record.lines,
  };
  deployment.store.put('op/config', configuration.buildConfiguration(routes));
  deployment.startRunner = (id, options, port) => startRunner(deployment, id, options, port);
  deployment.writeEntry = (runner, changes) => writeEntry(deployment, runner, changes);
  deployment.startGateways = async () => {
    deployment.gateways = await Promise.all(
      Array.from({ length: count }, (_, index) => startGateway(deployment, index, count)),
    );
    await waitUntilReady(deployment);
  };
  deployment.stop = async () => {
    deployment.isStopping = true;
    deployment.children.forEach((child) => child.kill('SIGKILL'));
    await waitMs(200);
    deployment.store.stop();
    record.write();
    if (process.env.KEEP_LOGS === undefined) {
      fs.rmSync(deployment.folder, { recursive: true });
    }
  };
  return deployment;
}

/**
 * Runs a case and exits: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 * `runPlay` gets the deployment and whether the disruption is on, and resolves to what breaks the
 * rule.
 */
export async function runCase({ runPlay, ...options }) {
  const hasTrouble = process.env.TROUBLE !== '0';
  let code = 2;
  let deployment;
  ['SIGINT', 'SIGTERM'].forEach((signal) =>
    process.on(signal, async () => {
      await deployment?.stop();
      process.exit(2);
    }),
  );
  try {
    deployment = await startDeployment(options);
    deployment.note({ kind: 'begin', hasTrouble });
    const breaches = await runPlay(deployment, hasTrouble);
    code = breaches.length > 0 ? 1 : 0;
    deployment.note({ kind: 'end', hasTrouble, code, breaches });
    process.stdout.write(`trouble ${hasTrouble ? 'on' : 'off'}: ${breaches.length} breaches\n`);
    breaches.slice(0, 5).forEach((breach) => process.stdout.write(`${JSON.stringify(breach)}\n`));
  } catch (error) {
    process.stderr.write(`the case could not run: ${error.stack}\n`);
  } finally {
    await deployment?.stop();
  }
  process.exit(code);
}
