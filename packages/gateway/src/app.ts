/** Starts a gateway: creates its tasks and connects them to each other. */
import * as crypto from 'node:crypto';
import * as gateway from '@toucanproxy/core/gateway';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';
import * as backendConnections from './backend-connections.js';
import * as bodyMemory from './body-memory.js';
import * as callerServer from './caller-server.js';
import * as clocks from './clocks.js';
import * as decisionLog from './decision-log.js';
import * as eventLoop from './event-loop.js';
import * as failureGuard from './failure-guard.js';
import * as domainTraffic from './domain-traffic.js';
import * as gatewayMetrics from './gateway-metrics.js';
import type * as gatewaySettings from './gateway-settings.js';
import * as gatewayTask from './gateway-task.js';
import type * as ignoredEntries from './ignored-entries.js';
import * as loadReports from './load-reports.js';
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
  /** Applies changed limits; addresses keep their values from the start. */
  reload: (settings: gatewaySettings.GatewaySettings) => void;
  /** Begins a graceful shutdown. */
  shutDown: () => void;
  /** Stops at once. */
  stop: () => void;
};

export type GatewayOptions = {
  settings: gatewaySettings.GatewaySettings;
  protocol: wireProtocol.WireProtocol;
  codec: storeCodec.StoreCodec;
  /** Called once after a graceful shutdown. */
  stopped: () => void;
};

/** Longest wait for the store at startup, milliseconds; enough for two attempts to read it. */
const FIRST_READ_TIMEOUT_MS = 2000;
/** Length of the random id of a process incarnation (`life`), bytes. */
const LIFE_ID_BYTES = 4;
/**
 * Share of the time within which revoked credentials must stop working (`revocationMs`) for which
 * a response of the store confirms the configuration. The rest, 1.3 s of 5 s, covers watches that
 * get no events for a second before the store drops its history, and requests in transit.
 */
const LEASE_SHARE = 0.74;
/**
 * Share of the quota tolerance that is used. The rest covers what gateways admit before they
 * learn of each other's usage, which they report five times a second.
 */
const TOLERANCE_SHARE = 0.7;
/** Time until a peer has read a new configuration and has reported it, milliseconds. */
const REPORT_DELAY_MS = 500;
/** Time after the store is reachable again by which live backend servers have re-registered, ms. */
const ENTRY_RETURN_MS = 2300;
/**
 * Share of the declared retry budget that is used. Backend servers count retries when they arrive,
 * so that those on their way at the start of a window add to those that are sent within it.
 */
const RETRY_BUDGET_SHARE = 0.9;

/** Builds the limits that the core bases its decisions on. */
function buildBounds(settings: gatewaySettings.GatewaySettings): gateway.GatewayBounds {
  const { revocationMs, quotaTolerance, retryRatio, retryExtra, warmUpTolerance } = settings;
  const { toleratedDomainLosses } = settings;
  return {
    leaseMs: revocationMs === undefined ? Infinity : revocationMs * LEASE_SHARE,
    configurationMs: Math.max(settings.configurationMs - REPORT_DELAY_MS, 0),
    entryReturnMs: ENTRY_RETURN_MS,
    quotaTolerance: {
      overage: quotaTolerance.overage * TOLERANCE_SHARE,
      slack: quotaTolerance.slack * TOLERANCE_SHARE,
      windowMs: quotaTolerance.windowMs,
    },
    retryRatio: retryRatio * RETRY_BUDGET_SHARE,
    retryExtra: retryExtra * RETRY_BUDGET_SHARE,
    warmUpTolerance,
    toleratedDomainLosses,
  };
}

/** Returns whether the load balancer may send callers here. */
function isReady(state: gateway.GatewayState, readClocks: clocks.ReadClocks): boolean {
  const configurationStatus = gateway.getConfigurationStatus(state, readClocks());
  return state.shutdownMs === 0 && configurationStatus === gateway.LeaseStatus.CONFIRMED;
}

/** Starts the operator servers: one for the load balancer, and one for metrics if configured. */
function startOperatorServers(
  { settings }: GatewayOptions,
  {
    state,
    readClocks,
    metrics,
    storeStatus,
    unknown,
    ignored,
    traffic,
  }: ReturnType<typeof createComponents>,
): Promise<runtime.OperatorServer[]> {
  const addresses = [settings.operators, settings.metrics].filter(
    (address) => address !== undefined,
  );
  return Promise.all(
    addresses.map((address) =>
      runtime.startOperatorServer({
        ...address,
        renderMetrics: metrics.render,
        describeStatus: () => ({
          ...status.describeStatus(state, storeStatus, unknown, ignored, readClocks()),
          traffic,
        }),
        isReady: () => isReady(state, readClocks),
        readinessPath: settings.readinessPath,
      }),
    ),
  );
}

