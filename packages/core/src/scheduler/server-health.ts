/** What a scheduler is told of one backend server: its speed and its failures. */
import * as enginePace from './engine-pace.js';
import * as firstDelay from './first-delay.js';

export type ServerHealth = {
  pace: enginePace.Pace;
  firstDelay: firstDelay.FirstDelay;
  failuresInRow: number;
  /** Gets no new work until this time, milliseconds; 0 if never. */
  pausedUntilMs: number;
  /** When it could not be reached last, milliseconds. */
  unreachableMs: number;
  /** Recent answers, and those among them that failed; older ones fade. */
  answers: number;
  failures: number;
  /** Ejected for its failures until this time, milliseconds; 0 if never. */
  ejectedUntilMs: number;
  ejections: number;
};

/** What is kept of earlier answers with each new one: the last twenty or so count. */
const KEPT_SHARE = 0.95;
/** First pause after a failure to connect, milliseconds; doubles with each one. */
const FIRST_PAUSE_MS = 250;
/**
 * Longest pause, milliseconds. A backend server that crashed is back after some
 * seconds; the next try after that costs one connection.
 */
export const LONGEST_PAUSE_MS = 2000;

/** A backend server is ejected where this share of its recent answers failed. */
const EJECT_SHARE = 0.5;
/**
 * Answers that must have been seen for that. Older ones count a little less, so that
 * the fourth failure in a row ejects; two or three may be chance.
 */
const EJECT_ANSWERS = 3;
/** First ejection, milliseconds; doubles with each failure after it. */
const FIRST_EJECTION_MS = 500;
const LONGEST_EJECTION_MS = 4000;

/** Creates the load of a backend server that was not used yet. */
export function createServerLoad(): ServerHealth {
  return {
    pace: enginePace.createPace(),
    firstDelay: firstDelay.createFirstDelay(),
    failuresInRow: 0,
    pausedUntilMs: 0,
    unreachableMs: -Infinity,
    answers: 0,
    failures: 0,
    ejectedUntilMs: 0,
    ejections: 0,
  };
}

/** Takes in an answer that was the backend server's own. */
export function recordAnswer(load: ServerHealth, good: boolean, now: number): void {
  load.answers = KEPT_SHARE * load.answers + 1;
  load.failures = KEPT_SHARE * load.failures + (good ? 0 : 1);
  if (good) {
    load.failuresInRow = 0;
    load.ejections = 0;
    return;
  }
  const isFailing = computeFailureShare(load) >= EJECT_SHARE && load.answers >= EJECT_ANSWERS;
  if (isFailing && now >= load.ejectedUntilMs) {
    load.ejectedUntilMs =
      now + Math.min(FIRST_EJECTION_MS * 2 ** load.ejections, LONGEST_EJECTION_MS);
    load.ejections += 1;
  }
}

/**
 * Tells whether a backend server is left out for its failures.
 *
 * One that fails at once is always the emptiest and draws the work of all others
 * to it. After its ejection it gets one request at a time until one succeeds.
 *
 * @param inFlight requests there
 */
export function isEjected(load: ServerHealth, inFlight: number, now: number): boolean {
  return now < load.ejectedUntilMs || (load.ejections > 0 && inFlight > 0);
}

/** Computes the recent share of answers that failed, 0 to 1. */
export function computeFailureShare(load: ServerHealth): number {
  return load.answers === 0 ? 0 : load.failures / load.answers;
}

/**
 * Pauses a backend server that could not be reached, or broke off.
 *
 * Without the pause each waiting request would be sent to it in turn, since an
 * empty backend server looks like the best choice.
 */
export function pauseServer(load: ServerHealth, now: number): void {
  const pauseMs = Math.min(FIRST_PAUSE_MS * 2 ** load.failuresInRow, LONGEST_PAUSE_MS);
  load.failuresInRow += 1;
  load.pausedUntilMs = Math.max(load.pausedUntilMs, now + pauseMs);
}

/**
 * Notes that a backend server could not be reached. It may have crashed, and warm up
 * once it is back, which its entry tells seconds later.
 */
export function noteUnreachable(load: ServerHealth, now: number): void {
  load.unreachableMs = now;
  pauseServer(load, now);
}

/** Tells whether a backend server is left out for now. */
export function isPaused(load: ServerHealth, now: number): boolean {
  return now < load.pausedUntilMs;
}
