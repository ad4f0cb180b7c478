/** Real gateways as processes, with a store, backend servers and links that can be spoilt. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import * as freePort from '@toucanproxy/platform/mocks/free-port';
import * as standInWire from '@toucanproxy/platform/mocks/platform-fixtures';
import * as storeStandIn from '@toucanproxy/platform/mocks/store-stand-in';
import * as forwarder from '../mocks/forwarder.js';
import type * as randomSource from '../mocks/random-source.js';
import * as soakCall from './soak-call.js';
import * as soakRecords from './soak-records.js';
import * as soakServer from './soak-server.js';

/** One gateway: its process, and the links that callers and it use. */
export type SoakGateway = {
  index: number;
  settingsFile: string;
  logFile: string;
  child: childProcess.ChildProcess | undefined;
  /** Something is being done to it that ends it. */
  isEnding: boolean;
  callers: forwarder.Forwarder;
  store: forwarder.Forwarder;
};

export type SoakBackend = {
  server: soakServer.SoakServer;
  link: forwarder.Forwarder;
  /** Lives so far, and the start of the present one, milliseconds since the Unix epoch. */
  lives: number;
  bornMs: number;
  failureDomain: string;
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
  /** Keys in force, and the workspaces that hold them. */
  credentials: { credential: string; workspace: string }[];
};

export const REVOCATION_MS = 2000;
/** A failure domain that is evacuated gets nothing new after this time, milliseconds. */
export const EVACUATION_MS = 2500;
export const RETRY_RATIO = 0.2;
export const RETRY_EXTRA = 30;
/** Time that a gateway has for a graceful end, seconds. */
export const GRACE_S = 5;
/** Deadline of a call that asks whether a gateway serves, and the pause after it, ms. */
const PROBE_MS = 2000;
const PROBE_PAUSE_MS = 100;
/** Time in which a gateway serves at the latest, once nothing is done to it, ms. */
const RECOVER_MS = 30_000;
const PROGRAM = url
  .fileURLToPath(import.meta.resolve('@toucanproxy/platform'))
  .replace(/index\.js$/, 'main.js');

/** Last part of the loopback address of the first gateway. */
const FIRST_PEER_HOST = 11;

/** Failure domains over which the backend servers are spread in turn. */
export const DOMAINS = 2;

/** Names a failure domain by its number. */
export function formatDomain(index: number): string {
  return `zone-${index + 1}`;
}

/** Writes the next configuration. */
export function publishConfiguration(fleet: SoakFleet): void {
  fleet.version += 1;
  standInWire.writeCredentials(fleet.store, fleet.version, fleet.credentials);
}

/** Writes the entry of a backend server. */
export function publishBackend(
  fleet: SoakFleet,
  backend: SoakBackend,
  state: standInWire.BackendServerSpec['state'] = 'ready',
): void {
  standInWire.writeServer(fleet.store, {
    id: backend.server.id,
    address: `127.0.0.1:${backend.link.port}`,
    slots: soakServer.SLOTS,
    state,
    bornMs: backend.bornMs,
    failureDomain: backend.failureDomain,
  });
}

/** Starts the process of a gateway. */
export function startGateway(fleet: SoakFleet, gateway: SoakGateway): void {
  const log = fs.openSync(gateway.logFile, 'a');
  const child = childProcess.spawn(process.execPath, [PROGRAM], {
    env: { ...process.env, TOUCANPROXY_SETTINGS: gateway.settingsFile },
    stdio: ['ignore', log, log],
  });
  fs.closeSync(log);
  gateway.child = child;
  gateway.isEnding = false;
  child.on('exit', (code) => {
    if (gateway.child === child && !gateway.isEnding) {
      fleet.records.unexpectedEnds.push({ gateway: gateway.index, atMs: fleet.readNow(), code });
    }
  });
}

/** Where gateways reach each other: an address each, and one port for all. */
type PeerPlan = { addresses: string[]; port: number };

/** Builds the loopback address that a gateway is known by among its peers. */
function buildPeerAddress(index: number): string {
  return `127.0.0.${FIRST_PEER_HOST + index}`;
}

/** Prepares a gateway: its ports, links and settings. */
async function addGateway(fleet: SoakFleet, index: number, peers: PeerPlan): Promise<void> {
  const [frontend, readiness] = [await freePort.findPort(), await freePort.findPort()];
  const store = await forwarder.startForwarder(fleet.store.port);
  const callers = await forwarder.startForwarder(frontend);
  const settingsFile = path.join(fleet.folder, `gateway-${index}.json`);
  const settings = standInWire.buildSettings({
    name: `edge-${index}`,
    storePort: store.port,
    callers: `127.0.0.1:${frontend}`,
    readiness: `127.0.0.1:${readiness}`,
    peerAddress: peers.addresses[index],
    peerAddresses: peers.addresses,
    peerPort: peers.port,
    graceS: GRACE_S,
    revocationMs: REVOCATION_MS,
    evacuationMs: EVACUATION_MS,
    retryRatio: RETRY_RATIO,
    retryExtra: RETRY_EXTRA,
  });
  fs.writeFileSync(settingsFile, settings);
  const logFile = path.join(fleet.folder, `gateway-${index}.log`);
  const parts = { child: undefined, isEnding: false, callers, store };
  fleet.gateways.push({ index, settingsFile, logFile, ...parts });
}

/** Starts a backend server with its link. */
async function addBackend(fleet: SoakFleet, index: number): Promise<void> {
  const { draw, records, readNow } = fleet;
  const failureDomain = formatDomain(index % DOMAINS);
  const id = `server-${index}`;
  const server = await soakServer.startSoakServer(id, failureDomain, draw, records, readNow);
  const link = await forwarder.startForwarder(server.port);
  fleet.backends.push({ server, link, lives: 1, bornMs: Date.now(), failureDomain });
}

/** Asks a gateway for one answer; true where it serves. */
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
  const { answer } = await soakCall.makeCall(fleet, call, callers.port, undefined);
  return answer?.status === 200;
}

/** Waits until a gateway serves; false where it does not within the time. */
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

/** Waits until all gateways serve; false where one does not. */
export async function waitForService(fleet: SoakFleet): Promise<boolean> {
  const serving = await Promise.all(
    fleet.gateways.map((gateway) => waitForGateway(fleet, gateway)),
  );
  return serving.every(Boolean);
}

/** Starts a fleet. */
export async function startFleet(
  draw: randomSource.DrawRandom,
  sizes: { gateways: number; backends: number },
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
  fleet.gateways.forEach((gateway) => startGateway(fleet, gateway));
  return fleet;
}

/** Ends everything that a fleet started. */
export function stopFleet(fleet: SoakFleet): void {
  fleet.gateways.forEach((gateway) => {
    gateway.isEnding = true;
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
