/**
 * Has a workspace send a request that ends each backend server that runs it, again and again.
 * Another workspace sends the same request, which is harmless then.
 */
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import * as soakCall from './soak-call.js';
import * as soakFaults from './soak-faults.js';
import type * as soakFleet from './soak-fleet.js';
import * as soakRecords from './soak-records.js';
import * as soakSeries from './soak-series.js';

const HARMLESS_WORKSPACE = 'workspace-b';
const DEADLINE_MS = 2000;
const MAX_PAUSE_MS = 800;
/** Time until a lost backend server is back, milliseconds. */
const MIN_AWAY_MS = 500;
const MAX_AWAY_MS = 2500;

/** Sends the request as a workspace, at a gateway. */
async function sendCall(
  fleet: soakFleet.SoakFleet,
  workspace: string,
  gateway: number,
  id: string,
): Promise<void> {
  const held = fleet.credentials.find((one) => one.workspace === workspace);
  const call = {
    id,
    kind: soakRecords.CallKind.SAFE,
    path: soakRecords.CRASHING_PATH,
    body: '',
    credential: held?.credential ?? '',
    workspace,
    gateway,
    deadlineMs: DEADLINE_MS,
  };
  await soakCall.makeCall(fleet, call, fleet.gateways[gateway].callers.port, undefined);
}

/** Sends the request as both workspaces, at the next gateway. */
async function sendCalls(fleet: soakFleet.SoakFleet, index: number): Promise<void> {
  const gateway = index % fleet.gateways.length;
  await sendCall(fleet, soakRecords.CRASHING_WORKSPACE, gateway, `crash-${index}`);
  await sendCall(fleet, HARMLESS_WORKSPACE, gateway, `harmless-${index}`);
}

/** Sends the request a number of times; backend servers restart under their id or a new one. */
export async function runCrashes(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
): Promise<void> {
  const { crashes } = fleet.records;
  fleet.backends.forEach((backend) =>
    backend.server.setCrash(() => {
      crashes.push({ server: backend.server.id, atMs: fleet.readNow() });
      const awayMs = randomSource.drawBetween(draw, MIN_AWAY_MS, MAX_AWAY_MS);
      soakFaults.restartBackend(fleet, backend, awayMs, draw() < 0.5);
    }),
  );
  await soakSeries.runSeries(draw, count, MAX_PAUSE_MS, (index) => sendCalls(fleet, index));
  await timers.setTimeout(MAX_AWAY_MS);
}
