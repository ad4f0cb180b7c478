/** Seeded pseudo-random numbers: the same seed gives the same sequence. */
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

/** Draws a number in [0, 1). */
export type DrawRandom = () => number;

/** Creates a random source from a seed. */
export function createRandomSource(seed: number): DrawRandom {
  const generator = xoroshiro.xoroshiro128plus(seed);
  return () => uniform.uniformFloat64(generator);
}

/** Draws a number in [low, high). */
export function drawBetween(drawRandom: DrawRandom, low: number, high: number): number {
  return low + drawRandom() * (high - low);
}

/** Draws one element of a non-empty list. */
export function drawFrom<T>(drawRandom: DrawRandom, list: readonly T[]): T {
  return list[Math.floor(drawRandom() * list.length)];
}
