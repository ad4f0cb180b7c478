/** Failure domains that a soak has evacuated and takes back, one after the other. */
import * as timers from 'node:timers/promises';
import * as standInWire from '@toucanproxy/platform/mocks/platform-fixtures';
import * as randomSource from '../mocks/random-source.js';
import * as soakFleet from './soak-fleet.js';
import * as soakSeries from './soak-series.js';

/** Times of an evacuation and of the pause before it, milliseconds. */
const SHORTEST_MS = 200;
const LONGEST_MS = 5000;
const LONGEST_PAUSE_MS = 1500;

/** Has one failure domain evacuated for a time. */
async function applyEvacuation(
  fleet: soakFleet.SoakFleet,
  failureDomain: string,
  forMs: number,
): Promise<void> {
  const evacuation = { failureDomain, fromMs: fleet.readNow(), untilMs: Infinity };
  standInWire.setEvacuated(fleet.store, failureDomain, true);
  fleet.records.evacuations.push(evacuation);
  await timers.setTimeout(forMs);
  evacuation.untilMs = fleet.readNow();
  standInWire.setEvacuated(fleet.store, failureDomain, false);
}

/** Has failure domains evacuated in turn; never all of them at once. */
export async function runEvacuations(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
): Promise<void> {
  await soakSeries.runSeries(draw, count, LONGEST_PAUSE_MS, async () => {
    const domain = soakFleet.formatDomain(Math.floor(draw() * soakFleet.DOMAINS));
    await applyEvacuation(fleet, domain, randomSource.drawBetween(draw, SHORTEST_MS, LONGEST_MS));
  });
}
