/**
 * `npm run measure:gateway [-- --seeds N]`: the worst loads replayed through the
 * gateways' decisions, with all that they learn and with each source taken away.
 */
import * as util from 'node:util';
import * as loadPattern from './load-pattern.js';
import type * as replayWorld from './replay-world.js';
import * as replay from './replay.js';

const GATEWAYS = 4;
const ENGINES = 6;
const SLOTS = 9;
/** One way between failure domains, milliseconds, and datagrams lost; the users' sheets. */
const DELAY_MS = 1.4;
const LOSS_SHARE = 0.01;
const PERCENT = 100;
const ALL: replayWorld.Knowledge = {
  reports: true,
  firstEvents: true,
  paces: true,
  failures: true,
};
const VARIATIONS: [string, replayWorld.Knowledge][] = [
  ['all', ALL],
  ['no reports', { ...ALL, reports: false }],
  ['no first events', { ...ALL, firstEvents: false }],
  ['no paces', { ...ALL, paces: false }],
  ['no failures', { ...ALL, failures: false }],
  ['nothing', { reports: false, firstEvents: false, paces: false, failures: false }],
];

const { values } = util.parseArgs({ options: { seeds: { type: 'string', default: '5' } } });
const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => index + 1);

/** Formats a part of a whole, in hundredths. */
function formatShare(part: number, whole: number): string {
  return whole === 0 ? '-' : ((PERCENT * part) / whole).toFixed(1);
}

/** Formats one row: the sums over all seeds. */
function formatRow(
  pattern: loadPattern.LoadPattern,
  [name, knowledge]: [string, replayWorld.Knowledge],
): string {
  const results = seeds.map((seed) =>
    replay.runReplay({
      pattern,
      knowledge,
      gateways: GATEWAYS,
      engines: ENGINES,
      slots: SLOTS,
      seed,
      delayMs: DELAY_MS,
      lossShare: LOSS_SHARE,
    }),
  );
  const kinds = loadPattern.KINDS.map((kind) => {
    const all = results.map(({ byKind }) => byKind.get(kind.name));
    const sum = (field: keyof replayWorld.KindResult) =>
      all.reduce((total, one) => total + (one?.[field] ?? 0), 0);
    return `${formatShare(sum('inTime'), sum('asked'))} / ${formatShare(sum('late'), sum('asked'))}`;
  });
  const quietInTime = results.reduce((total, one) => total + one.quietInTime, 0);
  const quietAsked = results.reduce((total, one) => total + one.quietAsked, 0);
  const most = Math.max(...results.map(({ mostAtEngine }) => mostAtEngine));
  const cells = [pattern.name, name, ...kinds, formatShare(quietInTime, quietAsked), most];
  return `| ${cells.join(' | ')} |\n`;
}

const heads = loadPattern.KINDS.map(({ name }) => `${name}: in time / late, %`);
process.stdout.write(
  `| load | known | ${heads.join(' | ')} | quiet workspaces in time, % | most at an engine |\n`,
);
process.stdout.write(`| --- | --- | ${heads.map(() => '---').join(' | ')} | --- | --- |\n`);
loadPattern.PATTERNS.forEach((pattern) =>
  VARIATIONS.forEach((variation) => process.stdout.write(formatRow(pattern, variation))),
);
