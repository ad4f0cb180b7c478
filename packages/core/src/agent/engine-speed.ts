/**
 * Measured throughput of the engine and of the start queue.
 *
 * Rates are ratios of decaying sums, so that one long run among many short ones
 * does not distort them. Only time with work queued counts: an engine with spare
 * capacity does not show how much it could do.
 */

/** Decaying sums of tokens and of the milliseconds that they took. */
type Rate = { tokens: number; ms: number };

export type EngineSpeed = {
  /** Runs that completed, over the time with work queued. */
  engineThroughput: Rate;
  /** Work that left the queue other than by a refusal, over the same time. */
  queueThroughput: Rate;
  /** Single runs, over the duration of each. */
  runThroughput: Rate;
  window: { ms: number; completedTokens: number; dequeuedTokens: number };
  /** Up to when time has been added to the window, milliseconds since the Unix epoch. */
  accountedUntilMs: number;
};

const WINDOW_MS = 1000;

/** Factor by which the sums of older windows shrink with each new window. */
const WINDOW_DECAY = 0.8;

/** Factor by which the sums of older runs shrink with each new run. */
const RUN_DECAY = 0.95;

/** Creates the measurement of an engine that has not run anything yet. */
export function createEngineSpeed(now: number): EngineSpeed {
  return {
    engineThroughput: { tokens: 0, ms: 0 },
    queueThroughput: { tokens: 0, ms: 0 },
    runThroughput: { tokens: 0, ms: 0 },
    window: { ms: 0, completedTokens: 0, dequeuedTokens: 0 },
    accountedUntilMs: now,
  };
}

/** Adds tokens and their time to a rate and decays what it held. */
function addToRate(rate: Rate, decay: number, tokens: number, ms: number): void {
  rate.tokens = rate.tokens * decay + tokens;
  rate.ms = rate.ms * decay + ms;
}

/** Converts a rate to tokens per second; 0 while unknown. */
function toTokensPerSecond(rate: Rate): number {
  return rate.ms > 0 ? (rate.tokens / rate.ms) * 1000 : 0;
}

/** Adds the time since the last call to the window if work was queued in it (`saturated`). */
export function recordTime(speed: EngineSpeed, saturated: boolean, now: number): void {
  const { window } = speed;
  window.ms += saturated ? Math.max(now - speed.accountedUntilMs, 0) : 0;
  speed.accountedUntilMs = now;
  if (window.ms >= WINDOW_MS) {
    addToRate(speed.engineThroughput, WINDOW_DECAY, window.completedTokens, window.ms);
    addToRate(speed.queueThroughput, WINDOW_DECAY, window.dequeuedTokens, window.ms);
    speed.window = { ms: 0, completedTokens: 0, dequeuedTokens: 0 };
  }
}

/** Records a run that ended with a complete response. */
export function recordRun(
  speed: EngineSpeed,
  tokens: number,
  runMs: number,
  saturated: boolean,
): void {
  addToRate(speed.runThroughput, RUN_DECAY, tokens, runMs);
  speed.window.completedTokens += saturated ? tokens : 0;
}

/** Records work that left the queue to run, here or on another backend server. */
export function recordDequeued(speed: EngineSpeed, tokens: number): void {
  speed.window.dequeuedTokens += tokens;
}

/**
 * Returns the engine's throughput, tokens per second; 0 while unknown.
 *
 * Until it has been measured under load, it is estimated as that of a single
 * run times the number of slots. An estimate that is too high attracts work and
 * is corrected by measurement; one that is too low would never be tested.
 */
export function getTokensPerSecond(speed: EngineSpeed, places: number): number {
  return (
    toTokensPerSecond(speed.engineThroughput) || toTokensPerSecond(speed.runThroughput) * places
  );
}

/** Estimates the duration of a run without its time in the queue, milliseconds; 0 while unknown. */
export function estimateRunMs(speed: EngineSpeed, tokens: number): number {
  return speed.runThroughput.tokens > 0
    ? (tokens * speed.runThroughput.ms) / speed.runThroughput.tokens
    : 0;
}

/** Estimates the time in the queue behind these tokens, milliseconds; 0 while unknown. */
export function estimateWaitMs(speed: EngineSpeed, tokensAhead: number): number {
  return speed.queueThroughput.tokens > 0
    ? (tokensAhead * speed.queueThroughput.ms) / speed.queueThroughput.tokens
    : 0;
}
