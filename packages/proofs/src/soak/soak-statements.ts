/** Has backend servers of the soak test make statements about themselves, one after the other. */
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import * as soakFaults from './soak-faults.js';
import type * as soakFleet from './soak-fleet.js';
import * as soakRecords from './soak-records.js';
import * as soakSeries from './soak-series.js';

/** Duration of a statement and of the pause before it, milliseconds. */
const MIN_DURATION_MS = 2000;
const MAX_DURATION_MS = 5000;
const MAX_PAUSE_MS = 1000;
/** Backoff that a backend server asks for, milliseconds. */
const MIN_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 3000;
/** Longest time before a backend server that has left restarts, milliseconds. */
const MAX_AWAY_MS = 1500;

/** Has one backend server make a statement for a while; one that is leaving then restarts. */
export async function applyStatement(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  kind: soakRecords.StatementKind,
): Promise<void> {
  const backend = randomSource.drawFrom(draw, fleet.backends);
  const statement: soakRecords.StatementRecord = {
    kind,
    server: backend.server.id,
    backoffMs: randomSource.drawBetween(draw, MIN_BACKOFF_MS, MAX_BACKOFF_MS),
    arrivals: [],
    announced: [],
  };
  fleet.records.statements.push(statement);
  backend.server.setStatement(statement);
  await timers.setTimeout(randomSource.drawBetween(draw, MIN_DURATION_MS, MAX_DURATION_MS));
  const awayMs = randomSource.drawBetween(draw, 0, MAX_AWAY_MS);
  const isSameId = draw() < 0.5;
  if (kind === soakRecords.StatementKind.LEAVING) {
    soakFaults.restartBackend(fleet, backend, awayMs, isSameId);
  }
  backend.server.setStatement(undefined);
}

/** Has backend servers make statements, by turns asking for a backoff and leaving. */
export function runStatements(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
): Promise<void> {
  const { LEAVING, BACKOFF } = soakRecords.StatementKind;
  return soakSeries.runSeries(draw, count, MAX_PAUSE_MS, (index) =>
    applyStatement(fleet, draw, index % 2 === 0 ? BACKOFF : LEAVING),
  );
}
