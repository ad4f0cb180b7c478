import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as loadPattern from './load-pattern.js';
import * as shareTable from './share-table.js';

const { test } = nodeTest;
const ONE_CELL = { gateways: 4, engines: 6, slots: 9, delayMs: 1.4, lossShare: 0.01 };
const TWO_CELLS = { ...ONE_CELL, gateways: 8, engines: 61, slots: 6 };
const OFF = { shares: false, recentUse: false };
/** The least share that a declared quota gives. */
const MIN_SHARE = 0.25;

/** Finds a load by its name. */
function findPattern(name: string): loadPattern.LoadPattern {
  const found = shareTable.SHARE_PATTERNS.find((one) => one.name === name);
  assert.ok(found !== undefined, name);
  return found;
}

/** Asserts that each workspace is served the least share of its part, at each urgency. */
function assertNoneStarves(pattern: loadPattern.LoadPattern, fleet: shareTable.ShareFleet): void {
  const results = shareTable.runSeeds(pattern, {}, fleet, [1]);
  ['long', 'middle', 'short'].forEach((kind) => {
    const worst = Math.min(...shareTable.listFairness(pattern, results, kind));
    assert.ok(worst > MIN_SHARE, `${pattern.name}: ${kind} ${worst}`);
  });
}

test('equal declared quotas change nothing in one cell', () => {
  const pattern = findPattern('two hot, equal quotas');
  const [on] = shareTable.runSeeds(pattern, {}, ONE_CELL, [1]);
  const [off] = shareTable.runSeeds(pattern, OFF, ONE_CELL, [1]);
  const [without] = shareTable.runSeeds(findPattern('two hot workspaces'), OFF, ONE_CELL, [1]);
  assert.deepEqual(on, off);
  assert.deepEqual(on, without);
});

test('no workspace starves beside hot ones in a burst', () => {
  // Hot workspaces and a burst of the least urgent kind take all slots. A tag that is too high, or
  // a weight that is too small, would keep a workspace from its share for the whole burst.
  shareTable.SHARE_PATTERNS.forEach((pattern) => assertNoneStarves(pattern, ONE_CELL));
});

test('no workspace starves with two cells and a lost scheduler', () => {
  // What workspaces received in the other cell, and before the takeover, delays their requests. If
  // the delay were not bounded, a hot workspace would not be served until the burst ends.
  assertNoneStarves(findPattern('two hot, unequal quotas, scheduler lost'), TWO_CELLS);
});

test('of two hot workspaces the one with the larger quota is served more', () => {
  const pattern = findPattern('two hot, unequal quotas');
  const results = shareTable.runSeeds(pattern, {}, ONE_CELL, [1, 2, 3]);
  const [small, large] = [0, 1].map((workspace) => {
    const work = results.map(({ workByKind }) => workByKind.get('short')?.[workspace]);
    const sum = (field: 'asked' | 'served') =>
      work.reduce((total, one) => total + (one?.[field] ?? 0), 0);
    return sum('served') / sum('asked');
  });
  assert.ok(large > small, `${large} and ${small}`);
});
