/** What the shares of workspaces do: hot workspaces together with a burst, shares on and off. */
import * as loadPattern from './load-pattern.js';
import type * as replayWorld from './replay-world.js';
import * as replay from './replay.js';
import * as sizeTable from './size-table.js';

/** Requests a second for each engine that it serves with few of them late. */
const CALM = 5;
const SHORT_BURST_FACTOR = 2.5;
const UNEQUAL_QUOTAS = [1, 8, 2, 4, 1, 2, 4, 8];

/** Gives the factor of a burst of the least urgent kind. */
function computeShortBurst({ name }: loadPattern.RequestKind, atMs: number): number {
  const isBurst = atMs >= loadPattern.BURST_FROM_MS && atMs < loadPattern.BURST_UNTIL_MS;
  return isBurst && name === 'short' ? SHORT_BURST_FACTOR : 1;
}

/** Builds a load of hot workspaces together with a burst of the least urgent kind. */
function buildHot(
  name: string,
  changes: Partial<loadPattern.WorkspaceLoad>,
  events: loadPattern.FleetEvent[] = [],
): loadPattern.LoadPattern {
  const workspaces = { hot: 2, hotFactor: 5, quotas: [], isSkewed: false, ...changes };
  return loadPattern.buildPattern(name, {
    computeRate: () => CALM,
    computeKindFactor: computeShortBurst,
    workspaces,
    events,
  });
}

const LOST: loadPattern.FleetEvent[] = [{ kind: 'schedulerLost', atMs: 5000, forMs: 1500 }];

export const SHARE_PATTERNS: readonly loadPattern.LoadPattern[] = [
  buildHot('one hot workspace', { hot: 1, hotFactor: 7 }),
  buildHot('two hot workspaces', {}),
  buildHot('three hot workspaces', { hot: 3, hotFactor: 4 }),
  buildHot('three hot, skewed sizes', { hot: 3, hotFactor: 4, isSkewed: true }),
  buildHot('two hot, equal quotas', { quotas: [3] }),
  buildHot('two hot, unequal quotas', { quotas: UNEQUAL_QUOTAS }),
  buildHot('two hot, scheduler lost', {}, LOST),
  buildHot('two hot, unequal quotas, scheduler lost', { quotas: UNEQUAL_QUOTAS }, LOST),
];

/** Bounds of a share, and the share without a quota, as the requirement states them. */
const MIN_SHARE = 0.25;
const MAX_SHARE = 4;

/** Lists the shares to which the workspaces of a pattern are entitled. */
function listEntitlements(pattern: loadPattern.LoadPattern, workspaces: number): number[] {
  const declared = pattern.workspaces?.quotas ?? [];
  const quotas = Array.from({ length: workspaces }, (_, index) =>
    declared.length === 0 ? 1 : declared[index % declared.length],
  );
  const mean = quotas.reduce((sum, one) => sum + one, 0) / workspaces;
  return quotas.map((one) => Math.min(Math.max(one / mean, MIN_SHARE), MAX_SHARE));
}

/** Work that one workspace asked for, and its share. */
type Claim = { index: number; asked: number; share: number };

/**
 * Divides work by shares: nobody gets more than it asked for, and what one leaves is divided among
 * the others. Returns the parts by index.
 */
function computeParts(claims: readonly Claim[], work: number): Map<number, number> {
  const perShare = work / claims.reduce((sum, { share }) => sum + share, 0);
  const met = claims.filter(({ asked, share }) => asked <= perShare * share);
  if (met.length === 0) {
    return new Map(claims.map(({ index, share }) => [index, perShare * share]));
  }
  const others = claims.filter((claim) => !met.includes(claim));
  const left = work - met.reduce((sum, { asked }) => sum + asked, 0);
  const parts = met.map(({ index, asked }): [number, number] => [index, asked]);
  return new Map([...parts, ...(others.length > 0 ? computeParts(others, left) : [])]);
}

