/**
 * How much the engine is given at once, in requests and tokens.
 *
 * An engine that is given more than its batch holds admits the rest as it
 * likes, without tiers. That shows in the time to the first streamed byte: it
 * grows by the wait for a place, while prompts of that length took less before.
 * The limit falls by a tenth where half of the runs were late, and rises by one
 * where few were and the limit held work back.
 */
import * as documentTiming from '../shared/document-timing.js';

export type EngineLimit = {
  /** Requests at once. */
  places: number;
  /** Estimated tokens at once. */
  tokens: number;
  /** Least time to the first byte for a prompt token, milliseconds, of late and before. */
  base: { recent: number; before: number; runs: number };
  /** Runs in this window, and those of them that were late. */
  runs: number;
  lateRuns: number;
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
const FALL_SHARE = 0.5;
const RISE_SHARE = 0.25;
const FALL_FACTOR = 0.9;

/** The limit falls to this part of the document's limit at most. */
const MIN_PART = 8;

/** Creates a limit that stands at the document's own. */
export function createEngineLimit(): EngineLimit {
  return {
    places: Number.POSITIVE_INFINITY,
    tokens: Number.POSITIVE_INFINITY,
    base: { recent: Number.POSITIVE_INFINITY, before: Number.POSITIVE_INFINITY, runs: 0 },
    runs: 0,
    lateRuns: 0,
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

/** Moves the limits by what the window has shown. */
function updateLimit(limit: EngineLimit, limits: documentTiming.Limits): void {
  const lateShare = limit.lateRuns / limit.runs;
  const places = getPlaces(limit, limits);
  const tokens = getTokens(limit, limits);
  if (lateShare > FALL_SHARE) {
    limit.places = limit.heldByTokens ? places : computeFall(places, limits.maxRunning);
    limit.tokens = limit.heldByTokens ? computeFall(tokens, limits.maxRunningTokens) : tokens;
  } else if (lateShare < RISE_SHARE) {
    const stepTokens = Math.ceil(limits.maxRunningTokens / limits.maxRunning);
    limit.places = limit.heldByPlaces ? Math.min(places + 1, limits.maxRunning) : limit.places;
    limit.tokens = limit.heldByTokens
      ? Math.min(tokens + stepTokens, limits.maxRunningTokens)
      : limit.tokens;
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

/** Notes the first streamed byte of a run and adapts the limit once enough are known. */
export function noteFirstByte(
  limit: EngineLimit,
  limits: documentTiming.Limits,
  promptTokens: number,
  ms: number,
): void {
  const tokens = promptTokens + FIXED_TOKENS;
  const expectedMs = Math.min(limit.base.recent, limit.base.before) * tokens;
  limit.runs += 1;
  limit.lateRuns += ms > LATE_FACTOR * expectedMs + LATE_SLACK_MS ? 1 : 0;
  updateBase(limit, Math.max(ms, 1) / tokens);
  if (limit.runs < WINDOW_RUNS) {
    return;
  }
  updateLimit(limit, limits);
  limit.runs = 0;
  limit.lateRuns = 0;
  limit.heldByPlaces = false;
  limit.heldByTokens = false;
}
