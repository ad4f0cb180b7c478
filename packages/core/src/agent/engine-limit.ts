/**
 * How much the engine is given at once, in requests and tokens.
 *
 * An engine that is given more than its batch holds admits the rest as it
 * likes, without tiers. That shows in the time to the first streamed byte: it
 * grows by the wait for a place, while prompts of that length took less before.
 * The limit falls by a tenth where half of the runs were late, and rises by one
 * where few were and the limit held work back.
 *
 * Long prompts that share the engine's prefill are late too, and so is all on
 * an engine that has become slow; fewer requests at once would cost throughput
 * there. Less then comes out than before, and the limit does not fall.
 */
import * as documentTiming from '../shared/document-timing.js';

export type EngineLimit = {
  /** Requests at once. */
  places: number;
  /** Estimated tokens at once. */
  tokens: number;
  /** Least time to the first byte for a prompt token, milliseconds, of late and before. */
  base: { recent: number; before: number; runs: number };
  /** When this window began, milliseconds since the Unix epoch. */
  beganMs: number;
  /** Runs in this window, and those of them that were late. */
  runs: number;
  lateRuns: number;
  /** Streamed pieces in this window, and the most for each millisecond of late. */
  pieces: number;
  bestRate: number;
  /** What held work back in this window. */
  heldByPlaces: boolean;
  heldByTokens: boolean;
};

/** Added to each prompt, for the part of the first byte that is the same for all. */
const FIXED_TOKENS = 256;

/** A first byte is late from this multiple of the expected time on, and this much more. */
const LATE_FACTOR = 3;
const LATE_SLACK_MS = 20;

/** Runs after which the older half of the base is forgotten, as engines slow down for good. */
const BASE_RUNS = 128;

const WINDOW_RUNS = 8;
const WINDOW_MS = 200;
const FALL_SHARE = 0.5;
const RISE_SHARE = 0.25;
const FALL_FACTOR = 0.9;

/** The limit does not fall while less than this part of the best rate comes out. */
const KEPT_RATE = 0.93;

/** What is left of the best rate with each window, as engines slow down for good. */
const RATE_DECAY = 0.995;

/** The limit falls to this part of the document's limit at most. */
const MIN_PART = 8;

/** Creates a limit that stands at the document's own. */
export function createEngineLimit(): EngineLimit {
  return {
    places: Number.POSITIVE_INFINITY,
    tokens: Number.POSITIVE_INFINITY,
    base: { recent: Number.POSITIVE_INFINITY, before: Number.POSITIVE_INFINITY, runs: 0 },
    beganMs: 0,
    runs: 0,
    lateRuns: 0,
    pieces: 0,
    bestRate: 0,
    heldByPlaces: false,
    heldByTokens: false,
  };
}

/** Gets the requests that may run at once. */
export function getPlaces(limit: EngineLimit, limits: documentTiming.Limits): number {
  return Math.min(limit.places, limits.maxRunning);
}

/** Gets the estimated tokens that may run at once. */
export function getTokens(limit: EngineLimit, limits: documentTiming.Limits): number {
  return Math.min(limit.tokens, limits.maxRunningTokens);
}

/** Moves one limit down, not below its least value. */
function computeFall(value: number, max: number): number {
  return Math.max(Math.floor(value * FALL_FACTOR), Math.ceil(max / MIN_PART), 1);
}

/** Moves down the limit that was binding. */
function lowerLimit(limit: EngineLimit, limits: documentTiming.Limits): void {
  if (limit.heldByTokens) {
    limit.tokens = computeFall(getTokens(limit, limits), limits.maxRunningTokens);
  } else {
    limit.places = computeFall(getPlaces(limit, limits), limits.maxRunning);
  }
}

/** Moves up the limits that held work back. */
function raiseLimit(limit: EngineLimit, limits: documentTiming.Limits): void {
  if (limit.heldByPlaces) {
    limit.places = Math.min(getPlaces(limit, limits) + 1, limits.maxRunning);
  }
  if (limit.heldByTokens) {
    const step = Math.ceil(limits.maxRunningTokens / limits.maxRunning);
    limit.tokens = Math.min(getTokens(limit, limits) + step, limits.maxRunningTokens);
  }
}

/** Moves the limits by what the window has shown. */
function updateLimit(limit: EngineLimit, limits: documentTiming.Limits, now: number): void {
  const rate = limit.pieces / (now - limit.beganMs);
  limit.bestRate = Math.max(limit.bestRate * RATE_DECAY, rate);
  const lateShare = limit.lateRuns / limit.runs;
  const costsRate = rate < KEPT_RATE * limit.bestRate;
  if (lateShare > FALL_SHARE && !costsRate) {
    lowerLimit(limit, limits);
  } else if (lateShare < RISE_SHARE || costsRate) {
    raiseLimit(limit, limits);
  }
}

/** Takes one run into the base. */
function updateBase(limit: EngineLimit, msPerToken: number): void {
  const { base } = limit;
  base.runs += 1;
  base.recent = Math.min(base.recent, msPerToken);
  if (base.runs >= BASE_RUNS) {
    limit.base = { recent: Number.POSITIVE_INFINITY, before: base.recent, runs: 0 };
  }
}

/** Begins a new window. */
function startWindow(limit: EngineLimit, now: number): void {
  limit.beganMs = now;
  limit.runs = 0;
  limit.lateRuns = 0;
  limit.pieces = 0;
  limit.heldByPlaces = false;
  limit.heldByTokens = false;
}

/** Notes one streamed piece of an answer. */
export function notePiece(limit: EngineLimit): void {
  limit.pieces += 1;
}

/** Notes the first streamed byte of a run and adapts the limit once enough are known. */
export function noteFirstByte(
  limit: EngineLimit,
  limits: documentTiming.Limits,
  run: { promptTokens: number; ms: number },
  now: number,
): void {
  const tokens = run.promptTokens + FIXED_TOKENS;
  const expectedMs = Math.min(limit.base.recent, limit.base.before) * tokens;
  limit.beganMs = limit.beganMs || now;
  limit.runs += 1;
  limit.lateRuns += run.ms > LATE_FACTOR * expectedMs + LATE_SLACK_MS ? 1 : 0;
  updateBase(limit, Math.max(run.ms, 1) / tokens);
  if (limit.runs >= WINDOW_RUNS && now - limit.beganMs >= WINDOW_MS) {
    updateLimit(limit, limits, now);
    startWindow(limit, now);
  }
}
