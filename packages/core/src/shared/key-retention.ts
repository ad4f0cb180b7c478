/**
 * How long what is known of a key must be kept. docs/design/keys.md derives
 * each inequality.
 */
import * as documentTiming from './document-timing.js';

/**
 * Computes how long a home keeps a binding or a close, and how long a home that
 * has just started cannot decide on a key without an issue time, milliseconds.
 *
 * A caller sends a key again for at most the key window; the entry that takes
 * the call in may claim until the call's deadline; each of two clocks compared
 * on the way may be off by the skew.
 */
export function computeRetention(timing: documentTiming.Timing): number {
  return timing.keyWindowMs + timing.maxDeadlineMs + 2 * timing.clockSkewMs;
}

/**
 * Tells whether an agent that does not know an attempt can be sure that it
 * never had it: its records are kept for the key window and twice the skew, so
 * within the window after the issue time none has been forgotten.
 */
export function isRecordRetained(
  timing: documentTiming.Timing,
  issuedMs: number,
  now: number,
): boolean {
  return now - issuedMs <= timing.keyWindowMs;
}
