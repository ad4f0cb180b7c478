/**
 * `npm run measure:gateway [-- --seeds N]`: the worst loads replayed through the
 * gateways' decisions, with all that they learn and with each source taken away.
 * With `--sizes 1,26,68` the worth of the loads before 82 engines by number of gateways.
 * With `--returns` what becomes of callers that are refused and return.
 */
import * as util from 'node:util';
import * as hardLoad from './hard-load.js';
import * as loadPattern from './load-pattern.js';
import * as loopTable from './loop-table.js';
import type * as replayWorld from './replay-world.js';
import * as replay from './replay.js';
import * as returnTable from './return-table.js';
import * as shareTable from './share-table.js';
import * as sizeTable from './size-table.js';

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

/** The engines of the largest fleet that the users have described, and their places. */
const MANY_ENGINES = 82;
const MANY_ENGINES_SLOTS = 6;
/** Engines by which a service has another cell. */
const ENGINES_PER_CELL = 40;
/** A fleet whose engines are one cell, as there are fewer than 40. */
const RETURN_GATEWAYS = 8;
const RETURN_ENGINES = 27;
const HELP = `npm run measure:gateway -- [--seeds N] [--sizes N,N,...] [--shares CELLS [--loads TEXT]]
  --seeds N     replay each load with N seeds; 5 where it is left out
  --loop        print what one gateway with a fraction of a core sends on in bursts
  --shares CELLS print what workspace shares do, before enough engines for so many cells
  --loads TEXT  of these, only the loads whose name contains the text
  --sizes N,... print what is served by as many gateways before ${MANY_ENGINES} engines
  --hard        print what is on time of prompts of very unequal length
  --returns     print what becomes of callers that are refused and return
`;

const { values } = util.parseArgs({
  options: {
    seeds: { type: 'string', default: '5' },
    sizes: { type: 'string' },
    loop: { type: 'boolean', default: false },
    shares: { type: 'string' },
    loads: { type: 'string', default: '' },
    hard: { type: 'boolean', default: false },
    returns: { type: 'boolean', default: false },
    help: { type: 'boolean', default: false },
  },
});
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

/** Prints what each source of knowledge is worth. */
function printSources(): void {
  const heads = loadPattern.KINDS.map(({ name }) => `${name}: in time / late, %`);
  process.stdout.write(
    `| load | known | ${heads.join(' | ')} | quiet workspaces in time, % | most at an engine |\n`,
  );
  process.stdout.write(`| --- | --- | ${heads.map(() => '---').join(' | ')} | --- | --- |\n`);
  loadPattern.PATTERNS.forEach((pattern) =>
    VARIATIONS.forEach((variation) => process.stdout.write(formatRow(pattern, variation))),
  );
}

/** Prints what workspace shares do. */
function printShares(cells: number): void {
  const fleet =
    cells === 1
      ? { gateways: GATEWAYS, engines: ENGINES, slots: SLOTS }
      : { gateways: 8 * cells, engines: ENGINES_PER_CELL * cells, slots: MANY_ENGINES_SLOTS };
  const link = { delayMs: DELAY_MS, lossShare: LOSS_SHARE };
  shareTable.printShareTable(
    [
      ['off', { shares: false, recentUse: false }],
      ['without use', { recentUse: false }],
      ['on', {}],
    ],
    shareTable.SHARE_PATTERNS.filter(({ name }) => name.includes(values.loads)),
    { ...fleet, ...link },
    seeds,
    (text) => process.stdout.write(text),
  );
}

if (values.help) {
  process.stdout.write(HELP);
} else if (values.loop) {
  process.stdout.write(loopTable.formatLoopTable(seeds));
} else if (values.shares !== undefined) {
  printShares(Number(values.shares));
} else if (values.hard) {
  process.stdout.write(hardLoad.formatHardLoads(seeds));
} else if (values.returns) {
  const fleet = {
    gateways: RETURN_GATEWAYS,
    engines: RETURN_ENGINES,
    slots: SLOTS,
    delayMs: DELAY_MS,
    lossShare: LOSS_SHARE,
  };
  process.stdout.write(returnTable.formatReturnTable(fleet, seeds));
} else if (values.sizes === undefined) {
  printSources();
} else {
  const options = {
    gateways: values.sizes.split(',').map(Number),
    engines: MANY_ENGINES,
    slots: MANY_ENGINES_SLOTS,
    seeds,
    delayMs: DELAY_MS,
    lossShare: LOSS_SHARE,
  };
  process.stdout.write(sizeTable.formatSizeTable(options));
}
