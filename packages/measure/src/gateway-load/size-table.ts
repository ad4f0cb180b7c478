/** What the number of gateways costs: the same loads, engines and seeds, more gateways. */
import * as loadPattern from './load-pattern.js';
import type * as replayWorld from './replay-world.js';
import * as replay from './replay.js';

export type SizeOptions = {
  gateways: readonly number[];
  engines: number;
  slots: number;
  seeds: readonly number[];
  /** One way between two gateways, milliseconds, and part of the datagrams lost. */
  delayMs: number;
  lossShare: number;
};

/** What a request in time is worth by kind, as the users' sheets weigh them. */
const WORTH: Record<string, number> = { long: 5.8, middle: 2.3, short: 0.26 };
/** Part of its worth that a late answer keeps. */
const LATE_SHARE = 0.1;
const DIGITS = 3;
/** Loads in which the order between gateways matters most. */
const PATTERN_NAMES = [
  'burst, a third of the engines gone',
  'two hot workspaces',
  'calm after a short burst, calls spread unevenly',
];
const KNOWLEDGE = { reports: true, firstEvents: true, paces: true, failures: true };

/** Computes the part of the worth asked for that was served. */
export function computeWorth({ byKind }: replayWorld.ReplayResult): number {
  let served = 0;
  let asked = 0;
  byKind.forEach((counts, kind) => {
    served += WORTH[kind] * (counts.inTime + LATE_SHARE * counts.late);
    asked += WORTH[kind] * counts.asked;
  });
  return served / asked;
}

/** Computes the mean worth of a load over the seeds. */
function computeMean(
  pattern: loadPattern.LoadPattern,
  gateways: number,
  { seeds, engines, slots, delayMs, lossShare }: SizeOptions,
): number {
  const fleet = { gateways, engines, slots, delayMs, lossShare };
  const sum = seeds.reduce((total, seed) => {
    const result = replay.runReplay({ pattern, knowledge: KNOWLEDGE, seed, ...fleet });
    return total + computeWorth(result);
  }, 0);
  return sum / seeds.length;
}

/** Formats the table, a row for each load. */
export function formatSizeTable(options: SizeOptions): string {
  const head = `| load | ${options.gateways.map((count) => `${count} gateways`).join(' | ')} |\n`;
  const rule = `| --- | ${options.gateways.map(() => '---').join(' | ')} |\n`;
  const rows = loadPattern.PATTERNS.filter(({ name }) => PATTERN_NAMES.includes(name)).map(
    (pattern) => {
      const cells = options.gateways.map((count) =>
        computeMean(pattern, count, options).toFixed(DIGITS),
      );
      return `| ${[pattern.name, ...cells].join(' | ')} |\n`;
    },
  );
  return [head, rule, ...rows].join('');
}
