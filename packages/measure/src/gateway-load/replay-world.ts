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
  /** Shares of the workspaces, and what they used recently; known if left out. */
  shares?: boolean;
  recentUse?: boolean;
  /** Gateways report no work in flight to each other, as in the version before; absent: no. */
  hidesWork?: boolean;
};

/** Failure domains of a replay: the one of each gateway and each engine, in turn. */
export type ReplayDomains = {
  gateways: readonly string[];
  engines: readonly string[];
  toleratedDomainLosses: number;
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
  /** Absent if all are in one failure domain. */
  domains?: ReplayDomains;
};

export type KindResult = {
  asked: number;
  inTime: number;
  late: number;
  failed: number;
  /** In time at first, with a pause later that its caller notices. */
  paused: number;
  /** Requests sent by callers, first ones and returns. */
  tries: number;
  /** Calls that were refused, and those among them whose return was refused too. */
  refused: number;
  refusedTwice: number;
  /** Those of `late` that were served after a return. */
  lateAfterReturn: number;
};

/** Work that one workspace asked for, and that it was served, tokens. */
export type WorkspaceWork = { asked: number; served: number };

export type ReplayResult = {
  byKind: Map<string, KindResult>;
  /** The same of the workspaces that are not hot. */
  quietByKind: Map<string, KindResult>;
  /** Work by kind and workspace, tokens. */
  workByKind: Map<string, WorkspaceWork[]>;
  /** Requests of the workspaces that are not hot, in time and asked. */
  quietInTime: number;
  quietAsked: number;
  /** Tries after the worst was over, and those among them that were served, by gateway. */
  calmTries: number[];
  calmServed: number[];
  /** Most requests that one engine had at a time. */
  mostAtEngine: number;
  /** Requests that engines in the failure domain of the gateway got, and those in others. */
  ownPlacements: number;
  otherPlacements: number;
  /** Times from the first sending to the first event by kind, milliseconds. */
  firstMs: Map<string, number[]>;
  /** Share of the slots in use, summed over the ticks in which calls arrive, and these ticks. */
  slotsInUse: number;
  ticks: number;
  /** Messages to schedulers. */
  asks: number;
};

/** One caller's request, over its tries. */
export type Call = {
  id: string;
  kind: loadPattern.RequestKind;
  workspace: number;
  promptTokens: number;
  firstSentMs: number;
  tries: number;
  dueMs: number;
  isCounted: boolean;
};

export type Live = { call: Call; gateway: number; request: gateway.GatewayRequest };

export type World = {
  options: ReplayOptions;
  draw: proofs.DrawRandom;
  /** Draws the calls: those of a seed are the same whatever the gateways decide. */
  drawCall: proofs.DrawRandom;
  states: gateway.GatewayState[];
  engines: engineModel.EngineModel[];
  network: datagramNetwork.DatagramNetwork;
  live: Map<string, Live>;
  due: Call[];
  result: ReplayResult;
  sequence: number;
  nowMs: number;
  /** Until when each gateway is down, milliseconds. */
  downUntilMs: number[];
  /** Starts of gateways so far; names their lives. */
  starts: number;
};

/** Added to the seed of a replay for the arrivals, which must not depend on decisions. */
const ARRIVAL_SEED_OFFSET = 1_000_000;
const SERVICE = 'one';
const DEADLINE_MS = 15_000;
export const WORKSPACES = 8;
const PATIENCE_MS = 3200;
/** Callers notice a longer pause between two events, milliseconds. */
export const MAX_PAUSE_MS = 400;
/** Requests per second that no workspace reaches. */
const AMPLE_RATE = 100_000;
/** One engine in three is slow, as on the users' machines. */
const SLOWNESS = [1, 1, 4];

/** Builds the quota of a workspace: never used up, so that only the shares depend on it. */
function buildQuota({ workspaces }: loadPattern.LoadPattern, index: number) {
  const quotas = workspaces?.quotas ?? [];
  return quotas.length === 0
    ? undefined
    : {
        unit: gateway.QuotaUnit.REQUESTS,
        perSecond: quotas[index % quotas.length] * AMPLE_RATE,
        burst: AMPLE_RATE,
        defaultTokens: 1,
      };
}

