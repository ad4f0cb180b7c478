/** State of the invariant checks on a virtual fleet. */
import * as invariant from './invariant.js';
import * as fleetState from './mocks/fleet-state.js';

export type Checker = {
  fleet: fleetState.VirtualFleet | undefined;
  violations: invariant.Violation[];
  /** Starts on engines, by attempt. */
  startsByRef: Map<string, number>;
  /** Starts on engines, by request id. */
  startsByRequest: Map<string, number>;
  /** Starts on engines of requests that may run only once, by content. */
  startsByContent: Map<string, number>;
  /** Ids of requests that were reported to their caller as not run. */
  reportedNotRun: Set<string>;
  /** When a key was first reported as not run, by content. */
  keyReportedNotRunMs: Map<string, number>;
  /** When a request arrived at an entry, by request id. */
  arrivedMs: Map<string, number>;
  /** Since when an agent is leaving, by agent and incarnation. */
  leavingSinceMs: Map<string, number>;
  /** Active document version, by process and incarnation. */
  versionsByIncarnation: Map<string, number>;
};

/** Creates a checker without a fleet; the caller sets the fleet once it has been created. */
export function createChecker(): Checker {
  return {
    fleet: undefined,
    violations: [],
    startsByRef: new Map(),
    startsByRequest: new Map(),
    startsByContent: new Map(),
    reportedNotRun: new Set(),
    keyReportedNotRunMs: new Map(),
    arrivedMs: new Map(),
    leavingSinceMs: new Map(),
    versionsByIncarnation: new Map(),
  };
}

/** Records a violation of an invariant unless the condition holds. */
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
