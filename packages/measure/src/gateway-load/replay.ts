/**
 * Replays a load through the gateways' decisions, in virtual time.
 *
 * The decisions are the product's own; engines, callers and the network are models.
 * What gateways learn can be kept from them, one source at a time, to see what each
 * is worth.
 */
import * as gateway from '@toucanproxy/core/gateway';
import * as datagramNetwork from '@toucanproxy/core/mocks/datagram-network';
import * as callDraw from './call-draw.js';
import * as engineModel from './engine-model.js';
import * as loadPattern from './load-pattern.js';
import * as replayCalls from './replay-calls.js';
import * as replayTally from './replay-tally.js';
import * as replayWorld from './replay-world.js';

const TICK_MS = 5;
const MS_PER_SECOND = 1000;

/** Hands a request to an engine, if it can be reached. */
function startRun(
  world: replayWorld.World,
  live: replayWorld.Live,
  server: gateway.BackendServerEntry,
): void {
  const engineId = server.id;
  const engine = world.engines.find(({ id }) => id === engineId) as engineModel.EngineModel;
  const { attemptId } = live.request.arrived;
  if (world.nowMs < engine.goneUntilMs) {
    replayCalls.endFailed(world, attemptId, gateway.AttemptFault.UNREACHABLE);
    return;
  }
  if (world.nowMs < engine.failsUntilMs) {
    if (!world.options.knowledge.failures) {
      world.states.forEach((state) => gateway.forgetServer(state, engineId, false, world.nowMs));
    }
    replayCalls.endFailed(world, attemptId, gateway.AttemptFault.FAILED);
    return;
  }
  const isOwn = world.states[live.gateway].failureDomain === server.failureDomain;
  world.result.ownPlacements += Number(isOwn);
  world.result.otherPlacements += Number(!isOwn);
  const { promptTokens, kind } = live.call;
  const { answerTokens } = kind;
  engineModel.addRun(engine, { id: attemptId, promptTokens, answerTokens }, world.nowMs);
  const atEngine = engine.running.length + engine.waiting.length;
  world.result.mostAtEngine = Math.max(world.result.mostAtEngine, atEngine);
}

/** Carries out what a gateway has decided. */
function applyAssignments(
  world: replayWorld.World,
  assignments: readonly gateway.Assignment[],
): void {
  assignments.forEach((assignment) => {
    const { attemptId } = assignment.request.arrived;
    const live = world.live.get(attemptId);
    if (live === undefined) {
      return;
    }
    if (assignment.kind === 'send') {
      startRun(world, live, assignment.server);
    } else if (assignment.kind === 'refuse') {
      world.live.delete(attemptId);
      replayCalls.endRefused(world, live.call, assignment.refusal.retryAfterMs);
    }
  });
}

/** Lets a gateway do what it can do now. */
function advance(world: replayWorld.World, state: gateway.GatewayState): void {
  const clocks = replayWorld.readClocks(world);
  if (world.options.knowledge.recentUse === false) {
    state.services.forEach(({ use }) => use.clear());
  }
  const { assignments, outgoing } = gateway.advance(state, clocks);
  datagramNetwork.sendDatagrams(world.network, state.address, outgoing, world.nowMs);
  applyAssignments(world, assignments);
}

/** Delivers the datagrams that arrive in this tick, each at its time. */
function deliverDatagrams(world: replayWorld.World): void {
  const tickMs = world.nowMs;
  const byAddress = new Map(replayWorld.listUp(world).map((state) => [state.address, state]));
  let next = datagramNetwork.takeNextDue(world.network, tickMs + TICK_MS);
  while (next !== undefined) {
    const { content, dueMs } = next;
    const state = byAddress.get(content.to);
    world.nowMs = Math.max(dueMs, tickMs);
    if (state !== undefined && content.kind === 'ask') {
      const { ask } = content;
      if (world.options.knowledge.hidesWork === true) {
        ask.inFlight.forEach((use) => {
          use.unreadTokens = undefined;
          use.answerTokens = undefined;
        });
      }
      gateway.receiveAsk(state, ask, world.nowMs);
      advance(world, state);
    } else if (state !== undefined && content.kind === 'reply') {
      const clocks = replayWorld.readClocks(world);
      applyAssignments(world, gateway.applyReply(state, content.reply, clocks));
      advance(world, state);
    }
    next = datagramNetwork.takeNextDue(world.network, tickMs + TICK_MS);
  }
  world.nowMs = tickMs;
}

/** Lets all gateways do what they can do now. */
function advanceAll(world: replayWorld.World): void {
  replayWorld.listUp(world).forEach((state) => {
    gateway.noteConfirmed(state.lease, replayWorld.readClocks(world));
    advance(world, state);
  });
}

/** Tells the gateways of the first events that have come. */
function noteFirstEvents(world: replayWorld.World, engine: engineModel.EngineModel): void {
  engineModel.takeBegun(engine, world.nowMs).forEach((run) => {
    const live = world.live.get(run.id);
    if (live !== undefined && world.options.knowledge.firstEvents) {
      const state = world.states[live.gateway];
      gateway.noteFirstEvent(state, live.request, run.firstMs - run.startedMs, world.nowMs);
    }
  });
}

/** Ends the runs that are over, and tells the gateways what was seen of them. */
function endRuns(world: replayWorld.World, engine: engineModel.EngineModel): void {
  const { knowledge } = world.options;
  noteFirstEvents(world, engine);
  const eventMs = engineModel.computeEventMs(engine);
  engineModel.takeEnded(engine, world.nowMs).forEach((run) => {
    const live = world.live.get(run.id);
    if (live === undefined) {
      return;
    }
    world.live.delete(run.id);
    const state = world.states[live.gateway];
    replayTally.noteServed(world, live.call, run);
    world.result.calmServed[live.gateway] += Number(replayTally.isCalm(world));
    if (knowledge.paces) {
      const unitMs = engine.prompts.isChunked ? engineModel.computeMeanEventMs(run) : eventMs;
      gateway.noteUnit(state, live.request, unitMs, world.nowMs);
    }
    gateway.noteGoodAnswer(state, live.request, world.nowMs);
    gateway.endRequest(state, live.request);
  });
}

