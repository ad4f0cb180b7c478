/** Health of one backend server: its speed and failures, as reported by the gateways. */
import * as enginePace from './engine-pace.js';
import * as addedLatency from './added-latency.js';

export type ServerHealth = {
  pace: enginePace.EnginePace;
  addedLatency: addedLatency.AddedLatency;
  failuresInRow: number;
  /** Receives no new requests until this time, milliseconds; 0 if it was never paused. */
  pausedUntilMs: number;
  /** When a gateway last failed to reach it, milliseconds; `-Infinity` if none did. */
  unreachableMs: number;
  /** Number of responses; older ones count less. */
  answers: number;
  /** Number of failed responses among them, decayed in the same way. */
  failures: number;
  /** Ejected for its failures until this time, milliseconds; 0 if it was never ejected. */
  ejectedUntilMs: number;
  /** Ejections since the last successful response. */
  ejections: number;
};

/** Decay of the counts with each response; about the last twenty responses matter. */
const DECAY_FACTOR = 0.95;
/** Pause after the first failure to connect, milliseconds; doubles with each further one. */
const FIRST_PAUSE_MS = 250;
/**
 * Longest pause, milliseconds. A crashed backend server is back after a few seconds, and a
 * premature attempt costs only one connection.
 */
export const MAX_PAUSE_MS = 2000;

/** A backend server is ejected when at least this share of its recent responses failed. */
const EJECTION_FAILURE_SHARE = 0.5;
/**
 * Minimum decayed number of responses for an ejection. Because older responses count slightly less
 * than one, a fourth failure in a row is needed; two or three may be a coincidence.
 */
const MIN_EJECTION_ANSWERS = 3;
/** Duration of the first ejection, milliseconds; doubles with each further ejection. */
const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4000;

/** Creates the record of a backend server that has not been used yet. */
export function createServerHealth(): ServerHealth {
  return {
    pace: enginePace.createPace(),
    addedLatency: addedLatency.createAddedLatency(),
    failuresInRow: 0,
    pausedUntilMs: 0,
    unreachableMs: -Infinity,
    answers: 0,
    failures: 0,
    ejectedUntilMs: 0,
    ejections: 0,
  };
}

/** Records a good or failed response that the backend server itself produced. */
export function recordAnswer(health: ServerHealth, good: boolean, now: number): void {
  health.answers = DECAY_FACTOR * health.answers + 1;
  health.failures = DECAY_FACTOR * health.failures + (good ? 0 : 1);
  if (good) {
    health.failuresInRow = 0;
    health.ejections = 0;
    return;
  }
  const isFailing =
    computeFailureShare(health) >= EJECTION_FAILURE_SHARE && health.answers >= MIN_EJECTION_ANSWERS;
  if (isFailing && now >= health.ejectedUntilMs) {
    health.ejectedUntilMs =
      now + Math.min(FIRST_EJECTION_MS * 2 ** health.ejections, MAX_EJECTION_MS);
    health.ejections += 1;
  }
}

/**
 * Reports whether a backend server is excluded because of its failures.
 *
 * A server that fails every request immediately always has the fewest requests in flight and
 * would therefore attract the requests of all others. After the ejection ends it gets one request
 * at a time until one succeeds.
 *
 * @param inFlight requests in flight at the server
 */
export function isEjected(health: ServerHealth, inFlight: number, now: number): boolean {
  return now < health.ejectedUntilMs || (health.ejections > 0 && inFlight > 0);
}

/** Computes the share of recent responses that failed, 0 to 1. */
export function computeFailureShare(health: ServerHealth): number {
  return health.answers === 0 ? 0 : health.failures / health.answers;
}

/**
 * Pauses a backend server that could not be reached or refused a request.
 *
 * Without the pause every waiting request would be sent to it in turn, because an idle backend
 * server looks like the best choice.
 */
export function pauseServer(health: ServerHealth, now: number): void {
  const pauseMs = Math.min(FIRST_PAUSE_MS * 2 ** health.failuresInRow, MAX_PAUSE_MS);
  health.failuresInRow += 1;
  health.pausedUntilMs = Math.max(health.pausedUntilMs, now + pauseMs);
}

/**
 * Records that a backend server could not be reached. It may have crashed and may need to warm up
 * after its restart, which its store entry shows only seconds later.
 */
export function noteUnreachable(health: ServerHealth, now: number): void {
  health.unreachableMs = now;
  pauseServer(health, now);
}

/** Reports whether a backend server is paused. */
export function isPaused(health: ServerHealth, now: number): boolean {
  return now < health.pausedUntilMs;
}
