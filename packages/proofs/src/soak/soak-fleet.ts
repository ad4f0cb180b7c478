/**
 * Fleet of the soak test: real gateway processes, with a stand-in store, stand-in backend
 * servers and links that faults can disturb.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import * as freePort from '@toucanproxy/platform/mocks/free-port';
import * as platformFixtures from '@toucanproxy/platform/mocks/platform-fixtures';
import * as storeStandIn from '@toucanproxy/platform/mocks/store-stand-in';
import * as forwarder from '../mocks/forwarder.js';
import type * as randomSource from '../mocks/random-source.js';
import * as soakCall from './soak-call.js';
import * as soakPorts from './soak-ports.js';
import * as soakRecords from './soak-records.js';
import * as soakServer from './soak-server.js';

/** A gateway process with its links from callers and to the store. */
export type SoakGateway = {
  index: number;
  settingsFile: string;
  logFile: string;
  child: childProcess.ChildProcess | undefined;
  /** A fault or the end of the run is stopping the process, so that its exit is expected. */
  isStopping: boolean;
  callers: forwarder.Forwarder;
  store: forwarder.Forwarder;
  /** Port on which the process itself accepts callers. */
  port: number;
  /** Address at which other gateways reach the process. */
  peerAddress: string;
};

export type SoakBackend = {
  server: soakServer.SoakServer;
  link: forwarder.Forwarder;
  /** Number of incarnations, and the start of the latest, milliseconds since the Unix epoch. */
  incarnations: number;
  bornMs: number;
  failureDomain: string;
  /** Software version; kept when the server restarts under its id. */
  version: string;
};

export type SoakFleet = {
  folder: string;
  draw: randomSource.DrawRandom;
  readNow: () => number;
  records: soakRecords.SoakRecords;
  store: storeStandIn.StoreStandIn;
  gateways: SoakGateway[];
  backends: SoakBackend[];
  version: number;
  probes: number;
  /** Valid API keys and the workspaces they belong to. */
  credentials: { credential: string; workspace: string }[];
  /** Time that a gateway has for a graceful shutdown, milliseconds. */
  graceMs: number;
  /** Timeout and target of the routes, milliseconds. */
  routeTimes: { timeoutMs: number; targetMs: number };
  /** Planned stops are played beside the faults. */
  hasStops: boolean;
};

/** What the processes of a fleet are, and the times that they are configured with. */
export type FleetSizes = {
  gateways: number;
  backends: number;
  graceMs: number;
  routeTimes: { timeoutMs: number; targetMs: number };
  hasStops: boolean;
};

export const REVOCATION_MS = 2000;
/** An evacuated failure domain gets no new requests after this time, milliseconds. */
export const EVACUATION_MS = 2500;
export const RETRY_RATIO = 0.2;
export const RETRY_EXTRA = 30;
/** Deadline of a probe call, and the pause before the next, milliseconds. */
const PROBE_MS = 2000;
const PROBE_PAUSE_MS = 100;
/** A gateway must serve within this time once nothing disturbs it, milliseconds. */
const RECOVER_MS = 30_000;
const STARTED_AT_ONCE = 3;
const PROGRAM = url
  .fileURLToPath(import.meta.resolve('@toucanproxy/platform'))
  .replace(/index\.js$/, 'main.js');

/** Last octet of the first gateway's loopback address. */
const FIRST_PEER_HOST = 11;

/** Number of failure domains; backend servers are assigned to them round-robin. */
export const DOMAINS = 2;
/** Software versions of the backend servers, assigned in the same way. */
const VERSIONS = 2;

/** Returns the name of the failure domain with this index. */
export function formatDomain(index: number): string {
  return `zone-${index + 1}`;
}

/** Returns the name of a software version; there are two. */
export function formatVersion(index: number): string {
  return `v${1 + (index % VERSIONS)}`;
}

