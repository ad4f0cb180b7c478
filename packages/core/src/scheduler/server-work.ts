/**
 * Predicts the time to the first event from the prompts that a backend server has to read.
 *
 * Engines read prompts one after the other, in order of arrival. A request behind a prompt of tens
 * of thousands of tokens therefore waits for hundreds of milliseconds at an engine that has free
 * slots, while the next engine would respond at once.
 */
import type * as cells from './cell.js';
import * as enginePace from './engine-pace.js';

/** Work in flight at a backend server, in tokens: prompts not read yet, and responses. */
export type ServerWork = { unreadTokens: number; answerTokens: number };

/**
 * How fast the engines of a service read prompts: a linear regression of the time to the first
 * event over the length of the prompt, both for an engine of slowness 1. Its slope is the time for
 * a token. What load adds for prompts of any length does not change the slope.
 */
export type PromptSpeed = {
  /** Sums over the samples, of which recent ones count most. */
  count: number;
  tokens: number;
  ms: number;
  tokensSquared: number;
  tokensByMs: number;
};

/** Prompt tokens per millisecond that an engine of slowness 1 is assumed to read at first. */
const DEFAULT_TOKENS_PER_MS = 40;
/** Spread of prompts, squared tokens, that weighs as much in the slope as the assumption. */
const DEFAULT_WEIGHT = 2000 ** 2;
/** Time to the first event besides the prompt (network, batching, one step), milliseconds. */
const FIRST_TOKEN_MS = 25;
/** Decay of the sums with each sample; about the last fifty matter. */
const DECAY_FACTOR = 0.98;
/** Longest prompt of a sample, tokens: callers state the length, and a false one must not count. */
const MAX_SAMPLE_TOKENS = 65_536;
/** A sample counts as at most this many times faster or slower than predicted, as after a stall. */
const MAX_SAMPLE_FACTOR = 2;
/** Bounds of the speed, tokens per millisecond, against responses from a cache or stalls. */
const MIN_TOKENS_PER_MS = 2;
const MAX_TOKENS_PER_MS = 1000;

const MAX_WIRE_NUMBER = 2 ** 32 - 1;

/** Converts an amount to a `uint32` of a message, which could not be encoded with other values. */
export function toWireNumber(amount: number): number {
  return amount > 0 ? Math.round(Math.min(amount, MAX_WIRE_NUMBER)) : 0;
}

/** Creates the speed of a service without samples. */
export function createPromptSpeed(): PromptSpeed {
  return { count: 0, tokens: 0, ms: 0, tokensSquared: 0, tokensByMs: 0 };
}

/** Estimates the prompt tokens that an engine of slowness 1 reads in a millisecond. */
export function estimateTokensPerMs(speed: PromptSpeed): number {
  const { count, tokens, ms, tokensSquared, tokensByMs } = speed;
  const samples = Math.max(count, 1);
  const spread = tokensSquared - tokens ** 2 / samples;
  const covariance = tokensByMs - (tokens * ms) / samples;
  const msPerToken =
    (covariance + DEFAULT_WEIGHT / DEFAULT_TOKENS_PER_MS) / (spread + DEFAULT_WEIGHT);
  return 1 / Math.min(Math.max(msPerToken, 1 / MAX_TOKENS_PER_MS), 1 / MIN_TOKENS_PER_MS);
}

/** Computes what counts of a sample, so that a single one cannot change the speed by much. */
function computeSample(
  speed: PromptSpeed,
  promptTokens: number,
  ms: number,
): { tokens: number; ms: number } {
  const tokens = Math.min(Math.max(promptTokens, 0), MAX_SAMPLE_TOKENS);
  const readMs = tokens / estimateTokensPerMs(speed);
  const longestMs = MAX_SAMPLE_FACTOR * (FIRST_TOKEN_MS + readMs);
  return { tokens, ms: Math.min(Math.max(ms, readMs / MAX_SAMPLE_FACTOR), longestMs) };
}

/**
 * Records the time to a first event with no unread prompt ahead of it.
 *
 * @param totalMs time from sending to the event, milliseconds
 */
export function recordFirstEvent(
  speed: PromptSpeed,
  promptTokens: number,
  totalMs: number,
  slowness: number,
): void {
  const sample = computeSample(speed, promptTokens, totalMs / slowness);
  speed.count = DECAY_FACTOR * speed.count + 1;
  speed.tokens = DECAY_FACTOR * speed.tokens + sample.tokens;
  speed.ms = DECAY_FACTOR * speed.ms + sample.ms;
  speed.tokensSquared = DECAY_FACTOR * speed.tokensSquared + sample.tokens ** 2;
  speed.tokensByMs = DECAY_FACTOR * speed.tokensByMs + sample.tokens * sample.ms;
}

/** Estimates the time to the first event at an idle engine of slowness 1, milliseconds. */
export function estimateIdleFirstMs(speed: PromptSpeed, promptTokens: number): number {
  return FIRST_TOKEN_MS + promptTokens / estimateTokensPerMs(speed);
}

/**
 * Estimates the time to the first event at an engine of the mean slowness of a cell, milliseconds.
 *
 * The slot that a waiting request gets may be at any engine. If the fastest one were assumed, the
 * longest prompts would count as on time and hold back requests that can be on time anywhere.
 */
export function estimateTypicalFirstMs(
  { healthByServer, promptSpeed }: cells.Cell,
  promptTokens: number,
  now: number,
): number {
  const paces = [...healthByServer.values()].map(({ pace }) => pace);
  const fastestMs = enginePace.findShortestUnitMs(paces);
  const sum = paces.reduce(
    (total, pace) => total + enginePace.estimateSlowness(pace, fastestMs, now),
    0,
  );
  const slowness = paces.length === 0 ? 1 : sum / paces.length;
  return FIRST_TOKEN_MS + (slowness * promptTokens) / estimateTokensPerMs(promptSpeed);
}

/** Estimates the time in which an engine reads its unread prompts, milliseconds. */
export function estimateAheadMs(
  speed: PromptSpeed,
  { unreadTokens, slowness }: { unreadTokens: number; slowness: number },
): number {
  return (slowness * unreadTokens) / estimateTokensPerMs(speed);
}

/** Adds to the work of a backend server. */
function addWork(
  sums: Map<string, ServerWork>,
  serverId: string,
  { unreadTokens, answerTokens }: ServerWork,
): void {
  const sum = sums.get(serverId) ?? { unreadTokens: 0, answerTokens: 0 };
  sum.unreadTokens += unreadTokens;
  sum.answerTokens += answerTokens;
  sums.set(serverId, sum);
}

/**
 * Counts the work in flight at each backend server, as reported and as granted since. Gateways
 * that do not report work count for none; what their requests add to the time to a first event
 * shows in the error of the prediction.
 */
export function countWork({ askers }: cells.Cell): Map<string, ServerWork> {
  const sums = new Map<string, ServerWork>();
  askers.forEach(({ work, reportsWork, unreportedGrants }) => {
    if (reportsWork) {
      work.forEach((one, serverId) => addWork(sums, serverId, one));
      unreportedGrants.forEach((grant) => addWork(sums, grant.serverId, grant.work));
    }
  });
  return sums;
}
