/** Behaviour of an entry that varies, handed in by its daemon, a test or a measurement. */
import * as placement from './placement.js';

/** How a request finds its backend server. */
export type PlacementWay =
  /** The whole request is sent to one backend server, which queues it. */
  | { kind: 'push'; choose: placement.ChooseBackendServer }
  /** Late binding: places are asked for, and the first grant gets the request. */
  | { kind: 'reserve'; plan: placement.PlanAsks; askCount: number };

export type EntryPolicy = {
  way: PlacementWay;
  /** Uniform in [0, 1). */
  drawRandom: () => number;
};

/** Backend servers asked at once under late binding. */
const DEFAULT_ASK_COUNT = 3;

/** Creates the policy that pushes to backend servers in turn. */
export function createRoundRobinPolicy(drawRandom: () => number): EntryPolicy {
  return { way: { kind: 'push', choose: placement.chooseInTurn }, drawRandom };
}

/** Creates the policy that pushes to the better of two by reported load. */
export function createPowerOfTwoChoicesPolicy(drawRandom: () => number): EntryPolicy {
  return { way: { kind: 'push', choose: placement.chooseBetterOfTwo }, drawRandom };
}

/** Creates the policy that pushes by own outstanding tokens over measured speed. */
export function createLeastOutstandingPolicy(drawRandom: () => number): EntryPolicy {
  return { way: { kind: 'push', choose: placement.chooseLeastOutstanding }, drawRandom };
}

/** Creates the policy of late binding, the default. */
export function createLateBindingPolicy(
  drawRandom: () => number,
  askCount = DEFAULT_ASK_COUNT,
): EntryPolicy {
  return { way: { kind: 'reserve', plan: placement.selectLeastDelay, askCount }, drawRandom };
}
