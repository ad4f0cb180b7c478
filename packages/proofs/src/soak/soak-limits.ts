/** Rate limits that backend servers of a soak name for a time, one after the other. */
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import type * as soakFleet from './soak-fleet.js';
import type * as soakRecords from './soak-records.js';
import * as soakSeries from './soak-series.js';

/** Times of a limit and of the pause before it, milliseconds. */
const SHORTEST_MS = 5000;
const LONGEST_MS = 9000;
const LONGEST_PAUSE_MS = 1000;
const LEAST_PER_SECOND = 0.5;
const MOST_PER_SECOND = 1.5;

/** Lets backend servers name rate limits in turn. */
export async function runLimits(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
): Promise<void> {
  await soakSeries.runSeries(draw, count, LONGEST_PAUSE_MS, async () => {
    const { server } = randomSource.drawFrom(draw, fleet.backends);
    const limit: soakRecords.LimitRecord = {
      server: server.id,
      perSecond: randomSource.drawBetween(draw, LEAST_PER_SECOND, MOST_PER_SECOND),
      arrivals: [],
      told: [],
    };
    fleet.records.limits.push(limit);
    server.setLimit(limit);
    await timers.setTimeout(randomSource.drawBetween(draw, SHORTEST_MS, LONGEST_MS));
    server.setLimit(undefined);
  });
}
