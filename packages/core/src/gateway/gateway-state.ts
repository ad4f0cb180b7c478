/** The state that one gateway task owns. */
import * as decayingCount from '../shared/decaying-count.js';
import * as drainRate from '../shared/drain-rate.js';
import * as rendezvous from '../shared/rendezvous.js';
import * as retryBudget from '../shared/retry-budget.js';
import * as suspects from '../shared/suspects.js';
import * as backendServers from './backend-servers.js';
import * as belief from './belief.js';
import type * as configurationIndex from './configuration-index.js';
import type * as crashWatch from './crash-watch.js';
import * as firstDelay from './first-delay.js';
import type * as gatewayRequest from './gateway-request.js';
import * as overload from './overload.js';
import * as peerView from './peer-view.js';
import type * as quotaLimit from './quota-limit.js';
import * as serverLoad from './server-load.js';
import * as tokenQuota from './token-quota.js';
import * as waitQueue from './wait-queue.js';

/** What waits for a service, and how fast it goes. */
export type ServiceWork = {
  /** Requests of this gateway at its backend servers. */
  inFlight: number;
  /** Requests that arrived lately, refused ones included. */
  offered: decayingCount.DecayingCount;
  /** What places are shared by, as the peers were last told. */
  toldDemand: number;
  queue: waitQueue.WaitQueue;
  /** How fast all requests go, and those of each rank of the queue. */
  drain: drainRate.DrainRate;
  drainByRank: Map<number, drainRate.DrainRate>;
  retries: retryBudget.RetryBudget;
  overload: overload.Overload;
  /** Seen at all its backend servers. */
  firstDelay: firstDelay.FirstDelay;
};

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
};

export type GatewayState = {
  /** Where its peers send to, IP and port; names it among them. */
  address: string;
  failureDomain: string;
  bounds: GatewayBounds;
  drawRandom: () => number;
  /** When the process started, milliseconds. */
  startedMs: number;
  index: configurationIndex.ConfigurationIndex | undefined;
  belief: belief.Belief;
  servers: backendServers.BackendServers;
  loads: Map<string, serverLoad.ServerLoad>;
  services: Map<string, ServiceWork>;
  requests: Map<number, gatewayRequest.GatewayRequest>;
  quotas: tokenQuota.QuotaBook;
  peers: peerView.PeerView;
  /** Content that was running when backend servers crashed. */
  suspects: suspects.Suspects;
  /** Requests that broke off lately, by backend server. */
  brokenRuns: Map<string, crashWatch.BrokenRun[]>;
  nextSerial: number;
  /** Set once the process has been told to stop, milliseconds; 0 before. */
  shutdownMs: number;
};

/** Creates the state of a gateway that has just started. */
export function createGatewayState(
  address: string,
  failureDomain: string,
  bounds: GatewayBounds,
  drawRandom: () => number,
  now: number,
): GatewayState {
  return {
    address,
    failureDomain,
    bounds,
    drawRandom,
    startedMs: now,
    index: undefined,
    belief: belief.createBelief(),
    servers: backendServers.createBackendServers(),
    loads: new Map(),
    services: new Map(),
    requests: new Map(),
    quotas: tokenQuota.createQuotaBook(),
    peers: peerView.createPeerView(),
    suspects: suspects.createSuspects(),
    brokenRuns: new Map(),
    nextSerial: 1,
    shutdownMs: 0,
  };
}

/** Gets the work of a service, made where there is none. */
export function getServiceWork(state: GatewayState, service: string): ServiceWork {
  const work = state.services.get(service) ?? {
    inFlight: 0,
    offered: decayingCount.createDecayingCount(),
    toldDemand: 0,
    queue: waitQueue.createWaitQueue(),
    drain: drainRate.createDrainRate(),
    drainByRank: new Map(),
    retries: retryBudget.createRetryBudget(),
    overload: overload.createOverload(),
    firstDelay: firstDelay.createFirstDelay(),
  };
  state.services.set(service, work);
  return work;
}

/** Gets the load of a backend server, made where there is none. */
export function getLoad(state: GatewayState, serverId: string): serverLoad.ServerLoad {
  const load = state.loads.get(serverId) ?? serverLoad.createServerLoad();
  state.loads.set(serverId, load);
  return load;
}

/** Forgets what was seen of a backend server that has restarted or gone. */
export function forgetLoad(state: GatewayState, serverId: string): void {
  const known = state.loads.get(serverId);
  if (known !== undefined) {
    const { inFlight } = known;
    // Requests there still end and are counted off; all else belongs to its past.
    Object.assign(known, serverLoad.createServerLoad(), { inFlight });
  }
}

/** Notes how long a request waited for its first event at its backend server. */
export function noteFirstEvent(
  state: GatewayState,
  { service, serverId, idleFirstMs }: gatewayRequest.GatewayRequest,
  ms: number,
  now: number,
): void {
  const extraMs = ms - idleFirstMs;
  firstDelay.recordExtra(getServiceWork(state, service).firstDelay, extraMs, now);
  if (serverId !== undefined) {
    firstDelay.recordExtra(getLoad(state, serverId).firstDelay, extraMs, now);
  }
}

/** Computes the part of shared limits that this gateway may use by itself. */
export function computeShare(state: GatewayState, now: number): number {
  const all = peerView.countGateways(state.peers);
  return (all - peerView.countSilent(state.peers, now)) / all;
}

/** Numbers of `hashText` are below this. */
const HASH_RANGE = 2 ** 32;

/** Gets the fixed number, 0 to 1, where the rounding of a backend server's places begins. */
export function getOffset(serverId: string): number {
  return rendezvous.hashText(serverId) / HASH_RANGE;
}
