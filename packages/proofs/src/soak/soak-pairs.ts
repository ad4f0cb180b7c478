/** Plays pairs of faults on a fleet that nothing else disturbs. */
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import * as faultPairs from './fault-pairs.js';
import * as namedFaults from './named-faults.js';
import * as soakFleet from './soak-fleet.js';

const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 3000;
/** Time after both faults until the next pair, milliseconds. */
const SETTLE_MS = 1500;
/** Start of the second fault in the time of the first: with it, inside it, as it ends. */
const STARTS = [0, 0.4, 1];

/** Plays one pair and waits until the fleet serves again. */
async function runPair(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  [first, second]: faultPairs.FaultPair,
): Promise<void> {
  const forMs = randomSource.drawBetween(draw, MIN_FAULT_MS, MAX_FAULT_MS);
  const startMs = randomSource.drawFrom(draw, STARTS) * forMs;
  // Sources of their own: how often a fault draws may depend on times.
  const [firstDraw, secondDraw] = [draw(), draw()].map((seed) =>
    randomSource.createRandomSource(Math.floor(seed * 2 ** 31)),
  );
  await Promise.all([
    namedFaults.getFault(first).apply?.(fleet, firstDraw, forMs),
    timers
      .setTimeout(startMs)
      .then(() => namedFaults.getFault(second).apply?.(fleet, secondDraw, forMs)),
    timers.setTimeout(startMs + forMs + SETTLE_MS),
  ]);
  await soakFleet.waitForService(fleet);
}

/** Plays the given pairs, then others from the empty cells up to `count`; returns all of them. */
export async function runPairs(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
  given: readonly faultPairs.FaultPair[],
): Promise<faultPairs.FaultPair[]> {
  const drawn = Array.from({ length: count }, () =>
    randomSource.drawFrom(draw, faultPairs.listDrawn()),
  );
  const pairs = [...given, ...drawn].slice(0, Math.max(count, given.length));
  for (let index = 0; index < pairs.length; index += 1) {
    await runPair(fleet, draw, pairs[index]);
  }
  return pairs;
}
