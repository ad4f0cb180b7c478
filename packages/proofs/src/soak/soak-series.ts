/** Repeats an action of the soak test with random pauses. */
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';

/** Runs an action `count` times in sequence, each after a random pause. */
export async function runSeries(
  draw: randomSource.DrawRandom,
  count: number,
  maxPauseMs: number,
  act: (index: number) => Promise<void>,
): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    await timers.setTimeout(randomSource.drawBetween(draw, 0, maxPauseMs));
    await act(index);
  }
}
