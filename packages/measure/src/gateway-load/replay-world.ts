/** The fleet of a replay: gateways, engines, and the calls that are on their way. */
import * as gateway from '@toucanproxy/core/gateway';
import * as datagramNetwork from '@toucanproxy/core/mocks/datagram-network';
import * as proofs from '@toucanproxy/proofs';
import * as engineModel from './engine-model.js';
import * as loadPattern from './load-pattern.js';

/** What the gateways are told. */
export type Knowledge = {
  /** Reports of the other gateways. */
  reports: boolean;
  /** Times of first events, of single events, and failures of backend servers. */
  firstEvents: boolean;
  paces: boolean;
  failures: boolean;
};

export type ReplayOptions = {
  pattern: loadPattern.LoadPattern;
  knowledge: Knowledge;
  gateways: number;
  engines: number;
  /** Requests that one engine works on at once. */
  slots: number;
  seed: number;
  /** One way between two gateways, milliseconds, and part of the datagrams lost. */
  delayMs: number;
  lossShare: number;
};

export type KindResult = {
  asked: number;
  inTime: number;
  late: number;
  failed: number;
  /** Requests sent by callers, first ones and returns. */
  tries: number;
  /** Calls that were refused, and those among them whose return was refused too. */
  refused: number;
  refusedTwice: number;
  /** Those of `late` that were served after a return. */
  lateAfterReturn: number;
};

export type ReplayResult = {
  byKind: Map<string, KindResult>;
  /** The same of the workspaces that are not hot. */
  quietByKind: Map<string, KindResult>;
  /** Requests of the workspaces that are not hot, in time and asked. */
  quietInTime: number;
  quietAsked: number;
  /** Tries after the worst was over, and those among them that were served, by gateway. */
  calmTries: number[];
  calmServed: number[];
  /** Most requests that one engine had at a time. */
  mostAtEngine: number;
};

/** One caller's request, over its tries. */
export type Call = {
  id: string;
  kind: loadPattern.RequestKind;
  workspace: number;
  firstSentMs: number;
  tries: number;
  dueMs: number;
  isCounted: boolean;
};

export type Live = { call: Call; gateway: number; request: gateway.GatewayRequest };

export type World = {
  options: ReplayOptions;
  draw: proofs.DrawRandom;
  /** Draws what callers send; apart from `draw` in loads that compare rules for returns. */
  drawArrival: proofs.DrawRandom;
  states: gateway.GatewayState[];
  engines: engineModel.EngineModel[];
  network: datagramNetwork.DatagramNetwork;
  live: Map<string, Live>;
  due: Call[];
  result: ReplayResult;
  sequence: number;
  nowMs: number;
  /** Starts of gateways so far; names their lives. */
  starts: number;
};

/** Added to the seed of a replay for the arrivals, which must not depend on decisions. */
const ARRIVAL_SEED_OFFSET = 1_000_000;
const SERVICE = 'one';
const DEADLINE_MS = 15_000;
export const WORKSPACES = 8;
const PATIENCE_MS = 3200;
/** One engine in three is slow, as on the users' machines. */
const SLOWNESS = [1, 1, 4];

/** Returns the time that a caller gives its request, milliseconds. */
export function getDeadlineMs(pattern: loadPattern.LoadPattern, kind: string): number {
  return pattern.returns?.deadlineByKind[kind] ?? DEADLINE_MS;
}

/** Builds the configuration: a route for each kind. */
function buildConfiguration(slots: number): gateway.Configuration {
  const routes = loadPattern.KINDS.map((kind) => ({
    name: kind.name,
    hostname: 'h',
    prefix: `/${kind.name}/`,
    kind: gateway.RouteKind.STREAM,
    timeoutMs: DEADLINE_MS,
    targetMs: kind.targetMs,
    patienceMs: PATIENCE_MS,
    urgency: kind.urgency,
    targets: [{ service: SERVICE, weight: 1 }],
    maxAttempts: 1,
    isPublic: false,
    resumable: false,
    regions: [],
  }));
  const engine = { slots, tokensPerEvent: engineModel.TOKENS_PER_EVENT };
  const workspaces = Array.from({ length: WORKSPACES }, (_, index) => ({
    name: `w${index}`,
    credentials: [`key-${index}`],
    urgency: undefined,
    quota: undefined,
    regions: [],
  }));
  const callerBounds = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  const services = [{ name: SERVICE, maxConnections: 100, engine, warmUp: undefined }];
  return { version: 1, routes, services, workspaces, callerBounds };
}

/** Reads all clocks of a gateway. */
export function readClocks(world: World): gateway.ClockReading {
  return { steadyMs: world.nowMs, wallMs: world.nowMs, uptimeMs: world.nowMs };
}

/** Starts a gateway that knows its backend servers. */
export function startGateway(world: World, index: number): gateway.GatewayState {
  const bounds = {
    leaseMs: Infinity,
    entryReturnMs: 2000,
    quotaTolerance: { overage: 0, slack: 0, windowMs: 0 },
    retryPercent: 16,
    retryExtra: 40,
    warmUpTolerance: { factor: 1, extra: 0 },
  };
  world.starts += 1;
  const identity = {
    address: `10.0.0.${index}:1`,
    life: String(world.starts),
    failureDomain: 'd',
    processorPercent: 50,
    seeds: [],
    regionByDomain: new Map<string, string>(),
  };
  const state = gateway.createGatewayState(identity, bounds, world.draw, world.nowMs);
  state.index = gateway.buildConfigurationIndex(buildConfiguration(world.options.slots));
  gateway.noteConfirmed(state.lease, readClocks(world));
  world.engines.forEach(({ id }) => {
    const entry = {
      id,
      service: SERVICE,
      address: id,
      failureDomain: 'd',
      slots: world.options.slots,
      leaving: false,
      bornMs: 1,
      revision: { epoch: 0, count: 1 },
      warmUpLeftMs: 0,
    };
    gateway.applyEntry(state.servers, entry, world.nowMs);
  });
  return state;
}

/** Creates an empty result. */
function createResult(gateways: number): ReplayResult {
  return {
    byKind: new Map(),
    quietByKind: new Map(),
    quietInTime: 0,
    quietAsked: 0,
    calmTries: Array.from({ length: gateways }, () => 0),
    calmServed: Array.from({ length: gateways }, () => 0),
    mostAtEngine: 0,
  };
}

/** Creates the fleet of a replay. */
export function createWorld(options: ReplayOptions): World {
  const draw = proofs.createRandomSource(options.seed);
  const { delayMs, lossShare, pattern, seed } = options;
  const drawArrival =
    pattern.returns === undefined ? draw : proofs.createRandomSource(seed + ARRIVAL_SEED_OFFSET);
  const isCut = () => false;
  const world: World = {
    options,
    draw,
    drawArrival,
    network: datagramNetwork.createNetwork({ delayMs, lossShare, drawRandom: draw, isCut }),
    states: [],
    engines: Array.from({ length: options.engines }, (_, index) =>
      engineModel.createEngine(`engine-${index}`, SLOWNESS[index % SLOWNESS.length], options.slots),
    ),
    live: new Map(),
    due: [],
    result: createResult(options.gateways),
    sequence: 0,
    nowMs: 0,
    starts: 0,
  };
  world.states = Array.from({ length: options.gateways }, (_, index) => startGateway(world, index));
  return world;
}
