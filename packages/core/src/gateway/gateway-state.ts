/** The state of one gateway, owned by its gateway task. */
import * as overload from '../shared/overload.js';
import * as retryBudget from '../shared/retry-budget.js';
import * as scheduler from '../scheduler/index.js';
import * as backendServers from './backend-servers.js';
import * as configurationLease from './configuration-lease.js';
import type * as configurationIndex from './configuration-index.js';
import type * as deadlineStats from './deadline-stats.js';
import * as cellMap from './cell-map.js';
import * as bodyBudget from './body-budget.js';
import * as connectionLoad from './connection-load.js';
import * as gatewayLoad from './gateway-load.js';
import type * as gatewayRequest from './gateway-request.js';
import * as lostRuns from './lost-runs.js';
import * as partLosses from './part-losses.js';
import * as peerCounts from './peer-counts.js';
import * as peerView from './peer-view.js';
import type * as quotaLimit from './quota-limit.js';
import type * as recentUse from './recent-use.js';
import type * as schedulerLink from './scheduler-link.js';
import * as retryLimit from './retry-limit.js';
import type * as runTimes from './run-times.js';
import * as schedulerRanking from './scheduler-ranking.js';
import * as streamOrigins from './stream-origins.js';
import * as tokenQuota from './token-quota.js';

/** Retries since the start of this gateway. */
export type RetryTotals = {
  /** Retries that the retry budget allowed. */
  allowed: number;
  /** Retries that were not made because the retry budget was exhausted. */
  denied: number;
};

/** Per-service state that spans requests. */
export type ServiceState = {
  retries: retryBudget.RetryBudget;
  retryTotals: RetryTotals;
  /** Since when requests have been refused because backend servers did not take them. */
  overload: overload.Overload;
  use: recentUse.ServiceUse;
};

/** Totals of the exchange between this gateway and schedulers since its start. */
export type SchedulingTotals = {
  asks: number;
  /** Grants with which a request was sent. */
  grantsUsed: number;
  /** Grants that could not be used. */
  grantsUnused: number;
  /** Changes to another scheduler, because one did not reply or another one took over. */
  schedulersLeft: number;
  /** Asks that reported the recent use by workspaces. */
  useReports: number;
};

/**
 * Limit on the requests that a warming-up backend server may get in any one second: the declared
 * rate times `factor`, plus `extra`.
 */
export type WarmUpTolerance = { factor: number; extra: number };

/** Limits that the operators of the deployment set. */
export type GatewayBounds = {
  /** Duration of the configuration lease, milliseconds; Infinity for no limit. */
  leaseMs: number;
  /** Time after which a configuration that a peer has must be active here, ms; absent for none. */
  configurationMs?: number;
  /** Time after a store outage in which servers write expired entries again, milliseconds. */
  entryReturnMs: number;
  quotaTolerance: quotaLimit.QuotaTolerance;
  /** Retries that each request adds to the retry budget. */
  retryRatio: number;
  /** Additional retries that all gateways together may make. */
  retryExtra: number;
  /** Load that warming-up backend servers may get beyond their declared rate. */
  warmUpTolerance: WarmUpTolerance;
  /** Failure domains whose loss must be tolerated; 0 if absent. */
  toleratedDomainLosses?: number;
};

