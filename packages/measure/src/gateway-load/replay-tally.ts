/** Counts what became of the calls of a replay. */
import * as replayWorld from './replay-world.js';

/** Workspaces that send more than usual; their numbers are the first ones. */
export const HOT_WORKSPACES = 2;

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
  { result }: replayWorld.World,
  call: replayWorld.Call,
  field: keyof replayWorld.KindResult,
): void {
  if (!call.isCounted) {
    return;
  }
  addToKind(result.byKind, call.kind.name, field);
  if (isQuiet(call)) {
    addToKind(result.quietByKind, call.kind.name, field);
  }
}

/** Tells whether a call is of a workspace that sends no more than usual. */
export function isQuiet({ workspace }: replayWorld.Call): boolean {
  return workspace >= HOT_WORKSPACES;
}

/** Tells whether the worst of the load has been over for some time. */
export function isCalm({ options, nowMs }: replayWorld.World): boolean {
  return nowMs >= options.pattern.calmFromMs;
}

/** Counts a call that was served: when its first event came, and the last one. */
export function noteServed(
  world: replayWorld.World,
  call: replayWorld.Call,
  firstMs: number,
  endMs: number,
): void {
  const { returns } = world.options.pattern;
  const deadlineMs = replayWorld.getDeadlineMs(world.options.pattern, call.kind.name);
  if (returns !== undefined && endMs - call.firstSentMs > deadlineMs) {
    addToResult(world, call, 'failed');
    return;
  }
  const isInTime = firstMs - call.firstSentMs <= call.kind.targetMs;
  addToResult(world, call, isInTime ? 'inTime' : 'late');
  if (!isInTime && call.tries > 1) {
    addToResult(world, call, 'lateAfterReturn');
  }
  world.result.quietInTime += Number(isInTime && isQuiet(call));
}
