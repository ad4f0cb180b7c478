/** What backend servers of a soak state about themselves, one after the other. */
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import * as soakFaults from './soak-faults.js';
import type * as soakFleet from './soak-fleet.js';
import * as soakRecords from './soak-records.js';
import * as soakSeries from './soak-series.js';

/** Times of a statement and of the pause before it, milliseconds. */
const SHORTEST_MS = 2000;
const LONGEST_MS = 5000;
const LONGEST_PAUSE_MS = 1000;
/** Times for which a backend server asks to get nothing, milliseconds. */
const SHORTEST_BACKOFF_MS = 1000;
const LONGEST_BACKOFF_MS = 3000;
/** Time for which a backend server that has left is away, milliseconds. */
const LONGEST_AWAY_MS = 1500;

/** Lets one backend server state something; one that leaves ends with that life. */
async function applyStatement(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  kind: soakRecords.StatementKind,
): Promise<void> {
  const backend = randomSource.drawFrom(draw, fleet.backends);
  const statement: soakRecords.StatementRecord = {
    kind,
    server: backend.server.id,
    backoffMs: randomSource.drawBetween(draw, SHORTEST_BACKOFF_MS, LONGEST_BACKOFF_MS),
    arrivals: [],
    told: [],
  };
  fleet.records.statements.push(statement);
  backend.server.setStatement(statement);
  await timers.setTimeout(randomSource.drawBetween(draw, SHORTEST_MS, LONGEST_MS));
  const awayMs = randomSource.drawBetween(draw, 0, LONGEST_AWAY_MS);
  const isSameId = draw() < 0.5;
  if (kind === soakRecords.StatementKind.LEAVING) {
    soakFaults.restartBackend(fleet, backend, awayMs, isSameId);
  }
  backend.server.setStatement(undefined);
}

/** Lets backend servers say by turns that they leave, and ask for a backoff. */
export function runStatements(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
): Promise<void> {
  const { LEAVING, BACKOFF } = soakRecords.StatementKind;
  return soakSeries.runSeries(draw, count, LONGEST_PAUSE_MS, (index) =>
    applyStatement(fleet, draw, index % 2 === 0 ? BACKOFF : LEAVING),
  );
}
