/** Evacuates failure domains of the soak test for a while, one after the other. */
import * as timers from 'node:timers/promises';
import * as platformFixtures from '@toucanproxy/platform/mocks/platform-fixtures';
import * as randomSource from '../mocks/random-source.js';
import * as soakFleet from './soak-fleet.js';
import * as soakSeries from './soak-series.js';

/** Duration of an evacuation and of the pause before it, milliseconds. */
const MIN_DURATION_MS = 200;
const MAX_DURATION_MS = 5000;
const MAX_PAUSE_MS = 1500;

/** Evacuates one failure domain for a while. */
export async function applyEvacuation(
  fleet: soakFleet.SoakFleet,
  failureDomain: string,
  forMs: number,
): Promise<void> {
  const evacuation = { failureDomain, fromMs: fleet.readNow(), untilMs: Infinity };
  platformFixtures.setEvacuated(fleet.store, failureDomain, true);
  fleet.records.evacuations.push(evacuation);
  await timers.setTimeout(forMs);
  evacuation.untilMs = fleet.readNow();
  platformFixtures.setEvacuated(fleet.store, failureDomain, false);
}

/** Evacuates failure domains in turn, so that never more than one is evacuated. */
export async function runEvacuations(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
): Promise<void> {
  await soakSeries.runSeries(draw, count, MAX_PAUSE_MS, async () => {
    const domain = soakFleet.formatDomain(Math.floor(draw() * soakFleet.DOMAINS));
    await applyEvacuation(
      fleet,
      domain,
      randomSource.drawBetween(draw, MIN_DURATION_MS, MAX_DURATION_MS),
    );
  });
}
