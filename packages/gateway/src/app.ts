/** Starts a gateway: its tasks, and what passes between them. */
import * as crypto from 'node:crypto';
import * as gateway from '@toucanproxy/core/gateway';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';
import * as backendConnections from './backend-connections.js';
import * as callerServer from './caller-server.js';
import * as clocks from './clocks.js';
import * as configurationReader from './configuration-reader.js';
import * as decisionLog from './decision-log.js';
import * as gatewayMetrics from './gateway-metrics.js';
import type * as gatewaySettings from './gateway-settings.js';
import * as gatewayTask from './gateway-task.js';
import * as peerTask from './peer-task.js';
import * as serverReader from './server-reader.js';
import * as shutdown from './shutdown.js';
import * as status from './status.js';
import type * as storeCodec from './store-codec.js';
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

/** Bytes of a life's random name. */
const LIFE_BYTES = 4;
/**
 * Part of the revocation bound for which an answer of the store holds. The rest
 * covers a store that tells of a change up to a second late.
 */
const LEASE_SHARE = 0.6;
/**
 * Part of the tolerance of quotas that is given out. The rest covers what gateways
 * admit before they hear of each other.
 */
const TOLERANCE_SHARE = 0.5;
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
  const { revocationMs, quotaTolerance, retryRatio, retryExtra } = settings;
  return {
    leaseMs: revocationMs === undefined ? Infinity : revocationMs * LEASE_SHARE,
    entryReturnMs: ENTRY_RETURN_MS,
    quotaTolerance: {
      overage: quotaTolerance.overage * TOLERANCE_SHARE,
      slack: quotaTolerance.slack * TOLERANCE_SHARE,
    },
    retryPercent: retryRatio * RETRY_USED_SHARE * PERCENT,
    retryExtra: retryExtra * RETRY_USED_SHARE,
  };
}

/** Tells whether the balancer may send callers here. */
function isReady(state: gateway.GatewayState, readClocks: clocks.ReadClocks): boolean {
  const { index, bounds, belief } = state;
  const standing = gateway.getStanding(belief, index !== undefined, bounds.leaseMs, readClocks());
  return state.shutdownMs === 0 && standing === gateway.Standing.CONFIRMED;
}

/** Starts the servers that others call. */
async function startServers(
  { settings }: GatewayOptions,
  { state, readClocks, log, metrics, storeLost }: ReturnType<typeof createParts>,
  task: gatewayTask.GatewayTask,
): Promise<{ callers: callerServer.CallerServer; operators: runtime.OperatorServer }> {
  const callers = await callerServer.startCallerServer({
    listen: settings.callers,
    receive: task.receive,
    reportRefusal: (code) => {
      log.write('refused', { result: schema.ResultCode[code] }, clocks.readSteadyMs());
      metrics.recordEnd('', '', code, false);
    },
  });
  const operators = await runtime.startOperatorServer({
    ...settings.operators,
    renderMetrics: metrics.render,
    describeStatus: () => status.describeStatus(state, storeLost, readClocks()),
    isReady: () => isReady(state, readClocks),
    readinessPath: settings.readinessPath,
  });
  return { callers, operators };
}

/** Creates what the tasks of a gateway share. */
function createParts({ settings, protocol }: GatewayOptions, life: string) {
  const logger = runtime.createLogger('toucanproxy-gateway', { gateway: settings.name, life });
  const state = gateway.createGatewayState(
    `${settings.peerListen.host}:${settings.peerListen.port}`,
    settings.failureDomain,
    buildBounds(settings),
    Math.random,
  );
  return {
    state,
    protocol,
    connections: backendConnections.createBackendConnections(),
    readClocks: clocks.createClockReader(),
    log: decisionLog.createDecisionLog(logger),
    storeLost: new Set<string>(),
    metrics: gatewayMetrics.createGatewayMetrics(state),
  };
}

/** Starts a gateway. */
export async function startGateway(options: GatewayOptions): Promise<GatewayDaemon> {
  const { settings, codec } = options;
  const life = crypto.randomBytes(LIFE_BYTES).toString('hex');
  const parts = createParts(options, life);
  const { state, connections, log } = parts;
  const task = gatewayTask.createGatewayTask(parts);
  const { callers, operators } = await startServers(options, parts, task);
  const readerParts = { ...parts, settings, codec, assign: task.assign };
  const readers = [
    configurationReader.startConfigurationReader({ ...readerParts, callers }),
    serverReader.startServerReader(readerParts),
  ];
  const peers = peerTask.startPeerTask({
    listen: settings.peerListen,
    seeds: settings.peerSeeds,
    life,
    state,
    readNow: clocks.readSteadyMs,
    reportProblem: (reason) => log.write('peer-problem', { reason }, clocks.readSteadyMs()),
  });
  task.start();
  log.writeAlways('started', { ...settings });
  return {
    callerPort: callers.port,
    operatorPort: operators.port,
    countBackendServers: () => state.servers.byId.size,
    reload: (changed) => {
      state.bounds = buildBounds(changed);
      log.writeAlways('reload', { ...changed });
    },
    shutDown: () => shutdown.beginShutdown({ state, callers, task, peers, log, ...options }),
    stop: () =>
      [...readers, task, peers, callers, operators, connections].forEach((part) => part.stop()),
  };
}
