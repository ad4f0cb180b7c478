/**
 * `node packages/measure/dist/suspect-parts/main.js [--seeds N] [--only TEXT]`: prompt parts that
 * crash servers, with all requests admitted and with the decisions of gateways.
 */
import * as util from 'node:util';
import * as fleetReplay from './fleet-replay.js';
import * as gatewayPolicy from './gateway-policy.js';
import type * as load from './load.js';
import * as partPolicy from './part-policy.js';
import * as settings from './settings.js';

const { values } = util.parseArgs({
  options: {
    seeds: { type: 'string', default: '3' },
    only: { type: 'string', default: '' },
  },
});
const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => index + 1);
const HEADS = ['setting', 'requests', 'ended', 'late', 'served', 'served of all', 'refused'];

/** Formats the results of all seeds, in their order. */
function formatRow(
  setting: load.Setting,
  name: string,
  createPolicy: partPolicy.CreatePolicy,
): string {
  const results = seeds.map((seed) => fleetReplay.runReplay({ setting, createPolicy, seed }));
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
  return `| ${[setting.name, name, ...cells].join(' | ')} |\n`;
}

const heads = [...HEADS, 'bytes/s', 'parts'];
process.stdout.write(`| ${heads.join(' | ')} |\n| ${heads.map(() => '---').join(' | ')} |\n`);
settings.SETTINGS.filter(({ name }) => name.includes(values.only)).forEach((setting) => {
  process.stdout.write(formatRow(setting, 'all admitted', partPolicy.createOpenPolicy));
  const createPolicy = gatewayPolicy.createGatewayPolicy(setting.gateways);
  process.stdout.write(formatRow(setting, 'by gateways', createPolicy));
});
