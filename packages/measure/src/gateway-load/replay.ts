/**
 * Replays a load through the gateways' decisions, in virtual time.
 *
 * The decisions are the product's own; engines, callers and the network are models.
 * What gateways learn can be kept from them, one source at a time, to see what each
 * is worth.
 */
import * as gateway from '@toucanproxy/core/gateway';
import * as datagramNetwork from '@toucanproxy/core/mocks/datagram-network';
import * as engineModel from './engine-model.js';
import * as loadPattern from './load-pattern.js';
import * as replayTally from './replay-tally.js';
import * as replayWorld from './replay-world.js';

const TICK_MS = 5;
const MAX_TRIES = 2;
/** A caller waits for at most this share of the time that it has left. */
const RETURN_SHARE = 1 / 3;
const MS_PER_SECOND = 1000;

/** Computes after which time a caller returns that was told a time, milliseconds. */
function computeReturnMs(
  world: replayWorld.World,
  { kind, firstSentMs }: replayWorld.Call,
  retryAfterMs: number,
): number {
  const { pattern } = world.options;
  if (pattern.returns === undefined) {
    return retryAfterMs;
  }
  const leftMs = replayWorld.getDeadlineMs(pattern, kind.name) - (world.nowMs - firstSentMs);
  return world.draw() < pattern.returns.atOnceShare
    ? 0
    : Math.min(retryAfterMs, leftMs * RETURN_SHARE);
}

/** Lets a call that was refused come back, or counts it as failed. */
function endRefused(
  world: replayWorld.World,
  call: replayWorld.Call,
  retryAfterMs: number | undefined,
): void {
  replayTally.addToResult(world, call, call.tries >= MAX_TRIES ? 'refusedTwice' : 'refused');
  if (retryAfterMs === undefined || call.tries >= MAX_TRIES) {
    replayTally.addToResult(world, call, 'failed');
    return;
  }
  world.due.push({ ...call, dueMs: world.nowMs + computeReturnMs(world, call, retryAfterMs) });
}

/** Draws a gateway as a balancer does that knows no load: some get more than others. */
function pickGateway({ draw, states, options }: replayWorld.World): number {
  return Math.floor(draw() ** options.pattern.skew * states.length);
}

/** Sends a call to a gateway that the balancer draws. */
function sendCall(world: replayWorld.World, call: replayWorld.Call): void {
  const index = pickGateway(world);
  world.result.calmTries[index] += Number(replayTally.isCalm(world));
  const state = world.states[index];
  const { kind } = call;
  const tried = { ...call, tries: call.tries + 1 };
  const deadlineMs = replayWorld.getDeadlineMs(world.options.pattern, kind.name);
  replayTally.addToResult(world, call, 'tries');
  const id = `${call.id}.${tried.tries}`;
  const intake = gateway.admitRequest(
    state,
    {
      attemptId: id,
      host: 'h',
      path: `/${kind.name}/x`,
      credential: `key-${call.workspace}`,
      deadlineMs: deadlineMs - (world.nowMs - call.firstSentMs),
      tokens: { prompt: kind.promptTokens, answer: kind.answerTokens },
      answerGuess: undefined,
      hashContent: () => call.id,
    },
    replayWorld.readClocks(world),
  );
  if (intake.kind === 'refused') {
    endRefused(world, tried, intake.refusal.retryAfterMs);
    return;
  }
  world.live.set(id, { call: tried, gateway: index, request: intake.request });
}

/** Ends an attempt that failed. */
function endFailed(world: replayWorld.World, id: string, fault: gateway.AttemptFault): void {
  const live = world.live.get(id);
  if (live === undefined) {
    return;
  }
  const state = world.states[live.gateway];
  const progress = { hasBegun: false, canResume: true };
  const clocks = replayWorld.readClocks(world);
  const verdict = gateway.handleAttemptFault(state, live.request, fault, progress, clocks);
  if (verdict.kind === 'again') {
    return;
  }
  world.live.delete(id);
  const advice = verdict.kind === 'refuse' ? verdict.refusal.retryAfterMs : undefined;
  endRefused(world, live.call, advice);
}

/** Hands a request to an engine, if it can be reached. */
function startRun(world: replayWorld.World, live: replayWorld.Live, engineId: string): void {
  const engine = world.engines.find(({ id }) => id === engineId) as engineModel.EngineModel;
  const { attemptId } = live.request.arrived;
  if (world.nowMs < engine.goneUntilMs) {
    endFailed(world, attemptId, gateway.AttemptFault.UNREACHABLE);
    return;
  }
  if (world.nowMs < engine.failsUntilMs) {
    if (!world.options.knowledge.failures) {
      world.states.forEach((state) => gateway.forgetServer(state, engineId));
    }
    endFailed(world, attemptId, gateway.AttemptFault.FAILED);
    return;
  }
  const { promptTokens, answerTokens } = live.call.kind;
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
      startRun(world, live, assignment.server.id);
    } else if (assignment.kind === 'refuse') {
      world.live.delete(attemptId);
      endRefused(world, live.call, assignment.refusal.retryAfterMs);
    }
  });
}

/** Lets a gateway do what it can do now. */
function advance(world: replayWorld.World, state: gateway.GatewayState): void {
  const clocks = replayWorld.readClocks(world);
  const { assignments, outgoing } = gateway.advance(state, clocks);
  datagramNetwork.sendDatagrams(world.network, state.address, outgoing, world.nowMs);
  applyAssignments(world, assignments);
}

