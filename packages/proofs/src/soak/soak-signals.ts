/** Sends signals to gateway processes of the soak test. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as timers from 'node:timers/promises';
import * as soakFleet from './soak-fleet.js';
import * as soakPorts from './soak-ports.js';
import type * as soakRecords from './soak-records.js';

/** A gateway still answers new calls for this long after SIGTERM, milliseconds. */
const SERVED_AFTER_TERM_MS = 2000;
const CLOSE_POLL_MS = 20;

/** Notes when a gateway that stops accepts no more connections. */
async function watchClose(
  { readNow }: soakFleet.SoakFleet,
  gateway: soakFleet.SoakGateway,
  stop: soakRecords.StopRecord,
): Promise<void> {
  while (await soakPorts.isAccepting(gateway.port)) {
    await timers.setTimeout(CLOSE_POLL_MS);
  }
  stop.closedMs = readNow();
}

/**
 * Stops a gateway with a signal and restarts it some time after its exit. Resolves once it serves
 * again; at once if it is stopping already. A planned stop ends with SIGKILL after the grace period.
 */
export async function stopGateway(
  fleet: soakFleet.SoakFleet,
  gateway: soakFleet.SoakGateway,
  signal: 'SIGTERM' | 'SIGKILL',
  awayMs: number,
): Promise<void> {
  const { child } = gateway;
  if (child === undefined || gateway.isStopping) {
    return;
  }
  gateway.isStopping = true;
  const { index } = gateway;
  const { records, graceMs } = fleet;
  const isPlanned = signal === 'SIGTERM';
  const signalledMs = fleet.readNow();
  const fromMs = signalledMs + (isPlanned ? SERVED_AFTER_TERM_MS : 0);
  const disturbance = { gateway: index, fromMs, untilMs: Infinity, isPlanned };
  records.disturbances.push(disturbance);
  const stop = {
    gateway: index,
    fromMs: signalledMs,
    untilMs: Infinity,
    closedMs: Infinity,
    graceMs,
  };
  if (isPlanned) {
    records.stops.push(stop);
    watchClose(fleet, gateway, stop);
  }
  const killing = setTimeout(() => child.kill('SIGKILL'), graceMs);
  await new Promise((resolve) => {
    child.on('exit', resolve);
    child.kill(signal);
  });
  clearTimeout(killing);
  stop.untilMs = fleet.readNow();
  await timers.setTimeout(awayMs);
  soakFleet.startGateway(fleet, gateway);
  await soakFleet.waitForGateway(fleet, gateway);
  disturbance.untilMs = fleet.readNow();
}

/**
 * Whether a process has installed its SIGHUP handler. Shortly after its start it hasn't, and
 * the signal's default action would terminate it.
 */
function isReloadHandled(pid: number): boolean {
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
  const caught = BigInt(`0x${/^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0'}`);
  return caught.toString(2).at(-os.constants.signals.SIGHUP) === '1';
}

/** Makes a gateway reload its settings. */
export function applyReload({ child }: soakFleet.SoakGateway): void {
  const isRunning = child?.exitCode === null && child.signalCode === null;
  if (child?.pid !== undefined && isRunning && isReloadHandled(child.pid)) {
    child.kill('SIGHUP');
  }
}
