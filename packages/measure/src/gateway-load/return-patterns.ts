/**
 * Loads that show what becomes of callers that are refused and return once.
 *
 * Engines are full already in calm seconds, so that returns compete with new requests. In the last
 * load they are not.
 */
import * as loadPattern from './load-pattern.js';

/** Requests a second for each engine; about what engines serve with all places in use. */
const FULL = 8.8;
/** The same if engines have room again after the burst. */
const ROOM = 6.5;
const OVERLOAD = 1.7;
const OVERLOAD_MS = 3000;
const LEAST_URGENT_FACTOR = 2.5;
const LEAST_URGENT_MS = 10_000;
const BURST_FROM_MS = 4000;
/** Load before and after what is counted, so that returns meet the usual load, milliseconds. */
const AFTER_MS = 9000;
const AFTER_BURST_MS = 4000;
const RETURNS: loadPattern.ReturnRule = {
  deadlineByKind: { long: 12_000, middle: 12_000, short: 3000 },
  atOnceShare: 0.1,
};

/** Builds a pattern with a burst, from the factor of each kind in it. */
function buildReturnPattern(
  name: string,
  rate: number,
  burstMs: number,
  computeFactor: (kind: loadPattern.RequestKind) => number,
): loadPattern.LoadPattern {
  const untilMs = BURST_FROM_MS + burstMs;
  const countedUntilMs = untilMs + AFTER_BURST_MS;
  return {
    name,
    durationMs: countedUntilMs + AFTER_MS,
    computeRate: () => rate,
    computeKindFactor: (kind, atMs) =>
      atMs >= BURST_FROM_MS && atMs < untilMs ? computeFactor(kind) : 1,
    hotShare: 0,
    skew: 1,
    calmFromMs: untilMs,
    events: [],
    countedUntilMs,
    returns: RETURNS,
  };
}

const LEAST_URGENT = Math.max(...loadPattern.KINDS.map(({ urgency }) => urgency));

export const RETURN_PATTERNS: readonly loadPattern.LoadPattern[] = [
  buildReturnPattern('full, 1.7 times the load for 3 s', FULL, OVERLOAD_MS, () => OVERLOAD),
  buildReturnPattern(
    'full, 2.5 times the least urgent kind for 10 s',
    FULL,
    LEAST_URGENT_MS,
    ({ urgency }) => (urgency === LEAST_URGENT ? LEAST_URGENT_FACTOR : 1),
  ),
  buildReturnPattern('room, 1.7 times the load for 3 s', ROOM, OVERLOAD_MS, () => OVERLOAD),
];
