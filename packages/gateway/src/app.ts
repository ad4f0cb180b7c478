/** Starts a gateway: its tasks, and what passes between them. */
import * as crypto from 'node:crypto';
import * as gateway from '@toucanproxy/core/gateway';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';
import * as backendConnections from './backend-connections.js';
import * as callerServer from './caller-server.js';
import * as clocks from './clocks.js';
import * as decisionLog from './decision-log.js';
import * as gatewayMetrics from './gateway-metrics.js';
import type * as gatewaySettings from './gateway-settings.js';
import * as gatewayTask from './gateway-task.js';
import * as peerTask from './peer-task.js';
import * as shutdown from './shutdown.js';
import * as status from './status.js';
import type * as storeCodec from './store-codec.js';
import * as storeFollower from './store-follower.js';
import type * as storeReader from './store-reader.js';
import type * as unknownNames from './unknown-names.js';
import type * as wireProtocol from './wire-protocol.js';

export type GatewayDaemon = {
  callerPort: number;
  operatorPort: number;
  countBackendServers: () => number;
  /** Takes changed bounds into force; addresses stay as they were at the start. */
  reload: (settings: gatewaySettings.GatewaySettings) => void;
  shutDown: () => void;
  stop: () => void;
};

export type GatewayOptions = {
  settings: gatewaySettings.GatewaySettings;
  protocol: wireProtocol.WireProtocol;
  codec: storeCodec.StoreCodec;
  /** Called once after a graceful shutdown. */
  stopped: () => void;
};

/** Longest wait for the store at the start, milliseconds: two tries of its reader. */
const FIRST_READ_MS = 2000;
/** Bytes of a life's random name. */
const LIFE_BYTES = 4;
/**
 * Part of the revocation bound for which an answer of the store holds. The rest,
 * 1.3 s of 5, covers watches that hear nothing for a second before the store
 * drops its history, and a request on its way.
 */
const LEASE_SHARE = 0.74;
/**
 * Part of the tolerance of quotas that is given out. The rest covers what gateways
 * admit before they hear of each other, five times a second.
 */
const TOLERANCE_SHARE = 0.7;
/** Living backend servers are back in the store this long after its return, ms. */
const ENTRY_RETURN_MS = 2300;
/**
 * Part of the declared retry ratio that is used. The budget is kept over a
 * fading window, the rule over a sliding one; the difference is below a fifth.
 */
const RETRY_USED_SHARE = 0.8;
const PERCENT = 100;

/** Builds the bounds that the core decides by. */
function buildBounds(settings: gatewaySettings.GatewaySettings): gateway.GatewayBounds {
  const { revocationMs, quotaTolerance, retryRatio, retryExtra, warmUpTolerance } = settings;
  return {
    leaseMs: revocationMs === undefined ? Infinity : revocationMs * LEASE_SHARE,
    entryReturnMs: ENTRY_RETURN_MS,
    quotaTolerance: {
      overage: quotaTolerance.overage * TOLERANCE_SHARE,
      slack: quotaTolerance.slack * TOLERANCE_SHARE,
      windowMs: quotaTolerance.windowMs,
    },
    retryPercent: retryRatio * RETRY_USED_SHARE * PERCENT,
    retryExtra: retryExtra * RETRY_USED_SHARE,
    warmUpTolerance,
  };
}

/** Tells whether the balancer may send callers here. */
function isReady(state: gateway.GatewayState, readClocks: clocks.ReadClocks): boolean {
  const { index, bounds, lease: belief } = state;
  const standing = gateway.getLeaseStatus(
    belief,
    index !== undefined,
    bounds.leaseMs,
    readClocks(),
  );
  return state.shutdownMs === 0 && standing === gateway.LeaseStatus.CONFIRMED;
}

