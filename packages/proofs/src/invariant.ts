/** The invariants that are checked on a virtual fleet, and the record of a violation. */

export enum Invariant {
  /** An attempt is started at most once on all engines together. */
  ATTEMPT_STARTED_ONCE = 'attempt-started-once',
  /** A request that must not be retried is dispatched at most once in all its attempts. */
  DISPATCHED_ONCE = 'dispatched-once',
  /** A request that was reported as not run has not been started and never will be. */
  NOT_RUN_IS_TRUE = 'not-run-is-true',
  /** A call gets exactly one final outcome, and nothing after it. */
  ONE_FINAL_ANSWER = 'one-final-answer',
  /** A response is the engine's output for this very request: complete, or a prefix if it failed. */
  OWN_WHOLE_ANSWER = 'own-whole-answer',
  /** A leaving backend server starts no request later than a time limit. */
  NO_START_AFTER_LEAVING = 'no-start-after-leaving',
  /** An entry offers no request to a backend server that it knows to be leaving. */
  NO_OFFER_TO_LEAVING = 'no-offer-to-leaving',
  /** The active document version never decreases within one incarnation of a process. */
  VERSION_NEVER_DOWN = 'version-never-down',
  /** The newest document is active in every process once faults are over. */
  VERSION_SPREADS = 'version-spreads',
  /** No process sheds a request while it holds a less urgent one that has not started. */
  SHED_LEAST_URGENT = 'shed-least-urgent',
  /** A graceful shutdown aborts no request that is in progress. */
  SHUTDOWN_CUTS_NOTHING = 'shutdown-cuts-nothing',
  /** A process has reported that one of its internal invariants is violated. */
  PROGRAM_INVARIANT = 'program-invariant',
}

export type Violation = { invariant: Invariant; atMs: number; detail: string };
