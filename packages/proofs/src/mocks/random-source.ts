/** Seeded random numbers: the same seed gives the same run. */
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

/** Draws a number in [0, 1). */
export type DrawRandom = () => number;

/** Creates a source from a seed. */
export function createRandomSource(seed: number): DrawRandom {
  const generator = xoroshiro.xoroshiro128plus(seed);
  return () => uniform.uniformFloat64(generator);
}

/** Draws a number between two bounds. */
export function drawBetween(drawRandom: DrawRandom, low: number, high: number): number {
  return low + drawRandom() * (high - low);
}

/** Draws one element of a list that is not empty. */
export function drawFrom<T>(drawRandom: DrawRandom, list: readonly T[]): T {
  return list[Math.floor(drawRandom() * list.length)];
}