/** Starts the servers for operators: one for the balancer, one for metrics. */
function startOperators(
  { settings }: GatewayOptions,
  { state, readClocks, metrics, storeLink, unknown }: ReturnType<typeof createParts>,
): Promise<runtime.OperatorServer[]> {
  const addresses = [settings.operators, settings.metrics].filter((one) => one !== undefined);
  return Promise.all(
    addresses.map((address) =>
      runtime.startOperatorServer({
        ...address,
        renderMetrics: metrics.render,
        describeStatus: () => status.describeStatus(state, storeLink, unknown, readClocks()),
        isReady: () => isReady(state, readClocks),
        readinessPath: settings.readinessPath,
      }),
    ),
  );
}

/** Creates the server for callers; it does not listen yet. */
function createCallers(
  { settings }: GatewayOptions,
  { log, metrics }: ReturnType<typeof createParts>,
  task: gatewayTask.GatewayTask,
): callerServer.CallerServer {
  return callerServer.createCallerServer({
    listen: settings.callers,
    receive: task.receive,
    reportRefusal: (code) => {
      log.write('refused', { result: schema.ResultCode[code] }, clocks.readSteadyMs());
      metrics.recordEnd('', '', code, false);
    },
  });
}

/**
 * Waits for what a gateway needs to serve.
 *
 * After all gateways were killed their callers return at once. Served before the
 * configuration is known, they would be refused and return late. Bounded, as a
 * store that is away may be so for long, and public routes need no lease.
 */
async function waitForFirst({ first }: storeReader.StoreReader): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, FIRST_READ_MS);
  });
  await Promise.race([first, timeout]);
  clearTimeout(timer);
}

/** Creates what the tasks of a gateway share. */
function createParts({ settings, protocol }: GatewayOptions, life: string) {
  const logger = runtime.createLogger('toucanproxy-gateway', { gateway: settings.name, life });
  const { peerListen, failureDomain, processorPercent, peerSeeds, domainRegions } = settings;
  const address = `${peerListen.host}:${peerListen.port}`;
  const seeds = peerSeeds.filter((seed) => seed !== address);
  const regionByDomain = new Map(Object.entries(domainRegions));
  const state = gateway.createGatewayState(
    { address, life, failureDomain, processorPercent, seeds, regionByDomain },
    buildBounds(settings),
    Math.random,
    clocks.readSteadyMs(),
  );
  return {
    state,
    protocol,
    connections: backendConnections.createBackendConnections(),
    readClocks: clocks.createClockReader(),
    log: decisionLog.createDecisionLog(logger),
    storeLink: { isLost: false },
    unknown: new Map() as unknownNames.UnknownNames,
    metrics: gatewayMetrics.createGatewayMetrics(state, clocks.readSteadyMs),
  };
}

/** Starts a gateway. */
export async function startGateway(options: GatewayOptions): Promise<GatewayDaemon> {
  const { settings, codec } = options;
  const life = crypto.randomBytes(LIFE_BYTES).toString('hex');
  const parts = createParts(options, life);
  const { state, connections, log } = parts;
  const reportProblem = (reason: string) =>
    log.write('peer-problem', { reason }, clocks.readSteadyMs());
  const peers = peerTask.startPeerTask({
    listen: settings.peerListen,
    seeds: settings.peerSeeds,
    state,
    readNow: clocks.readSteadyMs,
    reportProblem,
  });
  const task = gatewayTask.createGatewayTask({ ...parts, sendToPeers: peers.send });
  peers.passTo(task);
  const operators = await startOperators(options, parts);
  const callers = createCallers(options, parts, task);
  const follower = storeFollower.startStoreFollower({
    ...parts,
    settings,
    codec,
    callers,
    assign: task.assign,
  });
  task.start();
  await waitForFirst(follower);
  const callerPort = await callers.listen();
  log.writeAlways('started', { settings });
  return {
    callerPort,
    operatorPort: operators[0].port,
    countBackendServers: () => state.servers.byId.size,
    reload: (changed) => {
      state.bounds = buildBounds(changed);
      log.writeAlways('reload', { settings: changed });
    },
    shutDown: () => shutdown.beginShutdown({ state, callers, task, peers, log, ...options }),
    stop: () =>
      [follower, task, peers, callers, ...operators, connections].forEach((part) => part.stop()),
  };
}
