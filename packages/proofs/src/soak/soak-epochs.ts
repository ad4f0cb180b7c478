/** Restores the store of the soak test from older backups of itself, which starts a new epoch. */
import * as timers from 'node:timers/promises';
import * as storeStandIn from '@toucanproxy/platform/mocks/store-stand-in';
import * as randomSource from '../mocks/random-source.js';
import type * as soakFleet from './soak-fleet.js';

/**
 * Age of a backup, how long the store is unavailable, and the time until lost changes are
 * written again, milliseconds.
 */
const MIN_AGE_MS = 500;
const MAX_AGE_MS = 4000;
const MAX_AWAY_MS = 600;
const MAX_REWRITE_MS = 1500;

/** Restores the store once; changes that the restore loses are written again. */
export async function applyRestore(
  { store, records, readNow }: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
): Promise<void> {
  const { REFUSING, SERVING } = storeStandIn.StoreMode;
  const backup = store.backUp();
  await timers.setTimeout(randomSource.drawBetween(draw, MIN_AGE_MS, MAX_AGE_MS));
  store.setMode(REFUSING);
  await timers.setTimeout(randomSource.drawBetween(draw, 0, MAX_AWAY_MS));
  const writeAgain = store.restore(backup, draw() < 0.5);
  const gap = { fromMs: readNow(), untilMs: Infinity };
  records.storeGaps.push(gap);
  store.setMode(SERVING);
  await timers.setTimeout(randomSource.drawBetween(draw, 0, MAX_REWRITE_MS));
  writeAgain();
  gap.untilMs = readNow();
}

/** Restores the store several times in turn. */
export async function runEpochs(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    await applyRestore(fleet, draw);
  }
}
