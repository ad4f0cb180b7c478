/**
 * Replays requests of which some crash the backend server that runs them, in virtual time, through
 * the decisions of a policy at each gateway.
 */
import * as proofs from '@toucanproxy/proofs';
import * as load from './load.js';
import type * as partPolicy from './part-policy.js';

export type ReplayOptions = {
  setting: load.Setting;
  createPolicy: partPolicy.CreatePolicy;
  seed: number;
};

export type ReplayResult = {
  ended: number;
  /** Arrivals of crashing requests at servers from `LATE_MS` after the fifth end. */
  late: number;
  /** Sound requests, and those served at the first attempt, from `SERVED_MS` after the fifth end. */
  sent: number;
  served: number;
  sentOverall: number;
  servedOverall: number;
  refused: number;
  /** By gateway and second, on average. */
  bytesPerSecond: number;
  /** The most parts that a gateway kept. */
  parts: number;
};

type Server = { id: string; runs: Set<Run>; endedMs: number };
type Run = { request: load.Request; server: Server; sentMs: number };
type World = {
  options: ReplayOptions;
  draw: proofs.DrawRandom;
  now: number;
  due: (() => void)[][];
  servers: Server[];
  started: number;
  policies: partPolicy.PartPolicy[];
  bytes: number;
  /** Servers that the crashing part has ended, and when it ended the fifth, milliseconds. */
  crashed: number;
  fifthMs: number;
  result: ReplayResult;
};

export const LATE_MS = 3000;
export const SERVED_MS = 6000;
const FIFTH = 5;
const CRASH_MS = 100;
const FIRST_EVENT_MS = 100;
const RESTART_MS = 2500;
/** How long requests are still sent to a silent server, milliseconds. */
const ENTRY_MS = 1000;
/** When runs at a silent server are given up, milliseconds. */
const GIVE_UP_MS: [number, number] = [1000, 2000];
const TRANSIT_MS: [number, number] = [5, 50];
const MESSAGE_LOSS = 0.03;
const MAX_FAN_OUT = 16;
const CHANGE_MS = 10;
const REPORT_MS = 200;
const RETRY_MS = 50;
const WAIT_MS = 100;
const MAX_WAITS = 20;
/** Time from the first event on after which a stream proves its parts sound, milliseconds. */
const PROOF_MS = 1000;
/** Time after the last arrival in which requests may end, milliseconds. */
const DRAIN_MS = 5000;
const SECOND_MS = 1000;

/** Schedules a step after some time, at least a millisecond. */
function schedule(world: World, afterMs: number, execute: () => void): void {
  const atMs = world.now + Math.max(1, Math.round(afterMs));
  world.due[atMs] ??= [];
  world.due[atMs].push(execute);
}

/** Starts a server under a new id. */
function startServer(world: World): void {
  world.started += 1;
  world.servers.push({ id: `server-${world.started}`, runs: new Set(), endedMs: Infinity });
}

/** Handles a run that was lost: its gateway learns of it, and sends the request once more. */
function abandonRun(world: World, { request, server, sentMs }: Run): void {
  const { isSilent = false } = world.options.setting;
  const { gateway, parts, attempts } = request;
  const streamedMs = server.endedMs - sentMs - FIRST_EVENT_MS;
  if (streamedMs < PROOF_MS) {
    const run = { parts, serverId: server.id, sentMs, lostMs: world.now, isSilent };
    world.policies[gateway].noteLost(run, world.now);
  }
  if (attempts < 2 && streamedMs <= 0) {
    schedule(world, RETRY_MS, () => place(world, { ...request, isTrial: false }));
  }
}

/** Ends a server with all its runs. */
function shutServer(world: World, server: Server, isCaused: boolean): void {
  if (server.endedMs < world.now) {
    return;
  }
  const { result } = world;
  const { isSilent = false } = world.options.setting;
  Object.assign(server, { endedMs: world.now });
  result.ended += 1;
  world.crashed += Number(isCaused);
  if (isCaused && world.crashed === FIFTH) {
    world.fifthMs = world.now;
  }
  schedule(world, isSilent ? ENTRY_MS : 1, () => {
    world.servers = world.servers.filter((one) => one !== server);
  });
  schedule(world, RESTART_MS, () => startServer(world));
  server.runs.forEach((run) =>
    schedule(world, isSilent ? proofs.drawBetween(world.draw, ...GIVE_UP_MS) : 1, () =>
      abandonRun(world, run),
    ),
  );
}

/** Completes a run at a server that has not ended. */
function completeRun(world: World, run: Run): void {
  const { request, server } = run;
  if (server.runs.delete(run)) {
    world.policies[request.gateway].noteSound(request.parts, world.now);
    const isLate = request.atMs >= world.fifthMs + SERVED_MS;
    world.result.servedOverall += request.attempts === 1 ? 1 : 0;
    world.result.served += request.attempts === 1 && isLate ? 1 : 0;
  }
}

/** Runs a request at a server. */
function startRun(world: World, request: load.Request, server: Server): void {
  const run = { request, server, sentMs: world.now };
  if (server.endedMs < Infinity) {
    schedule(world, proofs.drawBetween(world.draw, ...GIVE_UP_MS), () => abandonRun(world, run));
    return;
  }
  server.runs.add(run);
  if (request.isCrashing) {
    world.result.late += world.now > world.fifthMs + LATE_MS ? 1 : 0;
    schedule(world, CRASH_MS, () => shutServer(world, server, true));
    return;
  }
  schedule(world, request.runMs, () => server.endedMs === Infinity && completeRun(world, run));
  if (request.runMs > PROOF_MS + FIRST_EVENT_MS) {
    schedule(world, PROOF_MS + FIRST_EVENT_MS, () => {
      if (server.endedMs === Infinity && server.runs.has(run)) {
        world.policies[request.gateway].noteSound(request.parts, world.now);
      }
    });
  }
}

