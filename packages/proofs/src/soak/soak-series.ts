/** Things that a soak does one after the other, with pauses in between. */
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';

/** Does something a number of times; the pause before each is drawn. */
export async function runSeries(
  draw: randomSource.DrawRandom,
  count: number,
  longestPauseMs: number,
  act: (index: number) => Promise<void>,
): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    await timers.setTimeout(randomSource.drawBetween(draw, 0, longestPauseMs));
    await act(index);
  }
}
