/** Draws the kind, the size and the workspace of a call. */
import * as loadPattern from './load-pattern.js';
import * as replayTally from './replay-tally.js';
import * as replayWorld from './replay-world.js';

/** Part of the prompts that are long if sizes are skewed, and their size to that of the others. */
const LONG_SHARE = 0.1;
const LONG_FACTOR = 9;

/** Computes the share of a kind in the usual load, at a time. */
function computeKindShare(
  { computeKindFactor }: loadPattern.LoadPattern,
  kind: loadPattern.RequestKind,
  atMs: number,
): number {
  return kind.share * (computeKindFactor?.(kind, atMs) ?? 1);
}

/** Lists the loads of the workspaces in multiples of the usual one, at a time. */
function listLoads({ workspaces }: loadPattern.LoadPattern, atMs: number): number[] {
  const isHot = atMs >= loadPattern.BURST_FROM_MS && atMs < loadPattern.BURST_UNTIL_MS;
  const { hot, hotFactor } = workspaces ?? { hot: 0, hotFactor: 1 };
  return Array.from({ length: replayWorld.WORKSPACES }, (_, index) =>
    isHot && index < hot ? hotFactor : 1,
  );
}

/** Computes the factor of all kinds and workspaces together on the usual load. */
export function computeFactor(pattern: loadPattern.LoadPattern, atMs: number): number {
  const loads = listLoads(pattern, atMs);
  const workspaces = loads.reduce((sum, one) => sum + one, 0) / loads.length;
  const kinds =
    pattern.computeKindFactor === undefined
      ? 1
      : loadPattern
          .listKinds(pattern)
          .reduce((sum, kind) => sum + computeKindShare(pattern, kind, atMs), 0);
  return kinds * workspaces;
}

/** Draws the size of the prompt of a call. */
function drawSize(
  { drawCall, options }: replayWorld.World,
  kind: loadPattern.RequestKind,
): loadPattern.RequestKind {
  if (options.pattern.workspaces?.isSkewed !== true) {
    return kind;
  }
  const usual = kind.promptTokens / (1 - LONG_SHARE + LONG_SHARE * LONG_FACTOR);
  const promptTokens = Math.round(drawCall() < LONG_SHARE ? usual * LONG_FACTOR : usual);
  return { ...kind, promptTokens };
}

/** Draws the kind of a call. */
export function drawKind(world: replayWorld.World): loadPattern.RequestKind {
  const { pattern } = world.options;
  const shares = loadPattern
    .listKinds(pattern)
    .map((kind) => computeKindShare(pattern, kind, world.nowMs));
  const all = pattern.computeKindFactor === undefined ? 1 : shares.reduce((a, b) => a + b, 0);
  const luck = world.drawCall() * all;
  let below = 0;
  const kind =
    loadPattern.listKinds(world.options.pattern).find((_, index) => {
      below += shares[index];
      return luck < below;
    }) ?? loadPattern.listKinds(world.options.pattern)[0];
  return drawSize(world, kind);
}

/** Draws the workspace of a call. */
export function drawWorkspace({ drawCall, options, nowMs }: replayWorld.World): number {
  const { pattern } = options;
  if (pattern.workspaces === undefined) {
    const isHot = drawCall() < pattern.hotShare;
    return Math.floor(drawCall() * (isHot ? replayTally.HOT_WORKSPACES : replayWorld.WORKSPACES));
  }
  const loads = listLoads(pattern, nowMs);
  let left = drawCall() * loads.reduce((sum, one) => sum + one, 0);
  const drawn = loads.findIndex((load) => {
    left -= load;
    return left < 0;
  });
  return Math.max(drawn, 0);
}