/** Writes the next version of the configuration to the store, with further routes that nobody uses. */
export function publishConfiguration(fleet: SoakFleet, furtherRoutes = 0): void {
  fleet.version += 1;
  const { store, version, credentials, routeTimes } = fleet;
  platformFixtures.writeCredentials(store, version, credentials, routeTimes, furtherRoutes);
}

/** Writes the store entry of a backend server. */
export function publishBackend(
  fleet: SoakFleet,
  backend: SoakBackend,
  state: platformFixtures.BackendServerSpec['state'] = 'ready',
): void {
  platformFixtures.writeServer(fleet.store, {
    id: backend.server.id,
    address: `127.0.0.1:${backend.link.port}`,
    slots: soakServer.SLOTS,
    state,
    bornMs: backend.bornMs,
    failureDomain: backend.failureDomain,
    version: backend.version,
  });
}

/** Starts a gateway's process. */
export function startGateway(fleet: SoakFleet, gateway: SoakGateway): void {
  const log = fs.openSync(gateway.logFile, 'a');
  const child = childProcess.spawn(process.execPath, [PROGRAM], {
    env: { ...process.env, TOUCANPROXY_SETTINGS: gateway.settingsFile },
    stdio: ['ignore', log, log],
  });
  fs.closeSync(log);
  gateway.child = child;
  gateway.isStopping = false;
  child.on('exit', (code) => {
    if (gateway.child === child && !gateway.isStopping) {
      fleet.records.unexpectedExits.push({ gateway: gateway.index, atMs: fleet.readNow(), code });
    }
  });
}

/** Addresses at which gateways reach each other, all on the same port. */
type PeerPlan = { addresses: string[]; port: number };

/** Builds the loopback address at which a gateway's peers reach it. */
function buildPeerAddress(index: number): string {
  return `127.0.0.${FIRST_PEER_HOST + index}`;
}

/** Prepares a gateway's ports, links and settings; doesn't start its process. */
async function addGateway(fleet: SoakFleet, index: number, peers: PeerPlan): Promise<void> {
  const [frontend, readiness] = [await freePort.findPort(), await freePort.findPort()];
  const store = await forwarder.startForwarder(fleet.store.port);
  const callers = await forwarder.startForwarder(frontend);
  const settingsFile = path.join(fleet.folder, `gateway-${index}.json`);
  const settings = platformFixtures.buildSettings({
    name: `edge-${index}`,
    storePort: store.port,
    callers: `127.0.0.1:${frontend}`,
    readiness: `127.0.0.1:${readiness}`,
    peerAddress: peers.addresses[index],
    peerAddresses: peers.addresses,
    peerPort: peers.port,
    graceS: fleet.graceMs / 1000,
    revocationMs: REVOCATION_MS,
    evacuationMs: EVACUATION_MS,
    retryRatio: RETRY_RATIO,
    retryExtra: RETRY_EXTRA,
  });
  fs.writeFileSync(settingsFile, settings);
  const logFile = path.join(fleet.folder, `gateway-${index}.log`);
  const peerAddress = `${peers.addresses[index]}:${peers.port}`;
  const parts = {
    child: undefined,
    isStopping: false,
    callers,
    store,
    port: frontend,
    peerAddress,
  };
  fleet.gateways.push({ index, settingsFile, logFile, ...parts });
}

/** Starts a backend server and the link to it. */
async function addBackend(fleet: SoakFleet, index: number): Promise<void> {
  const { draw, records, readNow } = fleet;
  const failureDomain = formatDomain(index % DOMAINS);
  const id = `server-${index}`;
  const version = formatVersion(index);
  const server = await soakServer.startSoakServer(
    id,
    version,
    failureDomain,
    draw,
    records,
    readNow,
  );
  const link = await forwarder.startForwarder(server.port);
  const bornMs = Date.now();
  server.setBornMs(bornMs);
  fleet.backends.push({ server, link, incarnations: 1, bornMs, failureDomain, version });
}

