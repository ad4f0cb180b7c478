/**
 * Adaptive concurrency limit of the engine, in requests and tokens.
 *
 * An engine that is given more than fits into its batch queues the rest itself,
 * without regard to tiers. This shows in the time to the first streamed byte,
 * which grows by the wait for a slot of the batch compared with earlier prompts
 * of that length. Increase is additive, decrease multiplicative: the limit falls
 * by a tenth where more than half of a window's runs were late, and rises by one
 * where less than a quarter were and the limit held work back.
 *
 * Runs are also late where long prompts share the engine's prefill, and on an
 * engine that has become slow. A lower limit would only cost throughput there.
 * In these cases the output rate is below its earlier best, and the limit is
 * raised rather than lowered.
 */
import * as documentTiming from '../shared/document-timing.js';

export type EngineLimit = {
  /** Limit on concurrent requests. */
  places: number;
  /** Limit on the estimated tokens of concurrent requests. */
  tokens: number;
  /**
   * Shortest time to the first byte per prompt token, milliseconds: over the last `runs` runs,
   * and over the `BASELINE_RUNS` before these.
   */
  baseline: { recent: number; before: number; runs: number };
  /** When the present window began, milliseconds since the Unix epoch. */
  windowStartMs: number;
  /** Runs of this window, and how many of them were late. */
  runs: number;
  lateRuns: number;
  /** Streamed chunks of this window, and the decaying maximum of chunks per millisecond. */
  chunks: number;
  bestRate: number;
  /** Which limit held work back in this window. */
  limitedByPlaces: boolean;
  limitedByTokens: boolean;
};

/** Tokens added to each prompt for the fixed part of the time to first byte. */
const FIXED_PROMPT_TOKENS = 256;

/** A first byte is late after this multiple of the expected time plus the slack. */
const LATE_FACTOR = 3;
const LATE_SLACK_MS = 20;

/** Runs after which the older half of the baseline expires, as an engine may slow down for good. */
const BASELINE_RUNS = 128;

const MIN_WINDOW_RUNS = 8;
const MIN_WINDOW_MS = 200;
const DECREASE_LATE_SHARE = 0.5;
const INCREASE_LATE_SHARE = 0.25;
const DECREASE_FACTOR = 0.9;

/** The limit does not fall while the output rate is below this share of the best one. */
const MIN_RATE_SHARE = 0.93;

/** Decay of the best rate per window, as an engine may slow down for good. */
const RATE_DECAY = 0.995;

/** The limit never falls below the document's limit divided by this. */
const MIN_LIMIT_DIVISOR = 8;

/** Creates a limit that at first allows as much as the document does. */
export function createEngineLimit(): EngineLimit {
  return {
    places: Number.POSITIVE_INFINITY,
    tokens: Number.POSITIVE_INFINITY,
    baseline: { recent: Number.POSITIVE_INFINITY, before: Number.POSITIVE_INFINITY, runs: 0 },
    windowStartMs: 0,
    runs: 0,
    lateRuns: 0,
    chunks: 0,
    bestRate: 0,
    limitedByPlaces: false,
    limitedByTokens: false,
  };
}

/** Returns how many requests may run concurrently. */
export function getPlaces(limit: EngineLimit, limits: documentTiming.Limits): number {
  return Math.min(limit.places, limits.maxRunning);
}

/** Returns how many estimated tokens may run concurrently. */
export function getTokens(limit: EngineLimit, limits: documentTiming.Limits): number {
  return Math.min(limit.tokens, limits.maxRunningTokens);
}

/** Computes the next lower value of a limit, bounded by its minimum. */
function computeDecrease(value: number, max: number): number {
  return Math.max(Math.floor(value * DECREASE_FACTOR), Math.ceil(max / MIN_LIMIT_DIVISOR), 1);
}

/** Lowers the limit that held work back: tokens where it did, otherwise requests. */
function lowerLimit(limit: EngineLimit, limits: documentTiming.Limits): void {
  if (limit.limitedByTokens) {
    limit.tokens = computeDecrease(getTokens(limit, limits), limits.maxRunningTokens);
  } else {
    limit.places = computeDecrease(getPlaces(limit, limits), limits.maxRunning);
  }
}

/** Raises the limits that held work back. */
function raiseLimit(limit: EngineLimit, limits: documentTiming.Limits): void {
  if (limit.limitedByPlaces) {
    limit.places = Math.min(getPlaces(limit, limits) + 1, limits.maxRunning);
  }
  if (limit.limitedByTokens) {
    const step = Math.ceil(limits.maxRunningTokens / limits.maxRunning);
    limit.tokens = Math.min(getTokens(limit, limits) + step, limits.maxRunningTokens);
  }
}

/** Adapts the limits to the window that ends now. */
function updateLimit(limit: EngineLimit, limits: documentTiming.Limits, now: number): void {
  const rate = limit.chunks / (now - limit.windowStartMs);
  limit.bestRate = Math.max(limit.bestRate * RATE_DECAY, rate);
  const lateShare = limit.lateRuns / limit.runs;
  const losesThroughput = rate < MIN_RATE_SHARE * limit.bestRate;
  if (lateShare > DECREASE_LATE_SHARE && !losesThroughput) {
    lowerLimit(limit, limits);
  } else if (lateShare < INCREASE_LATE_SHARE || losesThroughput) {
    raiseLimit(limit, limits);
  }
}

/** Adds one run to the baseline. */
function updateBaseline(limit: EngineLimit, msPerToken: number): void {
  const { baseline } = limit;
  baseline.runs += 1;
  baseline.recent = Math.min(baseline.recent, msPerToken);
  if (baseline.runs >= BASELINE_RUNS) {
    limit.baseline = { recent: Number.POSITIVE_INFINITY, before: baseline.recent, runs: 0 };
  }
}

/** Begins a new window. */
function startWindow(limit: EngineLimit, now: number): void {
  limit.windowStartMs = now;
  limit.runs = 0;
  limit.lateRuns = 0;
  limit.chunks = 0;
  limit.limitedByPlaces = false;
  limit.limitedByTokens = false;
}

/** Records one streamed chunk of a response. */
export function recordChunk(limit: EngineLimit): void {
  limit.chunks += 1;
}

/** Records the first streamed byte of a run and adapts the limit at the end of a window. */
export function recordFirstByte(
  limit: EngineLimit,
  limits: documentTiming.Limits,
  run: { promptTokens: number; ms: number },
  now: number,
): void {
  const tokens = run.promptTokens + FIXED_PROMPT_TOKENS;
  const expectedMs = Math.min(limit.baseline.recent, limit.baseline.before) * tokens;
  limit.windowStartMs = limit.windowStartMs || now;
  limit.runs += 1;
  limit.lateRuns += run.ms > LATE_FACTOR * expectedMs + LATE_SLACK_MS ? 1 : 0;
  updateBaseline(limit, Math.max(run.ms, 1) / tokens);
  if (limit.runs >= MIN_WINDOW_RUNS && now - limit.windowStartMs >= MIN_WINDOW_MS) {
    updateLimit(limit, limits, now);
    startWindow(limit, now);
  }
}
