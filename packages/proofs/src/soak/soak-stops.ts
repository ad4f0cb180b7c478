/**
 * Stops gateways of the soak test as planned work does: one after the other, with further signals
 * and configurations meanwhile, also while all slots of the backend servers are taken.
 */
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import * as soakFleet from './soak-fleet.js';
import * as soakPorts from './soak-ports.js';
import * as soakSaturation from './soak-saturation.js';
import * as soakSeries from './soak-series.js';
import * as soakSignals from './soak-signals.js';

/** Pause before a round, between its stops, and between an exit and the next start, milliseconds. */
const MAX_PAUSE_MS = 1000;
const MAX_BETWEEN_MS = 3000;
const MAX_AWAY_MS = 1000;
/** A saturation begins this long before the first stop, and lasts so many grace periods. */
const SATURATED_BEFORE_MS = 800;
const MIN_SATURATED_GRACES = 1.1;
const MAX_SATURATED_GRACES = 1.5;
const SATURATED_SHARE = 0.6;
/** Share of stops after which the gateway is stopped again as it starts. */
const RESTOPPED_SHARE = 0.4;
/** Longest time after a start at which a starting gateway is stopped, milliseconds. */
const MAX_START_MS = 1500;
const POLL_MS = 2;
/** A gateway that does not accept connections within this time is stopped nevertheless, ms. */
const MAX_STARTED_MS = 10_000;
/** Most gateways that are stopped one after the other. */
const MAX_STOPS = 6;
const MAX_SIGNALS = 4;
const MAX_SEED = 2 ** 31;

/** Sends further signals and publishes configurations while a gateway stops. */
export function addSignals(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  gateway: soakFleet.SoakGateway,
  furtherActions: readonly (() => void)[] = [],
): void {
  const { child } = gateway;
  const actions = [
    () => child?.kill('SIGTERM'),
    () => gateway.child === child && soakSignals.applyReload(gateway),
    () => soakFleet.publishConfiguration(fleet),
    ...furtherActions,
  ];
  Array.from({ length: Math.floor(draw() * MAX_SIGNALS) }, () => {
    const act = randomSource.drawFrom(draw, actions);
    return setTimeout(act, draw() * fleet.graceMs);
  });
}

/** Stops a gateway; some are stopped again while they start. */
async function stopOne(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  gateway: soakFleet.SoakGateway,
): Promise<void> {
  const [awayMs, startMs, isRestopped, waitsForPort] = [
    draw() * MAX_AWAY_MS,
    draw() * MAX_START_MS,
    draw() < RESTOPPED_SHARE,
    draw() < 0.5,
  ];
  const serving = soakSignals.stopGateway(fleet, gateway, 'SIGTERM', awayMs);
  addSignals(fleet, draw, gateway);
  if (isRestopped) {
    while (gateway.isStopping) {
      await timers.setTimeout(POLL_MS);
    }
    await (waitsForPort
      ? soakPorts.waitUntilAccepting(gateway.port, MAX_STARTED_MS)
      : timers.setTimeout(startMs));
    await soakSignals.stopGateway(fleet, gateway, 'SIGTERM', awayMs);
  }
  await serving;
}

/** Stops some of the gateways one after the other. */
async function stopSeveral(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
): Promise<void> {
  const { gateways } = fleet;
  const first = Math.floor(draw() * gateways.length);
  const count = 1 + Math.floor(draw() * Math.min(gateways.length, MAX_STOPS));
  const stops: Promise<void>[] = [];
  for (let index = 0; index < count; index += 1) {
    stops.push(stopOne(fleet, draw, gateways[(first + index) % gateways.length]));
    await timers.setTimeout(draw() * MAX_BETWEEN_MS);
  }
  await Promise.all(stops);
}

/** Plays rounds of planned stops; in the first one, and in some others, requests wait for slots. */
export async function runStops(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
): Promise<void> {
  await soakSeries.runSeries(draw, count, MAX_PAUSE_MS, async (index) => {
    const isSaturated = draw() < SATURATED_SHARE || index === 0;
    const graces = randomSource.drawBetween(draw, MIN_SATURATED_GRACES, MAX_SATURATED_GRACES);
    // A source of its own: how often callers draw depends on times, and the stops must not.
    const drawLoad = randomSource.createRandomSource(Math.floor(draw() * MAX_SEED));
    const saturation = isSaturated
      ? soakSaturation.takeSlots(fleet, drawLoad, graces * fleet.graceMs)
      : undefined;
    await timers.setTimeout(SATURATED_BEFORE_MS);
    await stopSeveral(fleet, draw);
    await saturation;
  });
}
