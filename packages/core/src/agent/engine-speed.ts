/**
 * How fast the engine works and the start queue drains, as measured.
 *
 * Rates are ratios of decayed sums, so that one long run among many short ones
 * does not swing them. Only time with work queued counts: an engine that idles
 * says nothing about what it could do.
 */

/** Tokens over milliseconds; older windows count for less. */
type Rate = { tokens: number; ms: number };

export type EngineSpeed = {
  /** Work that ended, in time with work queued. */
  throughput: Rate;
  /** Work that left the queue for any reason but a refusal, in the same time. */
  drain: Rate;
  /** Work of single runs over their own time. */
  run: Rate;
  window: { ms: number; endedTokens: number; drainedTokens: number };
  /** Until when time is accounted for, milliseconds since the Unix epoch. */
  accountedMs: number;
};

const WINDOW_MS = 1000;

/** What is left of the older windows with each new one. */
const WINDOW_DECAY = 0.8;

/** What is left of the older runs with each new one. */
const RUN_DECAY = 0.95;

/** Creates the measure of an engine that has done nothing yet. */
export function createEngineSpeed(now: number): EngineSpeed {
  return {
    throughput: { tokens: 0, ms: 0 },
    drain: { tokens: 0, ms: 0 },
    run: { tokens: 0, ms: 0 },
    window: { ms: 0, endedTokens: 0, drainedTokens: 0 },
    accountedMs: now,
  };
}

/** Adds to a rate. */
function addToRate(rate: Rate, decay: number, tokens: number, ms: number): void {
  rate.tokens = rate.tokens * decay + tokens;
  rate.ms = rate.ms * decay + ms;
}

/** Gets tokens per second; 0 while unknown. */
function toTokensPerSecond(rate: Rate): number {
  return rate.ms > 0 ? (rate.tokens / rate.ms) * 1000 : 0;
}

/** Accounts for the time since the last call; `saturated` says what held in it. */
export function noteTime(speed: EngineSpeed, saturated: boolean, now: number): void {
  const { window } = speed;
  window.ms += saturated ? Math.max(now - speed.accountedMs, 0) : 0;
  speed.accountedMs = now;
  if (window.ms >= WINDOW_MS) {
    addToRate(speed.throughput, WINDOW_DECAY, window.endedTokens, window.ms);
    addToRate(speed.drain, WINDOW_DECAY, window.drainedTokens, window.ms);
    speed.window = { ms: 0, endedTokens: 0, drainedTokens: 0 };
  }
}

/** Notes a run that ended with a whole answer. */
export function noteRun(
  speed: EngineSpeed,
  tokens: number,
  runMs: number,
  saturated: boolean,
): void {
  addToRate(speed.run, RUN_DECAY, tokens, runMs);
  speed.window.endedTokens += saturated ? tokens : 0;
}

/** Notes work that left the queue to be run, here or elsewhere. */
export function noteDrained(speed: EngineSpeed, tokens: number): void {
  speed.window.drainedTokens += tokens;
}

/**
 * Gets the engine's speed, tokens per second; 0 while unknown. Until it has
 * been measured under load it is put at what single runs reach, times the
 * places: a guess that is too high draws work and corrects itself, one too low
 * would never be tested.
 */
export function getTokensPerSecond(speed: EngineSpeed, places: number): number {
  return toTokensPerSecond(speed.throughput) || toTokensPerSecond(speed.run) * places;
}

/** Estimates how long a run takes by itself, milliseconds; 0 while unknown. */
export function estimateRunMs(speed: EngineSpeed, tokens: number): number {
  return speed.run.tokens > 0 ? (tokens * speed.run.ms) / speed.run.tokens : 0;
}

/** Estimates how long work waits behind queued tokens, milliseconds; 0 while unknown. */
export function estimateWaitMs(speed: EngineSpeed, tokensAhead: number): number {
  return speed.drain.tokens > 0 ? (tokensAhead * speed.drain.ms) / speed.drain.tokens : 0;
}
