/** Has backend servers of the soak test announce rate limits for a while, one after the other. */
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import type * as soakFleet from './soak-fleet.js';
import type * as soakRecords from './soak-records.js';
import * as soakSeries from './soak-series.js';

/** Duration of a limit and of the pause before it, milliseconds. */
const MIN_DURATION_MS = 5000;
const MAX_DURATION_MS = 9000;
const MAX_PAUSE_MS = 1000;
const MIN_PER_SECOND = 0.5;
const MAX_PER_SECOND = 1.5;

/** Has one backend server announce a rate limit for a while. */
export async function applyLimit(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
): Promise<void> {
  const { server } = randomSource.drawFrom(draw, fleet.backends);
  const limit: soakRecords.LimitRecord = {
    server: server.id,
    perSecond: randomSource.drawBetween(draw, MIN_PER_SECOND, MAX_PER_SECOND),
    arrivals: [],
    announced: [],
  };
  fleet.records.limits.push(limit);
  server.setLimit(limit);
  await timers.setTimeout(randomSource.drawBetween(draw, MIN_DURATION_MS, MAX_DURATION_MS));
  server.setLimit(undefined);
}

/** Has backend servers announce rate limits in turn. */
export async function runLimits(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
): Promise<void> {
  await soakSeries.runSeries(draw, count, MAX_PAUSE_MS, () => applyLimit(fleet, draw));
}
