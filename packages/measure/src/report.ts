/** Prints measurements as lines of a table: the middle of the seeds, and their spread. */
import * as hdr from 'hdr-histogram-js';
import * as tallies from './tally.js';

const HIGHEST_MS = 60_000;
const PERCENTILES = [50, 95, 99];

/** Formats the median of some numbers with their least and greatest. */
function formatSpread(values: readonly number[], digits: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted[Math.floor(sorted.length / 2)];
  const [low] = sorted;
  const high = sorted[sorted.length - 1];
  const show = (value: number) => value.toFixed(digits);
  return low === high ? show(middle) : `${show(middle)} [${show(low)}..${show(high)}]`;
}

/** Computes goodput of a tier, or of all where no tier is named. */
function computeGoodput(tally: tallies.Tally, tier?: string): number {
  const chosen = Object.entries(tally.tiers).filter(
    ([name]) => tier === undefined || name === tier,
  );
  const sent = chosen.reduce((sum, [, counts]) => sum + counts.sent, 0);
  const inTime = chosen.reduce((sum, [, counts]) => sum + counts.inTime, 0);
  return sent === 0 ? 1 : inTime / sent;
}

/** Computes one cause's share of all prefill, or that of all causes. */
function computeWaste(tally: tallies.Tally, cause?: string): number {
  const wasted = Object.entries(tally.wasted)
    .filter(([name]) => cause === undefined || name === cause)
    .reduce((sum, [, tokens]) => sum + tokens, 0);
  return tally.prefilled === 0 ? 0 : wasted / tally.prefilled;
}

/** Formats the delays of a tier's first bytes over all seeds. */
function formatFirstBytes(group: readonly tallies.Tally[], tier: string): string {
  const histogram = hdr.build({
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: 2,
  });
  group
    .flatMap((tally) => tally.tiers[tier]?.firstByteMs ?? [])
    .forEach((ms) => histogram.recordValue(Math.max(0, Math.round(ms))));
  return PERCENTILES.map((one) => histogram.getValueAtPercentile(one)).join('/');
}

/** Adds the tables of all seeds. */
function addTables(tables: readonly Record<string, number>[]): Record<string, number> {
  const sums: Record<string, number> = {};
  tables.forEach((table) =>
    Object.entries(table).forEach(([name, amount]) => {
      sums[name] = (sums[name] ?? 0) + amount;
    }),
  );
  return sums;
}

/** Formats one group of runs that differ in their seeds alone. */
export function formatGroup(title: string, group: readonly tallies.Tally[]): string {
  const share = (read: (tally: tallies.Tally) => number) => formatSpread(group.map(read), 3);
  const causes = [...new Set(group.flatMap((tally) => Object.keys(tally.wasted)))].sort();
  const wastes = causes.map((cause) => `${cause} ${share((tally) => computeWaste(tally, cause))}`);
  const faults = addTables(group.map((tally) => tally.faults));
  const bytes = formatSpread(
    group.map((tally) => tally.controlBytesPerSecond),
    0,
  );
  return [
    title,
    `  goodput: urgent ${share((tally) => computeGoodput(tally, 'stall'))}, lower ${share((tally) => computeGoodput(tally, 'draft'))}, all ${share((tally) => computeGoodput(tally))}`,
    `  wasted prefill: ${share((tally) => computeWaste(tally))} of all (${wastes.join(', ')})`,
    `  first byte p50/p95/p99 ms: urgent ${formatFirstBytes(group, 'stall')}, lower ${formatFirstBytes(group, 'draft')}`,
    `  outcomes: ${JSON.stringify(addTables(group.map((tally) => tally.refusals)))}`,
    `  must be 0: ${JSON.stringify(faults)}; control bytes/s a node ${bytes}`,
  ].join('\n');
}