/** Returns the failure domain of a gateway or an engine by its number. */
function getDomain(domains: readonly string[] | undefined, index: number): string {
  return domains === undefined ? 'd' : domains[index % domains.length];
}

/** Returns the time that a caller gives its request, milliseconds. */
export function getDeadlineMs(pattern: loadPattern.LoadPattern, kind: string): number {
  return pattern.returns?.deadlineByKind[kind] ?? DEADLINE_MS;
}

/** Builds the configuration: a route for each kind. */
function buildConfiguration({ slots, pattern }: ReplayOptions): gateway.Configuration {
  const routes = loadPattern.listKinds(pattern).map((kind) => ({
    name: kind.name,
    hostname: 'h',
    prefix: `/${kind.name}/`,
    kind: gateway.RouteKind.STREAM,
    timeoutMs: DEADLINE_MS,
    targetMs: kind.targetMs,
    patienceMs: PATIENCE_MS,
    maxPauseMs: pattern.prompts && MAX_PAUSE_MS,
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
    quota: buildQuota(pattern, index),
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

/** Reports whether a gateway runs. */
export function isUp({ downUntilMs, nowMs }: World, index: number): boolean {
  return nowMs >= downUntilMs[index];
}

/** Lists the gateways that run. */
export function listUp(world: World): gateway.GatewayState[] {
  return world.states.filter((_, index) => isUp(world, index));
}

/** Starts a gateway that knows its backend servers. */
export function startGateway(world: World, index: number): gateway.GatewayState {
  const bounds = {
    leaseMs: Infinity,
    entryReturnMs: 2000,
    quotaTolerance: { overage: 0, slack: 0, windowMs: 0 },
    retryRatio: 0.18,
    retryExtra: 45,
    warmUpTolerance: { factor: 1, extra: 0 },
    toleratedDomainLosses: world.options.domains?.toleratedDomainLosses,
  };
  world.starts += 1;
  const identity = {
    address: `10.0.0.${index}:1`,
    life: String(world.starts),
    failureDomain: getDomain(world.options.domains?.gateways, index),
    processorPercent: 50,
    seeds: [],
    regionByDomain: new Map<string, string>(),
  };
  const state = gateway.createGatewayState(identity, bounds, world.draw, world.nowMs);
  state.index = gateway.buildConfigurationIndex(buildConfiguration(world.options));
  if (world.options.knowledge.shares === false) {
    state.index.shareByWorkspace.clear();
  }
  gateway.noteConfirmed(state.lease, readClocks(world));
  world.engines.forEach(({ id }, engineIndex) => {
    const entry = {
      id,
      service: SERVICE,
      address: id,
      failureDomain: getDomain(world.options.domains?.engines, engineIndex),
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
    workByKind: new Map(),
    quietInTime: 0,
    quietAsked: 0,
    calmTries: Array.from({ length: gateways }, () => 0),
    calmServed: Array.from({ length: gateways }, () => 0),
    mostAtEngine: 0,
    ownPlacements: 0,
    otherPlacements: 0,
    firstMs: new Map(),
    slotsInUse: 0,
    ticks: 0,
    asks: 0,
  };
}

/** Creates the fleet of a replay. */
export function createWorld(options: ReplayOptions): World {
  const draw = proofs.createRandomSource(options.seed);
  const { delayMs, lossShare, pattern, seed } = options;
  const slowness = pattern.slowness ?? SLOWNESS;
  const isPaired = pattern.prompts !== undefined || pattern.returns !== undefined;
  const isCut = () => false;
  const world: World = {
    options,
    draw,
    drawCall: isPaired ? proofs.createRandomSource(seed + ARRIVAL_SEED_OFFSET) : draw,
    network: datagramNetwork.createNetwork({ delayMs, lossShare, drawRandom: draw, isCut }),
    states: [],
    engines: Array.from({ length: options.engines }, (_, index) =>
      engineModel.createEngine(
        `engine-${index}`,
        slowness[index % slowness.length],
        options.slots,
        pattern.prompts,
      ),
    ),
    live: new Map(),
    due: [],
    result: createResult(options.gateways),
    sequence: 0,
    nowMs: 0,
    downUntilMs: Array.from({ length: options.gateways }, () => -1),
    starts: 0,
  };
  world.states = Array.from({ length: options.gateways }, (_, index) => startGateway(world, index));
  return world;
}
