/**
 * Loads of prompts of very unequal length before engines that read one after the other: full
 * engines in calm seconds, and a burst.
 */
import * as loadPattern from './load-pattern.js';
import type * as replayWorld from './replay-world.js';
import * as replay from './replay.js';
import * as sizeTable from './size-table.js';

/** Prompt tokens in a millisecond at slowness 1: slowest and fastest engines of the users' sheet. */
export const PROMPT_SPEEDS = [61, 140];
/** Requests a second for each engine that fill its slots, at each of these speeds. */
const CALM_RATES = [8.5, 10.6];
/** The same for the load in which engines become slow, and how many of them and how slow. */
const SLOW_RATE = 6;
const SLOW_SHARE = 0.25;
const SLOW_FACTOR = 4;
const BURST_FACTOR = 1.7;
const BURST_FROM_MS = 3000;
const BURST_UNTIL_MS = 8000;
/** Arrivals end before the replay does, so that it shows what becomes of all of them. */
const ARRIVALS_UNTIL_MS = 12_000;
const DURATION_MS = 15_000;
const SLOWNESS = [0.68, 0.68, 3];
const FLEET = { gateways: 8, engines: 27, slots: 9, delayMs: 1.4, lossShare: 0.01 };
const KNOWLEDGE = { reports: true, firstEvents: true, paces: true, failures: true };
const PERCENT = 100;

export const HARD_KINDS: readonly loadPattern.RequestKind[] = [
  {
    name: 'long',
    promptTokens: 6600,
    promptSizes: { sigma: 1.3, maxTokens: 54_600 },
    answerTokens: 270,
    targetMs: 700,
    urgency: 0,
    share: 0.31,
  },
  {
    name: 'middle',
    promptTokens: 630,
    promptSizes: { sigma: 0.8, maxTokens: 8000 },
    answerTokens: 200,
    targetMs: 410,
    urgency: 1,
    share: 0.29,
  },
  {
    name: 'short',
    promptTokens: 1800,
    promptSizes: { sigma: 0.8, maxTokens: 16_000 },
    answerTokens: 25,
    targetMs: 410,
    urgency: 2,
    share: 0.4,
  },
];

/** Builds the two loads at a prompt speed. */
function buildPatterns(tokensPerMs: number, calm: number): loadPattern.LoadPattern[] {
  const traits = {
    kinds: HARD_KINDS,
    slowness: SLOWNESS,
    prompts: { tokensPerMs, isChunked: true },
  };
  const buildLoad = (name: string, factor: number) =>
    loadPattern.buildPattern(`${name}, ${tokensPerMs}`, {
      ...traits,
      durationMs: DURATION_MS,
      computeRate: (atMs) =>
        calm *
        Number(atMs < ARRIVALS_UNTIL_MS) *
        (atMs >= BURST_FROM_MS && atMs < BURST_UNTIL_MS ? factor : 1),
    });
  return [buildLoad('calm', 1), buildLoad('burst', BURST_FACTOR)];
}

/** A quarter of the engines, fast and slow ones, is four times slower for some seconds. */
const SLOW_PATTERN: loadPattern.LoadPattern = {
  ...buildPatterns(PROMPT_SPEEDS[0], SLOW_RATE)[0],
  name: `a quarter slow, ${PROMPT_SPEEDS[0]}`,
  events: [
    { kind: 'enginesSlow', atMs: BURST_FROM_MS, share: SLOW_SHARE, factor: SLOW_FACTOR },
    { kind: 'enginesSlow', atMs: BURST_UNTIL_MS, share: SLOW_SHARE, factor: 1 / SLOW_FACTOR },
  ],
};

export const HARD_PATTERNS = [
  ...PROMPT_SPEEDS.flatMap((speed, index) => buildPatterns(speed, CALM_RATES[index])),
  SLOW_PATTERN,
];

/** Replays one of the loads. */
export function runHardLoad(
  pattern: loadPattern.LoadPattern,
  seed: number,
  changes: Partial<replayWorld.Knowledge> = {},
): replayWorld.ReplayResult {
  const knowledge = { ...KNOWLEDGE, ...changes };
  return replay.runReplay({ pattern, knowledge, seed, ...FLEET });
}

/** Counts calls over results and kinds. */
export function countCalls(
  results: readonly replayWorld.ReplayResult[],
  field: keyof replayWorld.KindResult,
  kinds = HARD_KINDS.map(({ name }) => name),
): number {
  return results.reduce(
    (total, { byKind }) =>
      kinds.reduce((sum, kind) => sum + (byKind.get(kind)?.[field] ?? 0), total),
    0,
  );
}

/** Computes the worth of what was served; a response with a pause counts as a late one. */
function computeWorth(result: replayWorld.ReplayResult): number {
  const byKind = new Map(
    [...result.byKind].map(([kind, counts]) => {
      const { inTime, late, paused } = counts;
      return [kind, { ...counts, inTime: inTime - paused, late: late + paused }];
    }),
  );
  return sizeTable.computeWorth({ ...result, byKind });
}

/** Formats shares of what was asked, percent: on time without a pause, paused, late, failed. */
function formatShares(results: readonly replayWorld.ReplayResult[], kinds?: string[]): string {
  const asked = countCalls(results, 'asked', kinds);
  const inTime = countCalls(results, 'inTime', kinds) - countCalls(results, 'paused', kinds);
  const others = (['paused', 'late', 'failed'] as const).map((one) =>
    countCalls(results, one, kinds),
  );
  return [inTime, ...others].map((one) => ((PERCENT * one) / asked).toFixed(1)).join(' / ');
}

/** Finds the 99th percentile of the time to the first event of a kind, milliseconds. */
export function findTail(results: readonly replayWorld.ReplayResult[], kind: string): number {
  const times = results.flatMap(({ firstMs }) => firstMs.get(kind) ?? []).sort((a, b) => a - b);
  return Math.round(times[Math.floor(0.99 * times.length)] ?? 0);
}

/** Formats the table of the loads, a row for each. */
export function formatHardLoads(seeds: readonly number[]): string {
  const heads = ['all', ...HARD_KINDS.map(({ name }) => name)];
  const columns = ['load', 'slots in use, %', 'worth, %', ...heads, 'p99 by kind, ms', 'asks each'];
  const rows = HARD_PATTERNS.map((pattern) => {
    const results = seeds.map((seed) => runHardLoad(pattern, seed));
    const used = results.reduce((sum, one) => sum + one.slotsInUse / one.ticks / results.length, 0);
    const kinds = HARD_KINDS.map(({ name }) => name);
    const asks = results.reduce((sum, one) => sum + one.asks, 0) / countCalls(results, 'asked');
    const tails = kinds.map((kind) => findTail(results, kind)).join(' / ');
    const shares = [undefined, ...kinds.map((kind) => [kind])].map((one) =>
      formatShares(results, one),
    );
    const worth = results.reduce((sum, one) => sum + computeWorth(one) / results.length, 0);
    return [
      pattern.name,
      (PERCENT * used).toFixed(0),
      (PERCENT * worth).toFixed(1),
      ...shares,
      tails,
      asks.toFixed(2),
    ];
  });
  return [columns, columns.map(() => '---'), ...rows]
    .map((cells) => `| ${cells.join(' | ')} |\n`)
    .join('');
}
