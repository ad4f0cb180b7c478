/** Starts the project's gateway and the stand-ins of runners as processes of their own. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

const ROOT = url.fileURLToPath(new URL('../../', import.meta.url));
/** As the deploy file starts its role. */
const GATEWAY_COMMAND = ['--expose-gc', '--max-old-space-size=160', 'target/gateway.mjs'];
/** As the sheet of ql-lima states them. */
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
  quotaSlack: 140000,
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

/** Finds a port that is free at an address. */
export function findPort(host) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.on('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Fetches the status of a gateway's readiness; 0 if it does not answer. */
export function fetchReadiness({ host, readinessPort }) {
  return new Promise((resolve) => {
    const call = http.get(
      { host, port: readinessPort, path: '/api/readyz', timeout: 1000, agent: false },
      (response) => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(0));
  });
}

/** Waits until a gateway is ready; throws if it does not become so in 15 s. */
export async function waitUntilReady(gateway) {
  const endMs = Date.now() + 15_000;
  while ((await fetchReadiness(gateway)) !== 200) {
    if (Date.now() > endMs) {
      throw new Error('the gateway does not become ready');
    }
    await wait(20);
  }
}

/**
 * Plans gateways on addresses of their own.
 *
 * @param folder where their settings are written
 */
export async function createGateways(folder, count, storePort) {
  const hosts = Array.from({ length: count }, (_, at) => `127.0.0.${at + 2}`);
  const internalPort = await findPort(hosts[0]);
  const controlPort = await findPort(hosts[0]);
  return Promise.all(
    hosts.map(async (host, at) => {
      const frontendPort = await findPort(host);
      const readinessPort = await findPort(host);
      const metricsPort = await findPort(host);
      const settings = {
        nodeName: `edge-${at + 1}`,
        role: 'gateway',
        machineClass: 'edge',
        serves: ['edge', 'control'],
        ip: host,
        zone: 'rimac',
        region: 'lima',
        zones: { rimac: 'lima' },
        listen: {
          frontend: `${host}:${frontendPort}`,
          readiness: `${host}:${readinessPort}`,
          controlPlane: `${host}:${controlPort}`,
        },
        internalPorts: [internalPort, internalPort + 1],
        seeds: hosts.map((one) => `${one}:${controlPort}`),
        bootstrap: true,
        countsAsLoss: false,
        limits: {
          cpuShare: 0.513,
          cpuCores: 1,
          memoryMb: 350,
          maxFds: 4100,
          linkMbps: 1000,
          diskMb: 0,
        },
        dataDir: null,
        discovery: 'platform',
        entry: 'vip',
        heartbeatMs: 1200,
        contracts: ['base', 'drain', 'config', 'retry', 'recover', 'tenants', 'platform'],
        faultTolerance: { machines: count, zones: 0, regions: 0 },
        bounds: BOUNDS,
        platform: {
          address: `127.0.0.1:${storePort}`,
          form: 'read',
          readsPerS: 2000,
          historyS: 20,
          valueBytes: 1048576,
          minTtlMs: 1000,
        },
      };
      const file = path.join(folder, `node-${at + 1}.json`);
      const name = settings.nodeName;
      return { name, host, frontendPort, readinessPort, metricsPort, settings, file };
    }),
  );
}

/** Starts the program of a planned gateway; a later start is none of the whole system. */
export function startGateway(gateway, isFirst = true) {
  fs.writeFileSync(gateway.file, JSON.stringify({ ...gateway.settings, bootstrap: isFirst }));
  const log = fs.openSync(`${gateway.file}.log`, 'a');
  gateway.child = childProcess.spawn(process.execPath, GATEWAY_COMMAND, {
    cwd: ROOT,
    env: {
      PATH: process.env.PATH,
      HOME: process.env.HOME,
      TOUCANPROXY_SETTINGS: gateway.file,
      TOUCAN_METRICS_PORT: String(gateway.metricsPort),
    },
    stdio: ['ignore', log, log],
  });
  fs.closeSync(log);
  return gateway;
}

/** Kills a process and waits for its end. */
export function endProcess(child) {
  return new Promise((resolve) => {
    if (child.exitCode !== null || child.signalCode !== null) {
      resolve();
      return;
    }
    child.once('exit', resolve);
    child.kill('SIGKILL');
  });
}

/**
 * Starts a runner.
 *
 * @param note called with what it reports
 * @param program its file in this folder
 */
export function startRunner(options, note, program = 'runner-main.js') {
  const file = url.fileURLToPath(new URL(program, import.meta.url));
  const child = childProcess.fork(file, [JSON.stringify(options)]);
  return new Promise((resolve) => {
    child.on('message', (message) => {
      note(message);
      if (message.event === 'started') {
        resolve({ ...options, child, port: message.port, bornMs: message.bornMs });
      }
    });
  });
}

/** Builds the entry of a runner in the store. */
export function buildEntry({ service, port, bornMs, weights = 1 }, state = 'ready') {
  return {
    service,
    address: `127.0.0.1:${port}`,
    zone: 'rimac',
    version: '1',
    slots: 6,
    state,
    coldRemainingMs: 0,
    sequence: 1,
    born: bornMs,
    stage: 'both',
    models: [{ name: 'm', version: weights, adapters: [] }],
  };
}

/** Creates a temporary folder. */
export function createFolder() {
  return fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
}
