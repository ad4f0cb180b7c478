/** The state that one gateway task owns. */
import * as drainRate from '../shared/drain-rate.js';
import * as retryBudget from '../shared/retry-budget.js';
import * as suspects from '../shared/suspects.js';
import * as backendServers from './backend-servers.js';
import * as belief from './belief.js';
import type * as configurationIndex from './configuration-index.js';
import type * as gatewayRequest from './gateway-request.js';
import * as peerView from './peer-view.js';
import * as serverLoad from './server-load.js';
import * as tokenQuota from './token-quota.js';
import * as waitQueue from './wait-queue.js';

/** What waits for a service, and how fast it goes. */
export type ServiceWork = {
  queue: waitQueue.WaitQueue;
  drain: drainRate.DrainRate;
  retries: retryBudget.RetryBudget;
};

/** Bounds of the deployment. */
export type GatewayBounds = {
  /** How long one answer of the store holds, milliseconds; Infinity for always. */
  leaseMs: number;
  /** Entries that lapsed are back this long after the store's return, milliseconds. */
  entryReturnMs: number;
  /** Repeats of sends for each hundred requests. */
  retryPercent: number;
  /** Repeats that all gateways together may make besides. */
  retryExtra: number;
};

export type GatewayState = {
  failureDomain: string;
  bounds: GatewayBounds;
  drawRandom: () => number;
  index: configurationIndex.ConfigurationIndex | undefined;
  belief: belief.Belief;
  servers: backendServers.BackendServers;
  loads: Map<string, serverLoad.ServerLoad>;
  services: Map<string, ServiceWork>;
  requests: Map<number, gatewayRequest.GatewayRequest>;
  quotas: tokenQuota.QuotaBook;
  peers: peerView.PeerView;
  suspects: suspects.Suspects;
  nextSerial: number;
  /** Set once the process has been told to stop, milliseconds; 0 before. */
  shutdownMs: number;
};

/** Creates the state of a gateway that has just started. */
export function createGatewayState(
  failureDomain: string,
  bounds: GatewayBounds,
  drawRandom: () => number,
): GatewayState {
  return {
    failureDomain,
    bounds,
    drawRandom,
    index: undefined,
    belief: belief.createBelief(),
    servers: backendServers.createBackendServers(),
    loads: new Map(),
    services: new Map(),
    requests: new Map(),
    quotas: tokenQuota.createQuotaBook(),
    peers: peerView.createPeerView(),
    suspects: suspects.createSuspects(),
    nextSerial: 1,
    shutdownMs: 0,
  };
}

/** Gets the work of a service, made where there is none. */
export function getServiceWork(state: GatewayState, service: string): ServiceWork {
  const work = state.services.get(service) ?? {
    queue: waitQueue.createWaitQueue(),
    drain: drainRate.createDrainRate(),
    retries: retryBudget.createRetryBudget(),
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

/** Computes the part of shared limits that this gateway may use by itself. */
export function computeShare(state: GatewayState, now: number): number {
  const all = peerView.countGateways(state.peers);
  return (all - peerView.countSilent(state.peers, now)) / all;
}
