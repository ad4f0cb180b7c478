/**
 * The replaceable part of an entry's behavior, passed in by the daemon, a test or
 * a measurement.
 */
import * as placement from './placement.js';

/** How the backend server of a request is chosen. */
export type PlacementStrategy =
  /** The complete request is sent to one backend server, which queues it. */
  | { kind: 'push'; choose: placement.ChooseBackendServer }
  /**
   * Late binding: several backend servers are asked for a slot, and the first to
   * grant one gets the request.
   */
  | { kind: 'reserve'; plan: placement.PlanReservations; reservationCount: number };

export type EntryPolicy = {
  strategy: PlacementStrategy;
  /** Returns a uniform random number in [0, 1). */
  drawRandom: () => number;
};

/** Backend servers that are asked at the same time under late binding. */
const DEFAULT_RESERVATION_COUNT = 3;

/** Creates the policy that pushes to backend servers in round-robin order. */
export function createRoundRobinPolicy(drawRandom: () => number): EntryPolicy {
  return { strategy: { kind: 'push', choose: placement.chooseRoundRobin }, drawRandom };
}

/**
 * Creates the policy that pushes to the less loaded of two random backend
 * servers, by reported load.
 */
export function createPowerOfTwoChoicesPolicy(drawRandom: () => number): EntryPolicy {
  return { strategy: { kind: 'push', choose: placement.choosePowerOfTwoChoices }, drawRandom };
}

/**
 * Creates the policy that pushes to the backend server that has least work from
 * this entry, relative to its measured speed.
 */
export function createLeastOutstandingPolicy(drawRandom: () => number): EntryPolicy {
  return { strategy: { kind: 'push', choose: placement.chooseLeastOutstanding }, drawRandom };
}

/** Creates the default policy, late binding. */
export function createLateBindingPolicy(
  drawRandom: () => number,
  reservationCount = DEFAULT_RESERVATION_COUNT,
): EntryPolicy {
  return {
    strategy: { kind: 'reserve', plan: placement.selectLeastDelay, reservationCount },
    drawRandom,
  };
}
