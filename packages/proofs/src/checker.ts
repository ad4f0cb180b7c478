/** What is kept while a virtual fleet is checked. */
import * as invariant from './invariant.js';
import * as fleetState from './mocks/fleet-state.js';

export type Checker = {
  fleet: fleetState.VirtualFleet | undefined;
  violations: invariant.Violation[];
  startsByRef: Map<string, number>;
  startsByRequest: Map<string, number>;
  /** Starts on routes that run once. */
  startsByContent: Map<string, number>;
  toldNotRun: Set<string>;
  /** When a key was first told as not run, by content. */
  keyToldMs: Map<string, number>;
  /** When an entry took a request in, by its id. */
  arrivedMs: Map<string, number>;
  leavingSinceMs: Map<string, number>;
  versions: Map<string, number>;
};

/** Creates a checker; its fleet is set once there is one. */
export function createChecker(): Checker {
  return {
    fleet: undefined,
    violations: [],
    startsByRef: new Map(),
    startsByRequest: new Map(),
    startsByContent: new Map(),
    toldNotRun: new Set(),
    keyToldMs: new Map(),
    arrivedMs: new Map(),
    leavingSinceMs: new Map(),
    versions: new Map(),
  };
}

/** Notes a violation unless the condition holds. */
export function expectThat(
  checker: Checker,
  holds: boolean,
  broken: invariant.Invariant,
  describe: () => string,
): void {
  if (!holds) {
    checker.violations.push({
      invariant: broken,
      atMs: checker.fleet?.nowMs ?? 0,
      detail: describe(),
    });
  }
}
