/** What becomes of callers that return, by kind, as a table. */
import * as loadPattern from './load-pattern.js';
import type * as replayWorld from './replay-world.js';
import * as replay from './replay.js';
import * as returnPatterns from './return-patterns.js';

export type ReturnOptions = Omit<replayWorld.ReplayOptions, 'pattern' | 'knowledge' | 'seed'>;

const KNOWLEDGE = { reports: true, firstEvents: true, paces: true, failures: true };
const HEADS = [
  'load',
  'kind',
  'asked',
  'served',
  'on time',
  'late after a return',
  'refused once',
  'refused twice',
  'asks per request',
];
const DIGITS = 3;

/** Adds up the results of a kind over several replays. */
export function countKind(
  results: readonly replayWorld.ReplayResult[],
  kind: string,
): (field: keyof replayWorld.KindResult) => number {
  return (field) =>
    results.reduce((total, { byKind }) => total + (byKind.get(kind)?.[field] ?? 0), 0);
}

/** Formats the rows of one load: sums over the seeds. */
function formatRows(
  pattern: loadPattern.LoadPattern,
  options: ReturnOptions,
  seeds: readonly number[],
): string[] {
  const results = seeds.map((seed) =>
    replay.runReplay({ ...options, pattern, knowledge: KNOWLEDGE, seed }),
  );
  return loadPattern.KINDS.map(({ name }) => {
    const count = countKind(results, name);
    const cells = [
      pattern.name,
      name,
      count('asked'),
      count('inTime') + count('late'),
      count('inTime'),
      count('lateAfterReturn'),
      count('refused'),
      count('refusedTwice'),
      (count('tries') / count('asked')).toFixed(DIGITS),
    ];
    return `| ${cells.join(' | ')} |\n`;
  });
}

/** Formats the table, a row for each load and kind. */
export function formatReturnTable(options: ReturnOptions, seeds: readonly number[]): string {
  const rows = returnPatterns.RETURN_PATTERNS.flatMap((pattern) =>
    formatRows(pattern, options, seeds),
  );
  const head = `| ${HEADS.join(' | ')} |\n| ${HEADS.map(() => '---').join(' | ')} |\n`;
  return [head, ...rows].join('');
}
