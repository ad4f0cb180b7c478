/**
 * Computes how long records of an idempotency key must be retained. docs/design/keys.md derives the
 * inequalities.
 */
import * as documentTiming from './document-timing.js';

/**
 * Computes how long a home retains a binding or a close, milliseconds. For the same time after its
 * start, a home cannot decide on a key without an issue time.
 *
 * A caller may send a key again for at most the key window, the entry that receives the call may
 * claim the key until the deadline of the call, and each of the two clocks that are compared may be
 * off by the clock skew.
 */
export function computeRetention(timing: documentTiming.Timing): number {
  return timing.keyWindowMs + timing.maxDeadlineMs + 2 * timing.clockSkewMs;
}

/**
 * Reports whether an agent would still have its record of an attempt. If so, an agent without a
 * record can be sure that it never received the attempt. Records are retained for the key window
 * and twice the clock skew, so none has expired within the key window after the issue time.
 */
export function isRecordRetained(
  timing: documentTiming.Timing,
  issuedMs: number,
  now: number,
): boolean {
  return now - issuedMs <= timing.keyWindowMs;
}