/** Delivers the datagrams that arrive in this tick, each at its time. */
function deliverDatagrams(world: replayWorld.World): void {
  const tickMs = world.nowMs;
  const byAddress = new Map(world.states.map((state) => [state.address, state]));
  let next = datagramNetwork.takeNextDue(world.network, tickMs + TICK_MS);
  while (next !== undefined) {
    const { content, dueMs } = next;
    const state = byAddress.get(content.to);
    world.nowMs = Math.max(dueMs, tickMs);
    if (state !== undefined && content.kind === 'ask') {
      gateway.receiveAsk(state, content.ask, world.nowMs);
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
  world.states.forEach((state) => {
    gateway.noteConfirmed(state.lease, replayWorld.readClocks(world));
    advance(world, state);
  });
}

/** Ends the runs that are over, and tells the gateways what was seen of them. */
function endRuns(world: replayWorld.World, engine: engineModel.EngineModel): void {
  const { knowledge } = world.options;
  const eventMs = engineModel.computeEventMs(engine);
  engineModel.takeEnded(engine, world.nowMs).forEach((run) => {
    const live = world.live.get(run.id);
    if (live === undefined) {
      return;
    }
    world.live.delete(run.id);
    const state = world.states[live.gateway];
    replayTally.noteServed(world, live.call, run.firstMs, run.endMs);
    world.result.calmServed[live.gateway] += Number(replayTally.isCalm(world));
    if (knowledge.firstEvents) {
      gateway.noteFirstEvent(state, live.request, run.firstMs - run.startedMs, world.nowMs);
    }
    if (knowledge.paces) {
      gateway.noteUnit(state, live.request, eventMs, world.nowMs);
    }
    gateway.noteGoodAnswer(state, live.request, world.nowMs);
    gateway.endRequest(state, live.request);
  });
}

/** Passes the reports of all gateways to each other. */
function passReports(world: replayWorld.World): void {
  world.sequence += 1;
  const { sequence } = world;
  const reports = world.states.map((state) => ({
    address: state.address,
    life: state.life,
    sequence,
    leaving: false,
    used: new Map<string, number>(),
    processorPercent: state.processorPercent,
    configurationVersion: 1,
    peers: [],
  }));
  world.states.forEach((state) =>
    reports
      .filter(({ address }) => address !== state.address)
      .forEach((report) => gateway.applyReport(state.peers, report, world.nowMs)),
  );
}

/** Carries out what happens to the fleet now. */
function applyEvent(world: replayWorld.World, event: loadPattern.FleetEvent): void {
  if (event.kind === 'gatewaysRestart') {
    world.live.forEach(({ call }) => endRefused(world, call, 1));
    world.live.clear();
    world.engines.forEach((engine) => engineModel.takeAll(engine));
    world.states = world.states.map((_, index) => replayWorld.startGateway(world, index));
    return;
  }
  const count = Math.round(event.share * world.engines.length);
  world.engines.slice(0, count).forEach((engine) => {
    if (event.kind === 'enginesFail') {
      engine.failsUntilMs = world.nowMs + event.forMs;
      return;
    }
    engine.goneUntilMs = world.nowMs + event.forMs;
    engineModel
      .takeAll(engine)
      .forEach(({ id }) => endFailed(world, id, gateway.AttemptFault.BROKEN));
  });
}

/** Draws the calls of one tick. */
function drawCalls(world: replayWorld.World): void {
  const { pattern, engines } = world.options;
  const shares = loadPattern.listShares(pattern, world.nowMs);
  const total = shares.reduce((sum, share) => sum + share, 0);
  const rate = pattern.computeRate(world.nowMs) * (pattern.computeKindFactor ? total : 1);
  const mean = (rate * engines * TICK_MS) / MS_PER_SECOND;
  let left = mean;
  while (world.drawArrival() < left) {
    left -= 1;
    const luck = world.drawArrival() * (pattern.computeKindFactor ? total : 1);
    let below = 0;
    const kind =
      loadPattern.KINDS.find((_, index) => {
        below += shares[index];
        return luck < below;
      }) ?? loadPattern.KINDS[0];
    const isHot = world.drawArrival() < pattern.hotShare;
    const workspace = Math.floor(
      world.drawArrival() * (isHot ? replayTally.HOT_WORKSPACES : replayWorld.WORKSPACES),
    );
    const id = `c${world.result.quietAsked}-${world.sequence}-${world.drawArrival()}`;
    const call = {
      id,
      kind,
      workspace,
      firstSentMs: world.nowMs,
      tries: 0,
      dueMs: world.nowMs,
      isCounted: world.nowMs < (pattern.countedUntilMs ?? Infinity),
    };
    replayTally.addToResult(world, call, 'asked');
    world.result.quietAsked += Number(replayTally.isQuiet(call));
    world.due.push(call);
  }
}

/** Sends the calls that are due. */
function sendDue(world: replayWorld.World): void {
  const due = world.due.filter(({ dueMs }) => dueMs <= world.nowMs);
  world.due = world.due.filter(({ dueMs }) => dueMs > world.nowMs);
  due.forEach((call) => sendCall(world, call));
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
    world.nowMs += TICK_MS;
  }
  return world.result;
}
