/**
 * When a waiting request is turned away, and when its caller should return.
 *
 * Load pattern: bursts of two to three times what the engines can do, for
 * seconds. What is held without a prospect costs its caller the time in which
 * it could have gone elsewhere, so it is told at once; what can still be served
 * late is held, as late answers still serve.
 */
import * as drainRate from '../shared/drain-rate.js';
import * as startQueue from '../shared/start-queue.js';

/**
 * Part of the time that a request has left which its wait may be expected to
 * take. Above it, too little is left for the run itself.
 */
const HOLD_SHARE = 0.5;

/** Tells whether a request would wait in vain. */
export function isHopeless(
  drain: drainRate.DrainRate,
  tokensAhead: number,
  giveUpMs: number,
  now: number,
): boolean {
  return drainRate.estimateWaitMs(drain, tokensAhead) > HOLD_SHARE * (giveUpMs - now);
}

/** Draws when a caller should come back: once what is ahead of it has drained. */
export function drawRetryAfter(
  drain: drainRate.DrainRate,
  queue: startQueue.StartQueue,
  drawRandom: () => number,
): number {
  return drainRate.drawRetryAfter(drain, startQueue.countQueued(queue), drawRandom);
}
