/** The state of simulated gateways and backend servers in virtual time. */
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

/** Where a call arrived: the index of the gateway, and its incarnation at that time. */
export type CallOrigin = { index: number; life: string };

export type FleetOptions = fleetConfiguration.ConfigurationOptions & {
  gateways: number;
  servers: number;
  /** Time that a backend server takes for a request, milliseconds. */
  runMs: number;
  delayMs: number;
  lossShare: number;
  seed: number;
  /** Number of failure domains; servers and gateways are assigned to them in turn. */
  domains: number;
};

export type GatewayFleet = {
  options: FleetOptions;
  drawRandom: randomSource.DrawRandom;
  states: gateway.GatewayState[];
  network: datagramNetwork.DatagramNetwork;
  nowMs: number;
  gatewayStarts: number;
  callCount: number;
  sequence: number;
  /** Until when gateways are suspended, by index, milliseconds. */
  pausedUntilMs: Map<number, number>;
  /** Gateways that were killed, by index. */
  stopped: Set<number>;
  /** Pairs of gateway addresses, `from to`; datagrams and reports in this direction are lost. */
  blockedPaths: Set<string>;
  sent: SentRequest[];
  refused: { attemptId: string; atMs: number }[];
  running: SentRequest[];
  /** Largest number of requests that one backend server has run at a time. */
  peakConcurrency: number;
  /** Backend servers whose store entry marks them as leaving. */
  leaving: Set<string>;
  /** Backend servers that respond to every request with an error of their own. */
  failing: Set<string>;
  /** Backend servers that accept no connections. */
  down: Set<string>;
  /** Rate limits that backend servers report in their responses, requests per second, by id. */
  rateLimits: Map<string, number>;
  /** Backend servers that report in their responses that they are leaving. */
  reportingLeaving: Set<string>;
  /** Backoff that servers ask for while they refuse all requests, milliseconds, by server id. */
  backoffs: Map<string, number>;
  /** Requests that a backend server refused and answered with a backoff, in order. */
  backoffRefusals: { gateway: number; serverId: string; atMs: number }[];
  /** Responses that reported a rate limit or a leaving server, in order. */
  receivedStatements: { gateway: number; serverId: string; atMs: number }[];
};

/** How far requests per second may exceed the limit of a backend server that warms up. */
export const WARM_UP_TOLERANCE = { factor: 1.5, extra: 5 };
/** What the gateways together may admit beyond a quota, in tokens. */
export const QUOTA_TOLERANCE = { overage: 0.175, slack: 14_000, windowMs: 8000 };
/** Retry budget that all gateways share: retries for each request, and additional ones. */
export const RETRY_RATIO = 0.2;
export const RETRY_EXTRA = 10;
/** Formats the address of a gateway from its index. */
export function formatAddress(index: number): string {
  return `10.0.0.${index}:1`;
}

/** Lists the ids of the backend servers. */
export function listServerIds({ options }: GatewayFleet): string[] {
  return Array.from({ length: options.servers }, (_, index) => `server-${index}`);
}

/** Reads the virtual time as steady, wall and uptime clock. */
export function readClocks({ nowMs }: GatewayFleet): gateway.ClockReading {
  return { steadyMs: nowMs, wallMs: nowMs, uptimeMs: nowMs };
}

/** Formats the name of a failure domain from its index. */
export function formatDomain(index: number): string {
  return `d${index}`;
}

/** Builds the store entry of a backend server; the number in its id gives its failure domain. */
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
  fleet.gatewayStarts += 1;
  const state = gateway.createGatewayState(
    {
      address: formatAddress(index),
      life: String(fleet.gatewayStarts),
      failureDomain: formatDomain(index % fleet.options.domains),
      processorPercent: 50,
      seeds:
        fleet.options.gateways > 1 ? [formatAddress((index + 1) % fleet.options.gateways)] : [],
      regionByDomain: new Map(),
    },
    {
      leaseMs: Infinity,
      entryReturnMs: 2000,
      quotaTolerance: QUOTA_TOLERANCE,
      retryRatio: RETRY_RATIO,
      retryExtra: RETRY_EXTRA,
      warmUpTolerance: WARM_UP_TOLERANCE,
    },
    fleet.drawRandom,
    fleet.nowMs,
  );
  state.index = gateway.buildConfigurationIndex(
    fleetConfiguration.buildConfiguration(fleet.options),
  );
  gateway.noteConfirmed(state.lease, readClocks(fleet));
  listServerIds(fleet).forEach((id) =>
    gateway.applyEntry(state.servers, buildEntry(fleet, id), fleet.nowMs),
  );
  return state;
}