export type GatewayState = {
  /** IP and port that peers send to; also identifies this gateway among them. */
  address: string;
  /** Identifies the incarnation of the process; new with each start. */
  life: string;
  failureDomain: string;
  /** CPU time that the process may use, in hundredths of a core. */
  processorPercent: number;
  /** Other gateways that are named in the settings. */
  seeds: readonly string[];
  /** Region of each failure domain that the settings assign to one. */
  regionByDomain: ReadonlyMap<string, string>;
  /** The whole system starts for the first time: no other process has used shared limits. */
  isFirstStart: boolean;
  bounds: GatewayBounds;
  drawRandom: () => number;
  /** When the process started, milliseconds. */
  startedMs: number;
  index: configurationIndex.ConfigurationIndex | undefined;
  lease: configurationLease.ConfigurationLease;
  servers: backendServers.BackendServers;
  cellMap: cellMap.CellMap;
  /** Number of this gateway's requests in flight at each backend server. */
  inFlight: Map<string, number>;
  /** Communication state with the scheduler of each cell, by cell name. */
  links: Map<string, schedulerLink.SchedulerLink>;
  ranking: schedulerRanking.SchedulerRanking;
  /** Schedules the cells that this gateway is responsible for. */
  scheduler: scheduler.Scheduler;
  schedulingTotals: SchedulingTotals;
  services: Map<string, ServiceState>;
  /** Statistics of the deadlines that callers send, by route name. */
  deadlineStatsByRoute: Map<string, deadlineStats.DeadlineStats>;
  requests: Map<number, gatewayRequest.GatewayRequest>;
  quotas: tokenQuota.QuotaState;
  /** Which software versions began the streams that callers may take up. */
  origins: streamOrigins.StreamOrigins;
  peers: peerView.PeerView;
  /** Runs that ended without a response, perhaps because their content ended the backend server. */
  lostRuns: lostRuns.LostRuns;
  /** The parts of prompts in such runs. */
  partLosses: partLosses.PartLosses;
  nextSerial: number;
  /** Revision of `servers` at the last check of waiting requests. */
  checkedRevision: number;
  /** What is known of the load of this process. */
  load: gatewayLoad.GatewayLoad;
  connectionLoad: connectionLoad.ConnectionLoad;
  /** Memory that requests hold. */
  bodies: bodyBudget.BodyBudget;
  /** When shutdown of the process was requested, milliseconds; 0 before. */
  shutdownMs: number;
  /** Time from then until the process is killed, milliseconds. */
  shutdownGraceMs: number;
  runTimes: runTimes.RunTimes;
};

/** Identity, location and resources of a gateway. */
export type GatewayIdentity = {
  address: string;
  life: string;
  failureDomain: string;
  processorPercent: number;
  seeds: readonly string[];
  regionByDomain: ReadonlyMap<string, string>;
  /** The whole system starts for the first time; false if absent. */
  isFirstStart?: boolean;
  /** Memory that the process may use, MB; no limit if absent. */
  memoryMb?: number;
};

/** Creates the state of a gateway that has just started. */
export function createGatewayState(
  identity: GatewayIdentity,
  bounds: GatewayBounds,
  drawRandom: () => number,
  now: number,
): GatewayState {
  const { address, life } = identity;
  return {
    ...identity,
    isFirstStart: identity.isFirstStart ?? false,
    bounds,
    drawRandom,
    startedMs: now,
    index: undefined,
    lease: configurationLease.createConfigurationLease(),
    servers: backendServers.createBackendServers(),
    cellMap: cellMap.createCellMap(),
    inFlight: new Map(),
    links: new Map(),
    ranking: schedulerRanking.createSchedulerRanking(),
    scheduler: scheduler.createScheduler(address, life, drawRandom),
    schedulingTotals: { asks: 0, grantsUsed: 0, grantsUnused: 0, schedulersLeft: 0, useReports: 0 },
    services: new Map(),
    deadlineStatsByRoute: new Map(),
    requests: new Map(),
    quotas: tokenQuota.createQuotaState(),
    origins: streamOrigins.createStreamOrigins(),
    peers: peerView.createPeerView(),
    lostRuns: lostRuns.createLostRuns(),
    partLosses: partLosses.createPartLosses(),
    nextSerial: 1,
    checkedRevision: -1,
    load: gatewayLoad.createGatewayLoad(),
    connectionLoad: connectionLoad.createConnectionLoad(),
    bodies: bodyBudget.createBodyBudget(identity.memoryMb),
    shutdownMs: 0,
    shutdownGraceMs: Infinity,
    runTimes: new Map(),
  };
}

/** Returns the state of a service and creates it if there is none. */
export function getServiceState(state: GatewayState, service: string): ServiceState {
  const serviceState = state.services.get(service) ?? {
    retries: retryBudget.createRetryBudget(retryLimit.computeFirstRetries(state)),
    retryTotals: { allowed: 0, denied: 0 },
    overload: overload.createOverload(),
    use: new Map(),
  };
  state.services.set(service, serviceState);
  return serviceState;
}

/** Changes the number of this gateway's requests in flight at a backend server by `amount`. */
export function addInFlight(state: GatewayState, serverId: string, amount: number): void {
  const left = (state.inFlight.get(serverId) ?? 0) + amount;
  if (left > 0) {
    state.inFlight.set(serverId, left);
  } else {
    state.inFlight.delete(serverId);
  }
}

/**
 * Computes the part of a shared quota that is not reserved. The shares of unreachable gateways are
 * reserved, because these may still be serving.
 */
export function computeQuotaShare(state: GatewayState, now: number): number {
  const all = peerCounts.countGateways(state.peers);
  return (all - peerCounts.countUnreachablePeers(state.peers, now)) / all;
}
