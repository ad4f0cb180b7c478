import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as loadPattern from './load-pattern.js';
import * as replay from './replay.js';
import type * as replayWorld from './replay-world.js';

const { test } = nodeTest;
/** With three seeds, chance moves the share on time by two hundredths. */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const KNOWLEDGE = { reports: true, firstEvents: true, paces: true, failures: true };
/** Requests a second for each engine at which most slots are free. */
const CALM_RATE = 3;
/** Engines of unequal speed, spread unevenly: every third one is slow. */
const UNEVEN_ENGINES = {
  gateways: ['a', 'b', 'c'],
  engines: ['a', 'a', 'a', 'b', 'a', 'b', 'c', 'b', 'c'],
};
/** Callers spread unevenly; the engines of domain c are all slow. */
const UNEVEN_CALLERS = { gateways: ['a', 'a', 'a', 'b', 'b', 'c'], engines: ['a', 'b', 'c'] };

/** Replays a load in three failure domains and computes what leaves them and what is on time. */
function runDomains(
  fleet: Omit<replayWorld.ReplayDomains, 'toleratedDomainLosses'>,
  toleratedDomainLosses: number,
  pattern: loadPattern.LoadPattern,
): { otherShare: number; inTimeShare: number } {
  const results = SEEDS.map((seed) =>
    replay.runReplay({
      pattern,
      knowledge: KNOWLEDGE,
      gateways: 6,
      engines: 9,
      slots: 9,
      seed,
      delayMs: 1.4,
      lossShare: 0.01,
      domains: { ...fleet, toleratedDomainLosses },
    }),
  );
  const sum = (count: (result: replayWorld.ReplayResult) => number) =>
    results.reduce((total, result) => total + count(result), 0);
  const sumKinds = (field: keyof replayWorld.KindResult) =>
    sum(({ byKind }) => [...byKind.values()].reduce((total, one) => total + one[field], 0));
  const other = sum(({ otherPlacements }) => otherPlacements);
  return {
    otherShare: other / (other + sum(({ ownPlacements }) => ownPlacements)),
    inTimeShare: sumKinds('inTime') / sumKinds('asked'),
  };
}

/** Compares a load with and without the requirement that losses of domains are tolerated. */
function checkLocality(
  fleet: Omit<replayWorld.ReplayDomains, 'toleratedDomainLosses'>,
  pattern: loadPattern.LoadPattern,
  maxOtherRatio: number,
): void {
  const off = runDomains(fleet, 0, pattern);
  const on = runDomains(fleet, 1, pattern);
  const found = JSON.stringify({ off, on });
  assert.ok(on.otherShare < maxOtherRatio * off.otherShare, found);
  assert.ok(on.inTimeShare > off.inTimeShare - 0.02, found);
}

const calm = {
  ...loadPattern.PATTERNS[0],
  computeRate: () => CALM_RATE,
  events: [],
};

test('calm work stays in its domain with engines spread unevenly', () => {
  // Placements that ignore domains send a third of the work to others, also when the own servers
  // are idle.
  checkLocality(UNEVEN_ENGINES, calm, 0.5);
});

test('domain with only slow engines hands work to others', () => {
  // A preference without limits would keep requests at engines where they are late.
  checkLocality(UNEVEN_CALLERS, calm, 0.75);
});

test('burst with engines lost costs no request on time', () => {
  checkLocality(UNEVEN_ENGINES, loadPattern.PATTERNS[0], 1.1);
});
