/** The state of gateways before model backend servers in virtual time. */
import * as gateway from '@toucanproxy/core/gateway';
import * as datagramNetwork from '@toucanproxy/core/mocks/datagram-network';
import * as fleetConfiguration from './gateway-fleet-configuration.js';
import * as randomSource from './random-source.js';

/** A request that was sent to a backend server. */
export type SentRequest = {
  attemptId: string;
  gateway: number;
  serverId: string;
  scheduler: string;
  atMs: number;
  request: gateway.GatewayRequest;
};

/** Where a call came in: the gateway, and its life then. */
export type CallOrigin = { index: number; life: string };

export type FleetOptions = {
  gateways: number;
  servers: number;
  slots: number;
  /** Time that a backend server works on a request, milliseconds. */
  runMs: number;
  delayMs: number;
  lossShare: number;
  seed: number;
  /** Failure domains over which the backend servers are spread in turn. */
  domains: number;
  /** What backend servers bear while they warm up; undefined for all of their load. */
  warmUp: gateway.WarmUpTraits | undefined;
};

export type GatewayFleet = {
  options: FleetOptions;
  draw: randomSource.DrawRandom;
  states: gateway.GatewayState[];
  network: datagramNetwork.DatagramNetwork;
  nowMs: number;
  starts: number;
  calls: number;
  sequence: number;
  /** Gateways that are suspended until a time, milliseconds, and that are dead. */
  pausedUntilMs: Map<number, number>;
  dead: Set<number>;
  /** Nothing gets from the first to the second of these. */
  cuts: Set<string>;
  sent: SentRequest[];
  refused: { attemptId: string; atMs: number }[];
  running: SentRequest[];
  /** Most requests that one backend server had at a time. */
  mostAtServer: number;
  /** Entries of backend servers that a gateway does not see as leaving yet. */
  leaving: Set<string>;
  /** Backend servers that take no connection. */
  down: Set<string>;
  /** Requests a second that backend servers name in their answers, by id. */
  rateLimits: Map<string, number>;
  /** Backend servers whose answers say that they leave. */
  sayingLeaving: Set<string>;
  /** Backend servers that refuse all requests for a time, and ask for it, by id, milliseconds. */
  backoffs: Map<string, number>;
  /** Requests that were refused with a backoff, in order. */
  backedOff: { gateway: number; serverId: string; atMs: number }[];
  /** Answers that named a limit or said that their server leaves, in order. */
  told: { gateway: number; serverId: string; atMs: number }[];
};

/** What a backend server that warms up may get in a second beyond what it bears. */
export const WARM_UP_TOLERANCE = { factor: 1.5, extra: 5 };
/** Names a gateway by its number. */
export function formatAddress(index: number): string {
  return `10.0.0.${index}:1`;
}

/** Lists the ids of the backend servers. */
export function listServerIds({ options }: GatewayFleet): string[] {
  return Array.from({ length: options.servers }, (_, index) => `server-${index}`);
}

/** Reads all clocks. */
export function readClocks({ nowMs }: GatewayFleet): gateway.ClockReading {
  return { steadyMs: nowMs, wallMs: nowMs, uptimeMs: nowMs };
}

/** Names a failure domain by its number. */
export function formatDomain(index: number): string {
  return `d${index}`;
}

/** Builds the entry of a backend server; its number says in which failure domain it is. */
export function buildEntry(
  fleet: GatewayFleet,
  id: string,
  changes: Partial<gateway.BackendServerEntry> = {},
): gateway.BackendServerEntry {
  const { slots, domains } = fleet.options;
  return {
    id,
    service: fleetConfiguration.SERVICE,
    address: id,
    failureDomain: formatDomain(Number(id.split('-')[1]) % domains),
    slots,
    leaving: fleet.leaving.has(id),
    bornMs: 1,
    revision: { epoch: 0, count: 1 },
    warmUpLeftMs: 0,
    ...changes,
  };
}

/** Creates the state of a gateway that has just started. */
export function createState(fleet: GatewayFleet, index: number): gateway.GatewayState {
  fleet.starts += 1;
  const state = gateway.createGatewayState(
    {
      address: formatAddress(index),
      life: String(fleet.starts),
      failureDomain: formatDomain(index % fleet.options.domains),
      processorPercent: 50,
      seeds:
        fleet.options.gateways > 1 ? [formatAddress((index + 1) % fleet.options.gateways)] : [],
      regionByDomain: new Map(),
    },
    {
      leaseMs: Infinity,
      entryReturnMs: 2000,
      quotaTolerance: { overage: 0, slack: 0, windowMs: 0 },
      retryPercent: 20,
      retryExtra: 10,
      warmUpTolerance: WARM_UP_TOLERANCE,
    },
    fleet.draw,
    fleet.nowMs,
  );
  state.index = gateway.buildConfigurationIndex(
    fleetConfiguration.buildConfiguration(fleet.options.slots, fleet.options.warmUp),
  );
  gateway.noteConfirmed(state.lease, readClocks(fleet));
  listServerIds(fleet).forEach((id) =>
    gateway.applyEntry(state.servers, buildEntry(fleet, id), fleet.nowMs),
  );
  return state;
}
