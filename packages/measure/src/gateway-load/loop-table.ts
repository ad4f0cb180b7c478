/** What one gateway with a fraction of a core sends on in bursts, by how it admits requests. */
import * as loadPattern from './load-pattern.js';
import * as loopReplay from './loop-replay.js';

const POLICIES: [string, loopReplay.LoopOptions['createPolicy']][] = [
  ['all admitted', loopReplay.createOpenPolicy],
  ['own target missed', loopReplay.createTargetPolicy],
  ['share by urgency', loopReplay.createSharePolicy],
];
const BURSTS = [1, 1.5, 2, 2.5];
const BURST_MS = [2500, 10_000];
const PERCENT = 100;

/** Formats the results of a policy in a burst: the sums over all seeds. */
function formatRow(
  [name, createPolicy]: (typeof POLICIES)[number],
  burst: number,
  burstMs: number,
  seeds: readonly number[],
): string {
  const replays = seeds.map((seed) =>
    loopReplay.runLoopReplay({ createPolicy, burst, burstMs, seed }),
  );
  const cells = loadPattern.KINDS.map((kind) => {
    const formatShare = (field: keyof loopReplay.LoopResult) => {
      const sum = (one: keyof loopReplay.LoopResult) =>
        replays.reduce((total, results) => total + (results.get(kind.name)?.[one] ?? 0), 0);
      return ((PERCENT * sum(field)) / sum('asked')).toFixed(1);
    };
    return (['inTime', 'late', 'refused', 'left'] as const).map(formatShare).join(' / ');
  });
  return `| ${[`${burst} for ${burstMs} ms`, name, ...cells].join(' | ')} |\n`;
}

/** Formats the table of all policies and bursts. */
export function formatLoopTable(seeds: readonly number[]): string {
  const heads = loadPattern.KINDS.map(({ name }) => `${name}: in time / late / refused / left, %`);
  const rows = BURSTS.flatMap((burst) =>
    BURST_MS.flatMap((burstMs) =>
      POLICIES.map((policy) => formatRow(policy, burst, burstMs, seeds)),
    ),
  );
  return [
    `| load | admission | ${heads.join(' | ')} |\n`,
    `| --- | --- | ${heads.map(() => '---').join(' | ')} |\n`,
    ...rows,
  ].join('');
}
