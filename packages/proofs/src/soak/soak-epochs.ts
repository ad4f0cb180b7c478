/** A store of a soak that is restored from older backups of itself, one after the other. */
import * as timers from 'node:timers/promises';
import * as storeStandIn from '@toucanproxy/platform/mocks/store-stand-in';
import * as randomSource from '../mocks/random-source.js';
import type * as soakFleet from './soak-fleet.js';

/** Age of a backup, how long the store is away, and until all is written again; milliseconds. */
const SHORTEST_AGE_MS = 500;
const LONGEST_AGE_MS = 4000;
const LONGEST_AWAY_MS = 600;
const LONGEST_REWRITE_MS = 1500;

/** Restores the store from backups in turn; what was lost is written again. */
export async function runEpochs(
  { store, records, readNow }: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
): Promise<void> {
  const { REFUSING, SERVING } = storeStandIn.StoreMode;
  for (let index = 0; index < count; index += 1) {
    const backup = store.backUp();
    await timers.setTimeout(randomSource.drawBetween(draw, SHORTEST_AGE_MS, LONGEST_AGE_MS));
    store.setMode(REFUSING);
    await timers.setTimeout(randomSource.drawBetween(draw, 0, LONGEST_AWAY_MS));
    const writeAgain = store.restore(backup, draw() < 0.5);
    const gap = { fromMs: readNow(), untilMs: Infinity };
    records.storeGaps.push(gap);
    store.setMode(SERVING);
    await timers.setTimeout(randomSource.drawBetween(draw, 0, LONGEST_REWRITE_MS));
    writeAgain();
    gap.untilMs = readNow();
  }
}
