/** Sends the calls of a replay to gateways, and lets those that are refused return. */
import * as gateway from '@toucanproxy/core/gateway';
import * as replayTally from './replay-tally.js';
import * as replayWorld from './replay-world.js';

const MAX_TRIES = 2;
/** A caller waits for at most this share of the time that it has left. */
const RETURN_SHARE = 1 / 3;

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
export function endRefused(
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
function pickGateway(world: replayWorld.World): number {
  const { draw, states, options } = world;
  const drawn = Math.floor(draw() ** options.pattern.skew * states.length);
  return replayWorld.isUp(world, drawn) ? drawn : (drawn + 1) % states.length;
}

/** Sends a call to a gateway that the balancer draws. */
export function sendCall(world: replayWorld.World, call: replayWorld.Call): void {
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
      tokens: { prompt: call.promptTokens, answer: kind.answerTokens },
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
export function endFailed(world: replayWorld.World, id: string, fault: gateway.AttemptFault): void {
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