/** Lists, for the workspaces, what they were served relative to their fair part of a kind. */
export function listFairness(
  pattern: loadPattern.LoadPattern,
  results: readonly replayWorld.ReplayResult[],
  kind: string,
): number[] {
  const all = results.flatMap(({ workByKind }) => [workByKind.get(kind) ?? []]);
  const work = all[0].map((_, index) => ({
    asked: all.reduce((sum, one) => sum + one[index].asked, 0),
    served: all.reduce((sum, one) => sum + one[index].served, 0),
  }));
  const shares = listEntitlements(pattern, work.length);
  const claims = work.map(({ asked }, index) => ({ index, asked, share: shares[index] }));
  const served = work.reduce((sum, one) => sum + one.served, 0);
  const parts = computeParts(claims, served);
  return work.map((one, index) => one.served / (parts.get(index) ?? 0));
}

/** The fleet of a table. */
export type ShareFleet = Pick<
  replayWorld.ReplayOptions,
  'gateways' | 'engines' | 'slots' | 'delayMs' | 'lossShare'
>;

const ALL = { reports: true, firstEvents: true, paces: true, failures: true };
const PERCENT = 100;

/** Replays a pattern with several seeds. */
export function runSeeds(
  pattern: loadPattern.LoadPattern,
  changes: Partial<replayWorld.Knowledge>,
  fleet: ShareFleet,
  seeds: readonly number[],
): replayWorld.ReplayResult[] {
  const knowledge = { ...ALL, ...changes };
  return seeds.map((seed) => replay.runReplay({ pattern, knowledge, seed, ...fleet }));
}

/** Formats a row: what was served, and by how much the shares were missed. */
function formatRow(
  pattern: loadPattern.LoadPattern,
  [name, changes]: [string, Partial<replayWorld.Knowledge>],
  fleet: ShareFleet,
  seeds: readonly number[],
): string {
  const results = runSeeds(pattern, changes, fleet, seeds);
  const kinds = loadPattern.KINDS.map(({ name: kind }) => {
    const sum = (field: keyof replayWorld.KindResult) =>
      results.reduce((total, { byKind }) => total + (byKind.get(kind)?.[field] ?? 0), 0);
    const fairness = listFairness(pattern, results, kind);
    const served = (PERCENT * (sum('inTime') + sum('late'))) / sum('asked');
    const inTime = (PERCENT * sum('inTime')) / sum('asked');
    const worst = Math.min(...fairness).toFixed(2);
    return `${inTime.toFixed(1)} / ${served.toFixed(1)} / ${worst}`;
  });
  const quiet = results.reduce((sum, { quietInTime }) => sum + quietInTime, 0);
  const asked = results.reduce((sum, { quietAsked }) => sum + quietAsked, 0);
  const worth = results.reduce((sum, one) => sum + sizeTable.computeWorth(one), 0) / seeds.length;
  const quietPart = ((PERCENT * quiet) / asked).toFixed(1);
  return `| ${[pattern.name, name, ...kinds, quietPart, worth.toFixed(3)].join(' | ')} |\n`;
}

/** Prints a table with a row for each load and variation. */
export function printShareTable(
  variations: readonly [string, Partial<replayWorld.Knowledge>][],
  patterns: readonly loadPattern.LoadPattern[],
  fleet: ShareFleet,
  seeds: readonly number[],
  write: (text: string) => void,
): void {
  const kinds = loadPattern.KINDS.map(({ name }) => `${name}: in time / served / worst`);
  const heads = ['load', 'shares', ...kinds, 'quiet in time', 'worth'];
  write(`| ${heads.join(' | ')} |\n| ${heads.map(() => '---').join(' | ')} |\n`);
  const hasQuotas = ({ workspaces }: loadPattern.LoadPattern) => workspaces?.quotas.length !== 0;
  // Without quotas, shares alone change nothing.
  patterns.forEach((pattern) =>
    variations
      .filter(([, { shares, recentUse }]) => hasQuotas(pattern) || shares === recentUse)
      .forEach((variation) => write(formatRow(pattern, variation, fleet, seeds))),
  );
}