/** Decides about a request and sends it to the server with the fewest runs, or lets it wait. */
function place(world: World, request: load.Request, waits = 0): void {
  const { setting } = world.options;
  const verdict = request.isTrial
    ? 'trial'
    : world.policies[request.gateway].admit(request.parts, world.now);
  if (verdict === 'refuse') {
    world.result.refused += request.isCrashing ? 0 : 1;
    return;
  }
  const free = world.servers.filter(({ runs }) => runs.size < setting.slots);
  const fewest = Math.min(...free.map(({ runs }) => runs.size));
  const placed = { ...request, isTrial: verdict === 'trial' };
  if (free.length > 0) {
    const least = free.filter(({ runs }) => runs.size === fewest);
    const server = proofs.drawFrom(world.draw, least);
    startRun(world, { ...placed, attempts: request.attempts + 1 }, server);
  } else if (waits < MAX_WAITS) {
    schedule(world, WAIT_MS, () => place(world, placed, waits + 1));
  }
}

/** Sends messages of one gateway to some others. */
function sendMessages(
  world: World,
  messages: readonly partPolicy.Message[],
  receivers: readonly number[],
): void {
  messages.forEach((message) =>
    receivers.forEach((to) => {
      world.bytes += message.bytes;
      if (world.draw() >= MESSAGE_LOSS) {
        schedule(world, proofs.drawBetween(world.draw, ...TRANSIT_MS), () =>
          world.policies[to].receive(message, world.now),
        );
      }
    }),
  );
}

/** Sends what gateways have not told each other, to some gateways each. */
function publishChanges(world: World, isReport: boolean): void {
  const { policies, draw, result } = world;
  policies.forEach((policy, gateway) => {
    const messages = policy.collect(isReport, world.now);
    const start = 1 + Math.floor(draw() * (policies.length - 1));
    const others = policies.slice(1).map((_, index) => {
      const turn = 1 + ((start + index) % (policies.length - 1));
      return (gateway + turn) % policies.length;
    });
    sendMessages(world, messages, others.slice(0, MAX_FAN_OUT));
    result.parts = Math.max(result.parts, policy.countParts());
  });
}

/** Starts half of the gateways anew; their runs break without anyone who learns of it. */
function restartGateways(world: World): void {
  const { policies, servers, options, draw } = world;
  const half = Math.floor(policies.length / 2);
  servers.forEach(({ runs }) =>
    runs.forEach(
      (run) => run.request.gateway < half && !run.request.isCrashing && runs.delete(run),
    ),
  );
  policies.forEach((_, gateway) => {
    if (gateway < half) {
      policies[gateway] = options.createPolicy(gateway, draw);
      schedule(world, WAIT_MS, () =>
        policies
          .slice(half)
          .forEach((one) => sendMessages(world, one.collectAll(world.now), [gateway])),
      );
    }
  });
}

/** Schedules all that does not follow from something else. */
function scheduleSetting(world: World): void {
  const { setting, seed } = world.options;
  const { durationMs, restartMs, noise } = setting;
  load.drawRequests(setting, seed).forEach((request) =>
    schedule(world, request.atMs, () => {
      world.result.sentOverall += request.isCrashing ? 0 : 1;
      const isLate = request.atMs >= world.fifthMs + SERVED_MS;
      world.result.sent += !request.isCrashing && isLate ? 1 : 0;
      place(world, request);
    }),
  );
  for (let atMs = CHANGE_MS; atMs < durationMs; atMs += CHANGE_MS) {
    schedule(world, atMs, () => publishChanges(world, atMs % REPORT_MS === 0));
  }
  for (
    let atMs = noise?.everyMs ?? Infinity;
    atMs < durationMs;
    atMs += noise?.everyMs ?? Infinity
  ) {
    schedule(world, atMs, () =>
      [...world.servers]
        .sort(() => world.draw() - 0.5)
        .slice(0, Math.ceil(setting.servers * (noise?.share ?? 0)))
        .forEach((server) => shutServer(world, server, false)),
    );
  }
  if (restartMs !== undefined) {
    schedule(world, restartMs, () => restartGateways(world));
  }
}

/** Replays a setting; returns what became of servers and requests. */
export function runReplay(options: ReplayOptions): ReplayResult {
  const { gateways, servers, durationMs } = options.setting;
  const draw = proofs.createRandomSource(options.seed + 1);
  const counts = { ended: 0, late: 0, sent: 0, served: 0, sentOverall: 0, servedOverall: 0 };
  const result = { ...counts, refused: 0, bytesPerSecond: 0, parts: 0 };
  const policies = Array.from({ length: gateways }, (_, one) => options.createPolicy(one, draw));
  const empty = {
    now: 0,
    due: [],
    servers: [],
    started: 0,
    bytes: 0,
    crashed: 0,
    fifthMs: Infinity,
  };
  const world: World = { options, draw, ...empty, policies, result };
  Array.from({ length: servers }, () => startServer(world));
  scheduleSetting(world);
  for (world.now = 1; world.now <= durationMs + DRAIN_MS; world.now += 1) {
    world.due[world.now]?.forEach((execute) => execute());
  }
  result.bytesPerSecond = world.bytes / gateways / (durationMs / SECOND_MS);
  return result;
}
