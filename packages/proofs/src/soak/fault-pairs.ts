/** Which pairs of named faults a test or a seed of the soak test plays. */
import * as namedFaults from './named-faults.js';
import * as pairCells from './pair-cells.js';
import * as pairSeeds from './pair-seeds.js';

export type FaultPair = readonly [namedFaults.FaultName, namedFaults.FaultName];

/** A pair with the titles of its tests and the seeds that play it; empty if there is neither. */
export type Cell = { pair: FaultPair; tests: string[]; seeds: number[] };

/** Parses a pair as the soak prints it. */
export function parsePair(text: string): FaultPair {
  const names = namedFaults.FAULT_NAMES;
  const [first, second] = text
    .split(' + ')
    .map((part) => names.find((name) => name === part.trim()));
  if (first === undefined || second === undefined) {
    throw new Error(`not a pair of named faults: ${text}`);
  }
  return [first, second];
}

/** Whether two pairs have the same faults, in either order. */
function isSame([a, b]: FaultPair, [c, d]: FaultPair): boolean {
  return (a === c && b === d) || (a === d && b === c);
}

/** Lists all pairs of two faults, with what plays them. */
export function listCells(): Cell[] {
  const names = namedFaults.FAULT_NAMES;
  const played = Object.entries(pairSeeds.PLAYED).map(([seed, pairs]) => ({
    seed: Number(seed),
    pairs: pairs.map(parsePair),
  }));
  return names
    .flatMap((first, at) => names.slice(at + 1).map((second): FaultPair => [first, second]))
    .map((pair) => ({
      pair,
      tests: pairCells.TESTED.filter((one) => isSame(one.pair, pair)).map(({ test }) => test),
      seeds: played
        .filter(({ pairs }) => pairs.some((one) => isSame(one, pair)))
        .map(({ seed }) => seed),
    }));
}

/** Whether a cell names neither a test nor a seed. */
export function isEmpty({ tests, seeds }: Cell): boolean {
  return tests.length === 0 && seeds.length === 0;
}

/** Whether the soak can apply both faults of a pair. */
export function isPlayable({ pair }: Cell): boolean {
  return pair.every((name) => namedFaults.getFault(name).apply !== undefined);
}

/** Lists the pairs that the soak draws from: those of empty cells, or all if none is empty. */
export function listDrawn(): FaultPair[] {
  const playable = listCells().filter(isPlayable);
  const empty = playable.filter(isEmpty);
  return (empty.length > 0 ? empty : playable).map(({ pair }) => pair);
}

/** Counts filled cells and all cells for each pair of groups, as lines of text. */
export function formatReport(): string[] {
  const cells = listCells();
  const filled = cells.filter((cell) => !isEmpty(cell));
  const playable = cells.filter(isPlayable);
  const groups = Object.entries(namedFaults.GROUPS);
  const isBetween = ({ pair: [a, b] }: Cell, first: object, second: object) =>
    (a in first && b in second) || (a in second && b in first);
  const lines = groups.map(([name, first], row) => {
    const counts = groups.slice(0, row + 1).map(([, second]) => {
      const between = cells.filter((cell) => isBetween(cell, first, second));
      const done = between.filter((cell) => !isEmpty(cell));
      return `${done.length}/${between.length}`.padStart(9);
    });
    return `${name.padEnd(18)}${counts.join('')}`;
  });
  return [
    `${namedFaults.FAULT_NAMES.length} faults, ${cells.length} pairs, ${filled.length} filled`,
    `of ${playable.length} pairs that the soak can play, ${playable.filter((cell) => !isEmpty(cell)).length} filled`,
    ...lines,
    ...filled.map(({ pair, tests, seeds }) =>
      [pair.join(' + '), ...tests, ...seeds.map((seed) => `seed ${seed}`)].join(' | '),
    ),
  ];
}