/** Sends a probe call through a gateway; true if it succeeds. */
async function testService(fleet: SoakFleet, { index, callers }: SoakGateway): Promise<boolean> {
  fleet.probes += 1;
  const call = {
    id: `probe-${fleet.probes}`,
    kind: soakRecords.CallKind.SAFE,
    path: `/safe/probe-${fleet.probes}`,
    body: '',
    ...fleet.credentials[0],
    gateway: index,
    deadlineMs: PROBE_MS,
  };
  const { response } = await soakCall.makeCall(fleet, call, callers.port, undefined);
  return response?.status === 200;
}

/** Waits until a gateway serves; false if it doesn't within the time. */
export async function waitForGateway(
  fleet: SoakFleet,
  gateway: SoakGateway,
  withinMs = RECOVER_MS,
): Promise<boolean> {
  const endMs = fleet.readNow() + withinMs;
  let serving = await testService(fleet, gateway);
  while (!serving && fleet.readNow() < endMs) {
    await timers.setTimeout(PROBE_PAUSE_MS);
    serving = await testService(fleet, gateway);
  }
  return serving;
}

/** Waits until all gateways serve; false if one of them doesn't in time. */
export async function waitForService(fleet: SoakFleet): Promise<boolean> {
  const serving = await Promise.all(
    fleet.gateways.map((gateway) => waitForGateway(fleet, gateway)),
  );
  return serving.every(Boolean);
}

/** Starts all gateways, a few at a time: more of them would take all processors of the machine. */
async function startGateways(fleet: SoakFleet): Promise<void> {
  for (let first = 0; first < fleet.gateways.length; first += STARTED_AT_ONCE) {
    const some = fleet.gateways.slice(first, first + STARTED_AT_ONCE);
    some.forEach((gateway) => startGateway(fleet, gateway));
    if (first + STARTED_AT_ONCE < fleet.gateways.length) {
      await Promise.all(some.map(({ port }) => soakPorts.waitUntilAccepting(port, RECOVER_MS)));
    }
  }
}

/** Starts the store, the backend servers and the gateways. */
export async function startFleet(
  draw: randomSource.DrawRandom,
  sizes: FleetSizes,
): Promise<SoakFleet> {
  const beganMs = performance.now();
  const fleet: SoakFleet = {
    folder: fs.mkdtempSync(path.join(os.tmpdir(), 'soak-')),
    draw,
    readNow: () => performance.now() - beganMs,
    records: soakRecords.createRecords(),
    store: await storeStandIn.startStoreStandIn(),
    gateways: [],
    backends: [],
    version: 0,
    probes: 0,
    graceMs: sizes.graceMs,
    routeTimes: sizes.routeTimes,
    hasStops: sizes.hasStops,
    credentials: ['a', 'b'].flatMap((name) => [
      { credential: `key-${name}-1`, workspace: `workspace-${name}` },
      { credential: `key-${name}-2`, workspace: `workspace-${name}` },
    ]),
  };
  publishConfiguration(fleet);
  await Promise.all(Array.from({ length: sizes.backends }, (_, index) => addBackend(fleet, index)));
  fleet.backends.forEach((backend) => publishBackend(fleet, backend));
  const addresses = Array.from({ length: sizes.gateways }, (_, index) => buildPeerAddress(index));
  const peers = { addresses, port: await freePort.findPort() };
  await Promise.all(addresses.map((_, index) => addGateway(fleet, index, peers)));
  await startGateways(fleet);
  return fleet;
}

/**
 * Ends this process without the cleanup of its handles, in which Node.js may spin for ever after
 * the links have reset many sockets.
 */
export function dropCleanup(): void {
  process.on('exit', (code) => process.exit(code));
}

/** Stops everything that a fleet started. */
export function stopFleet(fleet: SoakFleet): void {
  fleet.gateways.forEach((gateway) => {
    gateway.isStopping = true;
    gateway.child?.kill('SIGKILL');
    gateway.callers.stop();
    gateway.store.stop();
  });
  fleet.backends.forEach(({ server, link }) => {
    server.stop();
    link.stop();
  });
  fleet.store.stop();
}
