/** Counts what became of the calls of a replay. */
import type * as engineModel from './engine-model.js';
import * as replayWorld from './replay-world.js';

/** Workspaces that send more than usual; their numbers are the first ones. */
export const HOT_WORKSPACES = 2;
/** Prompt tokens that cost an engine as much as one response token, as gateways estimate it. */
const PROMPT_TOKENS_PER_ANSWER_TOKEN = 19;

/** Adds to a count of a kind. */
function addToKind(
  byKind: Map<string, replayWorld.KindResult>,
  kind: string,
  field: keyof replayWorld.KindResult,
): void {
  const counts = byKind.get(kind) ?? {
    asked: 0,
    inTime: 0,
    late: 0,
    failed: 0,
    paused: 0,
    tries: 0,
    refused: 0,
    refusedTwice: 0,
    lateAfterReturn: 0,
  };
  counts[field] += 1;
  byKind.set(kind, counts);
}

/** Counts a call. */
export function addToResult(
  world: replayWorld.World,
  call: replayWorld.Call,
  field: keyof replayWorld.KindResult,
): void {
  const { result } = world;
  if (!call.isCounted) {
    return;
  }
  addToKind(result.byKind, call.kind.name, field);
  if (isQuiet(world, call)) {
    addToKind(result.quietByKind, call.kind.name, field);
  }
}

/** Counts the work of a call for its workspace. */
export function addWork(
  { result }: replayWorld.World,
  { kind, workspace }: replayWorld.Call,
  field: keyof replayWorld.WorkspaceWork,
): void {
  const work =
    result.workByKind.get(kind.name) ??
    Array.from({ length: replayWorld.WORKSPACES }, () => ({ asked: 0, served: 0 }));
  work[workspace][field] += kind.promptTokens / PROMPT_TOKENS_PER_ANSWER_TOKEN + kind.answerTokens;
  result.workByKind.set(kind.name, work);
}

/** Tells whether a call is of a workspace that sends no more than usual. */
export function isQuiet({ options }: replayWorld.World, { workspace }: replayWorld.Call): boolean {
  return workspace >= (options.pattern.workspaces?.hot ?? HOT_WORKSPACES);
}

/** Tells whether the worst of the load has been over for some time. */
export function isCalm({ options, nowMs }: replayWorld.World): boolean {
  return nowMs >= options.pattern.calmFromMs;
}

/** Counts a call that was served: when its first event came, its pauses, and the last event. */
export function noteServed(
  world: replayWorld.World,
  call: replayWorld.Call,
  { firstMs, endMs, longestPauseMs }: engineModel.EngineRun,
): void {
  const { returns } = world.options.pattern;
  const deadlineMs = replayWorld.getDeadlineMs(world.options.pattern, call.kind.name);
  if (returns !== undefined && endMs - call.firstSentMs > deadlineMs) {
    addToResult(world, call, 'failed');
    return;
  }
  const sinceSentMs = firstMs - call.firstSentMs;
  const isInTime = sinceSentMs <= call.kind.targetMs;
  addWork(world, call, 'served');
  addToResult(world, call, isInTime ? 'inTime' : 'late');
  if (isInTime && longestPauseMs > replayWorld.MAX_PAUSE_MS) {
    addToResult(world, call, 'paused');
  }
  if (!isInTime && call.tries > 1) {
    addToResult(world, call, 'lateAfterReturn');
  }
  const times = world.result.firstMs.get(call.kind.name) ?? [];
  times.push(sinceSentMs);
  world.result.firstMs.set(call.kind.name, times);
  world.result.quietInTime += Number(isInTime && isQuiet(world, call));
}