/** Passes the reports of all gateways to each other. */
function passReports(world: replayWorld.World): void {
  world.sequence += 1;
  const { sequence } = world;
  const up = replayWorld.listUp(world);
  const reports = up.map((state) => ({
    address: state.address,
    life: state.life,
    sequence,
    leaving: false,
    used: new Map<string, number>(),
    processorPercent: state.processorPercent,
    configurationVersion: 1,
    peers: [],
  }));
  up.forEach((state) =>
    reports
      .filter(({ address }) => address !== state.address)
      .forEach((report) => gateway.applyReport(state.peers, report, world.nowMs)),
  );
}

/** Kills the gateway that schedules the longest queue. */
function stopScheduler(world: replayWorld.World, forMs: number): void {
  const lengths = world.states.map(({ scheduler }) =>
    [...scheduler.cells.values()].reduce((sum, { queue }) => sum + queue.items.length, 0),
  );
  const killed = lengths.indexOf(Math.max(...lengths));
  world.downUntilMs[killed] = world.nowMs + forMs;
  world.live.forEach(({ call, gateway: index }, id) => {
    if (index === killed) {
      world.live.delete(id);
      replayCalls.endRefused(world, call, 1);
    }
  });
  world.states[killed] = replayWorld.startGateway(world, killed);
}

/** Carries out what happens to the fleet now. */
function applyEvent(world: replayWorld.World, event: loadPattern.FleetEvent): void {
  if (event.kind === 'gatewaysRestart') {
    world.live.forEach(({ call }) => replayCalls.endRefused(world, call, 1));
    world.live.clear();
    world.engines.forEach((engine) => engineModel.takeAll(engine));
    world.states = world.states.map((_, index) => replayWorld.startGateway(world, index));
    return;
  }
  if (event.kind === 'schedulerLost') {
    stopScheduler(world, event.forMs);
    return;
  }
  const count = Math.round(event.share * world.engines.length);
  world.engines.slice(0, count).forEach((engine) => {
    if (event.kind === 'enginesSlow') {
      engine.slowness *= event.factor;
      return;
    }
    if (event.kind === 'enginesFail') {
      engine.failsUntilMs = world.nowMs + event.forMs;
      return;
    }
    engine.goneUntilMs = world.nowMs + event.forMs;
    engineModel
      .takeAll(engine)
      .forEach(({ id }) => replayCalls.endFailed(world, id, gateway.AttemptFault.BROKEN));
  });
}

/** Draws the calls of one tick. */
function drawCalls(world: replayWorld.World): void {
  const { pattern, engines } = world.options;
  const factor = callDraw.computeFactor(pattern, world.nowMs);
  const mean = (pattern.computeRate(world.nowMs) * factor * engines * TICK_MS) / MS_PER_SECOND;
  let left = mean;
  while (world.drawCall() < left) {
    left -= 1;
    const kind = callDraw.drawKind(world);
    const workspace = callDraw.drawWorkspace(world);
    const id = `c${world.result.quietAsked}-${world.sequence}-${world.drawCall()}`;
    const promptTokens = loadPattern.drawPromptTokens(kind, world.drawCall);
    const { nowMs } = world;
    const call = {
      id,
      kind,
      workspace,
      promptTokens,
      firstSentMs: nowMs,
      tries: 0,
      dueMs: nowMs,
      isCounted: nowMs < (pattern.countedUntilMs ?? Infinity),
    };
    replayTally.addToResult(world, call, 'asked');
    replayTally.addWork(world, call, 'asked');
    world.result.quietAsked += Number(replayTally.isQuiet(world, call));
    world.due.push(call);
  }
}

/** Sends the calls that are due. */
function sendDue(world: replayWorld.World): void {
  const due = world.due.filter(({ dueMs }) => dueMs <= world.nowMs);
  world.due = world.due.filter(({ dueMs }) => dueMs > world.nowMs);
  due.forEach((call) => replayCalls.sendCall(world, call));
}

/** Adds the slots in use in this tick to their mean over the time in which calls arrive. */
function noteSlotsInUse({ engines, options, result, nowMs }: replayWorld.World): void {
  const used = engines.reduce((sum, { running }) => sum + running.length, 0);
  if (options.pattern.computeRate(nowMs) > 0) {
    result.ticks += 1;
    result.slotsInUse += used / (engines.length * options.slots);
  }
}

/** Replays a load. */
export function runReplay(options: replayWorld.ReplayOptions): replayWorld.ReplayResult {
  const world = replayWorld.createWorld(options);
  const { pattern, knowledge } = options;
  const events = [...pattern.events];
  while (world.nowMs < pattern.durationMs) {
    while (events.length > 0 && events[0].atMs <= world.nowMs) {
      applyEvent(world, events.shift() as loadPattern.FleetEvent);
    }
    drawCalls(world);
    world.engines.forEach((engine) => endRuns(world, engine));
    sendDue(world);
    if (knowledge.reports && world.nowMs % gateway.REPORT_MS === 0) {
      passReports(world);
    }
    advanceAll(world);
    deliverDatagrams(world);
    noteSlotsInUse(world);
    world.nowMs += TICK_MS;
  }
  world.result.asks = world.states.reduce((sum, one) => sum + one.schedulingTotals.asks, 0);
  return world.result;
}
