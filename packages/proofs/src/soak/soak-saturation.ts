/** Keeps the slots of all backend servers of the soak test taken, so that requests wait. */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import * as soakCall from './soak-call.js';
import type * as soakFleet from './soak-fleet.js';
import * as soakRecords from './soak-records.js';
import * as soakServer from './soak-server.js';

/** Callers per slot; those without a slot wait. */
const CALLERS_PER_SLOT = 3;
/** Longer than any saturation, so that a request may wait throughout a graceful shutdown. */
const DEADLINE_MS = 18_000;
/** Runs of a saturation that does not hold all of them, milliseconds. */
const MIN_RUN_MS = 30;
const MAX_RUN_MS = 5000;
/** Within this time after their release the held runs end, milliseconds. */
const RELEASE_MS = 500;
const MAX_PAUSE_MS = 300;
const KINDS = [soakRecords.CallKind.SAFE, soakRecords.CallKind.UNSAFE];

/** Builds a call with a long deadline. */
function buildCall(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  id: string,
  gateway: number,
): soakCall.PlannedCall {
  const kind = randomSource.drawFrom(draw, KINDS);
  const held = randomSource.drawFrom(draw, fleet.credentials);
  return { id, kind, path: `/${kind}/${id}`, body: id, ...held, gateway, deadlineMs: DEADLINE_MS };
}

/** Sends one call after the other until a time; moves to another gateway after a failure. */
async function runCaller(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  name: string,
  untilMs: number,
): Promise<void> {
  const { gateways } = fleet;
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  let gateway = Math.floor(draw() * gateways.length);
  for (let serial = 1; fleet.readNow() < untilMs; serial += 1) {
    const call = buildCall(fleet, draw, `${name}-${serial}`, gateway);
    const made = await soakCall.makeCall(fleet, call, gateways[gateway].callers.port, agent);
    if (made.response?.status !== 200) {
      gateway = draw() < 0.5 ? gateway : (gateway + 1) % gateways.length;
      await timers.setTimeout(draw() * MAX_PAUSE_MS);
    }
  }
  agent.destroy();
}

/**
 * Takes all slots for a time with requests of many callers: each run lasts until the end of that
 * time, or for some seconds.
 */
export async function takeSlots(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  forMs: number,
): Promise<void> {
  const untilMs = fleet.readNow() + forMs;
  const isHeld = draw() < 0.5;
  const drawWorkMs = () =>
    isHeld
      ? Math.max(untilMs - fleet.readNow(), 0) + draw() * RELEASE_MS
      : randomSource.drawBetween(draw, MIN_RUN_MS, MAX_RUN_MS);
  fleet.backends.forEach(({ server }) => server.setWork(drawWorkMs));
  const slots = soakServer.SLOTS * fleet.backends.length;
  const calling = Array.from({ length: CALLERS_PER_SLOT * slots }, (_, index) =>
    runCaller(fleet, draw, `waiting-${Math.round(untilMs)}-${index}`, untilMs),
  );
  await timers.setTimeout(forMs);
  fleet.backends.forEach(({ server }) => server.setWork(undefined));
  await Promise.all(calling);
}
