/** The invariants by name, and what a broken one looks like. */

export enum Invariant {
  /** An attempt is started at most once, over all engines. */
  ATTEMPT_STARTED_ONCE = 'attempt-started-once',
  /** A request that may not be repeated is dispatched at most once, over all attempts. */
  DISPATCHED_ONCE = 'dispatched-once',
  /** What was told as not run has not been started and never will be. */
  NOT_RUN_IS_TRUE = 'not-run-is-true',
  /** A call gets one final answer and nothing after it. */
  ONE_FINAL_ANSWER = 'one-final-answer',
  /** An answer is the engine's output for the caller's own content, whole. */
  OWN_WHOLE_ANSWER = 'own-whole-answer',
  /** A leaving backend server starts nothing new after the bound. */
  NO_START_AFTER_LEAVING = 'no-start-after-leaving',
  /** An entry offers nothing to a backend server that it knows as leaving. */
  NO_OFFER_TO_LEAVING = 'no-offer-to-leaving',
  /** The version in force in one life of a process never goes down. */
  VERSION_NEVER_DOWN = 'version-never-down',
  /** The newest document is in force everywhere once faults are over. */
  VERSION_SPREADS = 'version-spreads',
  /** No process sheds a request while it holds unstarted less urgent work. */
  SHED_LEAST_URGENT = 'shed-least-urgent',
  /** A graceful shutdown ends nothing that is in progress. */
  SHUTDOWN_CUTS_NOTHING = 'shutdown-cuts-nothing',
  /** The program found one of its own invariants broken. */
  PROGRAM_INVARIANT = 'program-invariant',
}

export type Violation = { invariant: Invariant; atMs: number; detail: string };