/** Creates the server for callers; it does not listen yet. */
function createCallers(
  { settings }: GatewayOptions,
  components: ReturnType<typeof createComponents>,
  task: gatewayTask.GatewayTask,
): callerServer.CallerServer {
  const { log, metrics, runGuarded } = components;
  return callerServer.createCallerServer({
    listen: settings.callers,
    receive: task.receive,
    runContained: (step, recover) => runGuarded(failureGuard.WorkUnit.CALLER, step, recover),
    computeUnreadMs: components.eventLoop.computeUnreadMs,
    reportProblem: (reason) => log.write('caller-problem', { reason }, clocks.readSteadyMs()),
    findLateRefusal: loadReports.createConnectionCheck(components, clocks.readSteadyMs),
    reportClosedUnread: metrics.recordClosedUnread,
    bodyMemory: bodyMemory.createBodyMemory(components),
    reportRefusal: (code, fields) => {
      const line = { ...fields, result: schema.ResultCode[code] };
      log.write('refused', line, clocks.readSteadyMs());
      metrics.recordEnd('', '', code, false);
    },
  });
}

/**
 * Waits until the store has been read for the first time, or until a timeout.
 *
 * When all gateways have been killed, their callers reconnect at once. If they were served before
 * the configuration is known, they would be refused and retry only later. The wait is bounded
 * because the store may be unreachable for long and public routes need no confirmed configuration.
 */
async function waitForFirstRead({ first }: storeReader.StoreReader): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, FIRST_READ_TIMEOUT_MS);
  });
  await Promise.race([first, timeout]);
  clearTimeout(timer);
}

/** Creates the components that the tasks of a gateway share. */
function createComponents({ settings, protocol }: GatewayOptions, life: string) {
  const logger = runtime.createLogger('toucanproxy-gateway', { gateway: settings.name, life });
  const { peerListen, failureDomain, processorPercent, peerSeeds, domainRegions } = settings;
  const { isFirstStart, memoryMb } = settings;
  const address = `${peerListen.host}:${peerListen.port}`;
  const seeds = peerSeeds.filter((seed) => seed !== address);
  const regionByDomain = new Map(Object.entries(domainRegions));
  const state = gateway.createGatewayState(
    {
      address,
      life,
      failureDomain,
      processorPercent,
      seeds,
      regionByDomain,
      isFirstStart,
      memoryMb,
    },
    buildBounds(settings),
    Math.random,
    clocks.readSteadyMs(),
  );
  const log = decisionLog.createDecisionLog(logger);
  const traffic = domainTraffic.createDomainTraffic();
  const metrics = gatewayMetrics.createGatewayMetrics(state, clocks.readSteadyMs, traffic);
  const noteDelay = loadReports.createDelayObserver({ state, log, metrics });
  const loop = eventLoop.startEventLoop(clocks.readSteadyMs, noteDelay);
  const runGuarded = failureGuard.createFailureGuard(log, metrics, clocks.readSteadyMs);
  return {
    state,
    traffic,
    protocol,
    eventLoop: loop,
    runGuarded,
    connections: backendConnections.createBackendConnections(
      loop.runWhenPolled,
      (code, headers) => protocol.parseResponseHeaders(code, headers).attemptId,
      (step, recover) => runGuarded(failureGuard.WorkUnit.CONNECTION, step, recover),
    ),
    readClocks: clocks.createClockReader(),
    log,
    storeStatus: { isLost: false },
    unknown: new Map() as unknownNames.UnknownNames,
    ignored: new Map() as ignoredEntries.IgnoredEntries,
    metrics,
  };
}

/** Starts a gateway. */
export async function startGateway(options: GatewayOptions): Promise<GatewayDaemon> {
  const { settings, codec } = options;
  const life = crypto.randomBytes(LIFE_ID_BYTES).toString('hex');
  const components = createComponents(options, life);
  const { state, connections, log } = components;
  const reportProblem = (reason: string) =>
    log.write('peer-problem', { reason }, clocks.readSteadyMs());
  const peers = peerTask.startPeerTask({
    listen: settings.peerListen,
    seeds: settings.peerSeeds,
    state,
    traffic: components.traffic,
    readNow: clocks.readSteadyMs,
    runGuarded: components.runGuarded,
    reportProblem,
  });
  const task = gatewayTask.createGatewayTask({ ...components, sendToPeers: peers.send });
  peers.setReceiver(task);
  const operators = await startOperatorServers(options, components);
  const callers = createCallers(options, components, task);
  const follower = storeFollower.startStoreFollower({
    ...components,
    settings,
    codec,
    callers,
    assign: task.assign,
  });
  task.start();
  await waitForFirstRead(follower);
  const callerPort = await callers.listen();
  log.writeAlways('started', { settings });
  let { stopMs } = settings;
  return {
    callerPort,
    operatorPort: operators[0].port,
    countBackendServers: () => state.servers.byId.size,
    reload: (changed) => {
      state.bounds = buildBounds(changed);
      state.bodies.capacityBytes = gateway.computeCapacity(changed.memoryMb);
      stopMs = changed.stopMs;
      log.writeAlways('reload', { settings: changed });
    },
    shutDown: () =>
      shutdown.beginShutdown({ ...options, state, callers, task, peers, log, stopMs }),
    stop: () =>
      [follower, task, peers, callers, ...operators, connections, components.eventLoop].forEach(
        (component) => component.stop(),
      ),
  };
}
