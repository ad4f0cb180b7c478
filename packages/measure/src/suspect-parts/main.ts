/**
 * `node packages/measure/dist/suspect-parts/main.js [--seeds N] [--only TEXT] [--way TEXT]`: ways of
 * finding prompt parts that crash servers, side by side on the same loads.
 */
import * as util from 'node:util';
import * as fleetReplay from './fleet-replay.js';
import type * as load from './load.js';
import * as settings from './settings.js';
import * as ways from './ways.js';

const { values } = util.parseArgs({
  options: {
    seeds: { type: 'string', default: '3' },
    only: { type: 'string', default: '' },
    way: { type: 'string', default: '' },
    proof: { type: 'string', default: '1000' },
  },
});
const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => index + 1);

/** Formats the results of all seeds, in their order. */
function formatRow(setting: load.Setting, way: string): string {
  const createPolicy = ways.WAYS[way](setting.gateways);
  const proofMs = Number(values.proof);
  const results = seeds.map((seed) =>
    fleetReplay.runReplay({ setting, createPolicy, seed, proofMs }),
  );
  const list = (read: (result: fleetReplay.ReplayResult) => string | number) =>
    results.map(read).join(' / ');
  const share = (part: number, all: number) => (all === 0 ? '-' : (part / all).toFixed(2));
  const cells = [
    list(({ ended }) => ended),
    list(({ late }) => late),
    list(({ served, sent }) => share(served, sent)),
    list(({ servedOverall, sentOverall }) => share(servedOverall, sentOverall)),
    list(({ refused }) => refused),
    Math.max(...results.map(({ bytesPerSecond }) => Math.round(bytesPerSecond))),
    Math.max(...results.map(({ parts }) => parts)),
  ];
  return `| ${[setting.name, way, ...cells].join(' | ')} |\n`;
}

const heads = [
  'setting',
  'way',
  'ended',
  'late',
  'served',
  'served overall',
  'refused',
  'B/s',
  'parts',
];
process.stdout.write(`| ${heads.join(' | ')} |\n| ${heads.map(() => '---').join(' | ')} |\n`);
settings.SETTINGS.filter(({ name }) => name.includes(values.only)).forEach((setting) =>
  Object.keys(ways.WAYS)
    .filter((way) => way.includes(values.way))
    .forEach((way) => process.stdout.write(formatRow(setting, way))),
);
