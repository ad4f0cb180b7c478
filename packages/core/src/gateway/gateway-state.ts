/** The state that one gateway task owns. */
import * as overload from '../shared/overload.js';
import * as retryBudget from '../shared/retry-budget.js';
import * as suspects from '../shared/suspects.js';
import * as scheduler from '../scheduler/index.js';
import * as backendServers from './backend-servers.js';
import * as configurationLease from './configuration-lease.js';
import type * as configurationIndex from './configuration-index.js';
import type * as crashWatch from './crash-watch.js';
import type * as deadlineStats from './deadline-stats.js';
import * as cellMap from './cell-map.js';
import type * as gatewayRequest from './gateway-request.js';
import * as peerView from './peer-view.js';
import type * as quotaLimit from './quota-limit.js';
import type * as schedulerLink from './scheduler-link.js';
import * as schedulerRanking from './scheduler-ranking.js';
import * as tokenQuota from './token-quota.js';

/** What is kept of a service over all its requests. */
export type ServiceWork = {
  retries: retryBudget.RetryBudget;
  /** Requests that backend servers did not take. */
  overload: overload.Overload;
};

/** Totals of what passed between this gateway and schedulers since its start. */
export type SchedulingTotals = {
  asks: number;
  /** Grants that a request was sent with, and those that none could use. */
  grantsUsed: number;
  grantsUnused: number;
  /** Schedulers that were left since they did not answer, or as another one took over. */
  schedulersLeft: number;
};

/**
 * Bound of what a backend server that warms up may get in any one second: the declared
 * number of requests times `factor`, and `extra` requests besides.
 */
export type WarmUpTolerance = { factor: number; extra: number };

/** Bounds of the deployment. */
export type GatewayBounds = {
  /** How long one answer of the store holds, milliseconds; Infinity for always. */
  leaseMs: number;
  /** Entries that lapsed are back this long after the store's return, milliseconds. */
  entryReturnMs: number;
  quotaTolerance: quotaLimit.QuotaTolerance;
  /** Repeats of sends for each hundred requests. */
  retryPercent: number;
  /** Repeats that all gateways together may make besides. */
  retryExtra: number;
  /** What backend servers that warm up bear beyond what they are declared to. */
  warmUpTolerance: WarmUpTolerance;
};

export type GatewayState = {
  /** Where its peers send to, IP and port; names it among them. */
  address: string;
  /** New with each start of the process. */
  life: string;
  failureDomain: string;
  /** Processor time that the process may use, in hundredths of a core. */
  processorPercent: number;
  /** Gateways that its settings name; itself left out. */
  seeds: readonly string[];
  /** Region of each failure domain, as far as the settings tell. */
  regionByDomain: ReadonlyMap<string, string>;
  bounds: GatewayBounds;
  drawRandom: () => number;
  /** When the process started, milliseconds. */
  startedMs: number;
  index: configurationIndex.ConfigurationIndex | undefined;
  lease: configurationLease.ConfigurationLease;
  servers: backendServers.BackendServers;
  cellMap: cellMap.CellMap;
  /** Requests of this gateway by backend server. */
  inFlight: Map<string, number>;
  /** By cell: what its scheduler was told. */
  links: Map<string, schedulerLink.SchedulerLink>;
  ranking: schedulerRanking.SchedulerRanking;
  /** The scheduler that this gateway is for some cells. */
  scheduler: scheduler.Scheduler;
  schedulingTotals: SchedulingTotals;
  services: Map<string, ServiceWork>;
  /** How long callers usually wait, by the name of the route. */
  usualDeadlines: Map<string, deadlineStats.UsualDeadline>;
  requests: Map<number, gatewayRequest.GatewayRequest>;
  quotas: tokenQuota.QuotaBook;
  peers: peerView.PeerView;
  /** Content that was running when backend servers crashed. */
  suspects: suspects.Suspects;
  /** Requests that broke off lately, by backend server. */
  brokenRuns: Map<string, crashWatch.BrokenRun[]>;
  nextSerial: number;
  /** Revision of `servers` for which waiting requests were last checked. */
  checkedRevision: number;
  /** Set once the process has been told to stop, milliseconds; 0 before. */
  shutdownMs: number;
};

/** What names a gateway, and what it may use. */
export type GatewayIdentity = {
  address: string;
  life: string;
  failureDomain: string;
  processorPercent: number;
  seeds: readonly string[];
  regionByDomain: ReadonlyMap<string, string>;
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
    schedulingTotals: { asks: 0, grantsUsed: 0, grantsUnused: 0, schedulersLeft: 0 },
    services: new Map(),
    usualDeadlines: new Map(),
    requests: new Map(),
    quotas: tokenQuota.createQuotaBook(),
    peers: peerView.createPeerView(),
    suspects: suspects.createSuspects(),
    brokenRuns: new Map(),
    nextSerial: 1,
    checkedRevision: -1,
    shutdownMs: 0,
  };
}

/** Gets the work of a service, made where there is none. */
export function getServiceWork(state: GatewayState, service: string): ServiceWork {
  const work = state.services.get(service) ?? {
    retries: retryBudget.createRetryBudget(),
    overload: overload.createOverload(),
  };
  state.services.set(service, work);
  return work;
}

/** Counts a request to a backend server, or off it. */
export function addInFlight(state: GatewayState, serverId: string, amount: number): void {
  const left = (state.inFlight.get(serverId) ?? 0) + amount;
  if (left > 0) {
    state.inFlight.set(serverId, left);
  } else {
    state.inFlight.delete(serverId);
  }
}

/** Computes the part of shared limits that this gateway may use by itself. */
export function computeShare(state: GatewayState, now: number): number {
  const all = peerView.countGateways(state.peers);
  return (all - peerView.countUnreachablePeers(state.peers, now)) / all;
}
