/**
 * Faults of the soak test: drawn from a seed, injected from outside the processes, and undone
 * after a while.
 *
 * Faults may overlap and follow each other, also on the same process, as they do when
 * a VM is failing.
 */
import * as timers from 'node:timers/promises';
import * as platformFixtures from '@toucanproxy/platform/mocks/platform-fixtures';
import * as storeStandIn from '@toucanproxy/platform/mocks/store-stand-in';
import type * as forwarder from '../mocks/forwarder.js';
import * as randomSource from '../mocks/random-source.js';
import * as soakFleet from './soak-fleet.js';
import * as soakSignals from './soak-signals.js';

export enum FaultKind {
  KILL = 'kill',
  TERM = 'term',
  RELOAD = 'reload',
  FREEZE = 'freeze',
  CALLERS_RESET = 'callers-reset',
  CALLERS_SILENT = 'callers-silent',
  CALLERS_SLOW = 'callers-slow',
  STORE_LINK_BLOCKED = 'store-link-blocked',
  STORE_LINK_RESET = 'store-link-reset',
  STORE_LINK_SILENT = 'store-link-silent',
  STORE_LINK_SLOW = 'store-link-slow',
  STORE_REFUSING = 'store-refusing',
  STORE_SILENT = 'store-silent',
  STORE_HISTORY_GONE = 'store-history-gone',
  BACKEND_CRASH = 'backend-crash',
  BACKEND_RESTART = 'backend-restart',
  BACKEND_DRAIN = 'backend-drain',
  BACKEND_RESET = 'backend-reset',
  BACKEND_SILENT = 'backend-silent',
  BACKEND_ANSWERS_CUT = 'backend-answers-cut',
  BACKEND_SLOW = 'backend-slow',
  ENTRY_UNREADABLE = 'entry-unreadable',
  KEY_REVOKED = 'key-revoked',
  CONFIGURATIONS = 'configurations',
}

export type Fault = {
  kind: FaultKind;
  atMs: number;
  forMs: number;
  /** Number in [0, 1) that selects the gateway, backend server or key. */
  target: number;
};

const KINDS = Object.values(FaultKind);
const MAX_FAULT_MS = 3000;
const SLOW_MS = 60;
const SERIES = 5;
/** A gateway or link counts as disturbed for this long after its fault is over, milliseconds. */
const AFTER_MS = 1500;

/** Draws the faults of one run, in the order of their times. */
export function drawFaults(
  draw: randomSource.DrawRandom,
  count: number,
  fromMs: number,
  untilMs: number,
): Fault[] {
  const faults = Array.from({ length: count }, () => ({
    kind: randomSource.drawFrom(draw, KINDS),
    atMs: randomSource.drawBetween(draw, fromMs, untilMs),
    forMs: randomSource.drawBetween(draw, 50, MAX_FAULT_MS),
    target: draw(),
  }));
  return faults.sort((a, b) => a.atMs - b.atMs);
}

/** Records that a gateway is disturbed from now on. */
function recordDisturbance(
  { records, readNow }: soakFleet.SoakFleet,
  gateway: soakFleet.SoakGateway,
  forMs: number,
): void {
  const fromMs = readNow();
  records.disturbances.push({ gateway: gateway.index, fromMs, untilMs: fromMs + forMs });
}

/** Records that a gateway may not reach the store; all of them if `gateway` is undefined. */
function recordStoreFault(
  { records, readNow }: soakFleet.SoakFleet,
  gateway: number | undefined,
  forMs: number,
): void {
  const fromMs = readNow();
  records.storeFaults.push({ gateway, fromMs, untilMs: fromMs + forMs + AFTER_MS });
}

/** Suspends a gateway's process for a while. */
function pauseGateway(
  fleet: soakFleet.SoakFleet,
  gateway: soakFleet.SoakGateway,
  forMs: number,
): void {
  const { child } = gateway;
  recordDisturbance(fleet, gateway, forMs + AFTER_MS);
  child?.kill('SIGSTOP');
  setTimeout(() => child?.kill('SIGCONT'), forMs);
}

/** Records that a backend server or its link is disturbed for a while from now on. */
function recordServerFault(
  { records, readNow }: soakFleet.SoakFleet,
  { server }: soakFleet.SoakBackend,
  forMs: number,
): void {
  const fromMs = readNow();
  records.serverFaults.push({ server: server.id, fromMs, untilMs: fromMs + forMs + AFTER_MS });
}

/** Delays all traffic on a link for a while. */
function applyDelay(link: forwarder.Forwarder, forMs: number): void {
  link.setDelay(SLOW_MS);
  setTimeout(() => link.setDelay(0), forMs);
}

/** Blocks a link for a while. */
function pauseLink(link: forwarder.Forwarder, forMs: number): void {
  link.block();
  setTimeout(() => link.unblock(), forMs);
}

/** Switches the store to a failure mode for a while. */
function setStoreMode(
  fleet: soakFleet.SoakFleet,
  mode: storeStandIn.StoreMode,
  forMs: number,
): void {
  recordStoreFault(fleet, undefined, forMs);
  fleet.store.setMode(mode);
  setTimeout(() => fleet.store.setMode(storeStandIn.StoreMode.SERVING), forMs);
}

/** Applies a fault of a gateway or its links; does nothing for other kinds. */
function applyToGateway(fleet: soakFleet.SoakFleet, { kind, forMs, target }: Fault): void {
  const gateway = fleet.gateways[Math.floor(target * fleet.gateways.length)];
  const actions: Partial<Record<FaultKind, () => void>> = {
    [FaultKind.KILL]: () => soakSignals.stopGateway(fleet, gateway, 'SIGKILL', forMs),
    [FaultKind.TERM]: () => soakSignals.stopGateway(fleet, gateway, 'SIGTERM', forMs),
    [FaultKind.RELOAD]: () => {
      if (!gateway.isStopping) {
        soakSignals.applyReload(gateway);
      }
    },
    [FaultKind.FREEZE]: () => pauseGateway(fleet, gateway, forMs),
    [FaultKind.CALLERS_RESET]: () => {
      recordDisturbance(fleet, gateway, AFTER_MS);
      gateway.callers.reset();
    },
    [FaultKind.CALLERS_SILENT]: () => {
      recordDisturbance(fleet, gateway, forMs + AFTER_MS);
      gateway.callers.blackhole();
      // Otherwise an idle connection would stay silent for good and lose a call long after
      // the fault is over.
      setTimeout(() => gateway.callers.reset(), forMs);
    },
    [FaultKind.CALLERS_SLOW]: () => {
      recordDisturbance(fleet, gateway, forMs + AFTER_MS);
      applyDelay(gateway.callers, forMs);
    },
    [FaultKind.STORE_LINK_BLOCKED]: () => {
      recordStoreFault(fleet, gateway.index, forMs);
      pauseLink(gateway.store, forMs);
    },
    [FaultKind.STORE_LINK_RESET]: () => {
      recordStoreFault(fleet, gateway.index, 0);
      gateway.store.reset();
    },
    [FaultKind.STORE_LINK_SILENT]: () => {
      recordStoreFault(fleet, gateway.index, 0);
      gateway.store.blackhole();
    },
    [FaultKind.STORE_LINK_SLOW]: () => {
      recordStoreFault(fleet, gateway.index, forMs);
      applyDelay(gateway.store, forMs);
    },
  };
  actions[kind]?.();
}

/** Partitions the open connections of a backend server, in one direction or in both. */
function dropBytes(
  fleet: soakFleet.SoakFleet,
  backend: soakFleet.SoakBackend,
  forMs: number,
  silence: () => void,
): void {
  recordServerFault(fleet, backend, forMs);
  silence();
  if (fleet.hasStops) {
    // Otherwise a request that is sent on such a connection long after the fault would be lost at
    // a planned stop.
    setTimeout(() => backend.link.reset(), forMs);
  }
}

/** Crashes a backend server and restarts it under the same id or a new one. */
export function restartBackend(
  fleet: soakFleet.SoakFleet,
  backend: soakFleet.SoakBackend,
  forMs: number,
  isSameId: boolean,
): void {
  const { link, server } = backend;
  const before = server.id;
  recordServerFault(fleet, backend, forMs);
  link.block();
  link.reset();
  platformFixtures.removeServer(fleet.store, before);
  setTimeout(() => {
    link.unblock();
    backend.incarnations += 1;
    backend.bornMs = Date.now();
    backend.version = isSameId ? backend.version : soakFleet.formatVersion(backend.incarnations);
    server.setBornMs(backend.bornMs);
    server.rename(isSameId ? before : `${before}.${backend.incarnations}`, backend.version);
    soakFleet.publishBackend(fleet, backend);
  }, forMs);
}

/** Marks a backend server as draining for a while. */
function withdrawBackend(
  fleet: soakFleet.SoakFleet,
  backend: soakFleet.SoakBackend,
  forMs: number,
): void {
  soakFleet.publishBackend(fleet, backend, 'draining');
  setTimeout(() => soakFleet.publishBackend(fleet, backend), forMs);
}

/** Applies a fault of a backend server, its link or its store entry. */
function applyToBackend(fleet: soakFleet.SoakFleet, { kind, forMs, target }: Fault): void {
  const backend = fleet.backends[Math.floor(target * fleet.backends.length)];
  const { link, server } = backend;
  const actions: Partial<Record<FaultKind, () => void>> = {
    [FaultKind.BACKEND_CRASH]: () => restartBackend(fleet, backend, forMs, false),
    [FaultKind.BACKEND_RESTART]: () => restartBackend(fleet, backend, forMs, true),
    [FaultKind.BACKEND_DRAIN]: () => withdrawBackend(fleet, backend, forMs),
    [FaultKind.BACKEND_RESET]: () => {
      recordServerFault(fleet, backend, 0);
      link.reset();
    },
    [FaultKind.BACKEND_SILENT]: () => dropBytes(fleet, backend, forMs, link.blackhole),
    [FaultKind.BACKEND_ANSWERS_CUT]: () => dropBytes(fleet, backend, forMs, link.dropResponses),
    [FaultKind.BACKEND_SLOW]: () => {
      recordServerFault(fleet, backend, forMs);
      applyDelay(link, forMs);
    },
    [FaultKind.ENTRY_UNREADABLE]: () => {
      platformFixtures.writeMalformedEntry(fleet.store, server.id);
      setTimeout(() => soakFleet.publishBackend(fleet, backend), forMs);
    },
  };
  actions[kind]?.();
}

/** Revokes a key and issues another one for its workspace. */
function withdrawKey(fleet: soakFleet.SoakFleet, target: number): void {
  const at = Math.floor(target * fleet.credentials.length);
  const [{ credential, workspace }] = fleet.credentials.splice(at, 1);
  fleet.credentials.push({ credential: `${credential}.${fleet.version}`, workspace });
  soakFleet.publishConfiguration(fleet);
  fleet.records.revocations.push({ credential, atMs: fleet.readNow() });
}

/** Applies a fault of the store or a change of its contents. */
function applyToStore(fleet: soakFleet.SoakFleet, { kind, forMs, target }: Fault): void {
  const { REFUSING, SILENT } = storeStandIn.StoreMode;
  const actions: Partial<Record<FaultKind, () => void>> = {
    [FaultKind.STORE_REFUSING]: () => setStoreMode(fleet, REFUSING, forMs),
    [FaultKind.STORE_SILENT]: () => setStoreMode(fleet, SILENT, forMs),
    [FaultKind.STORE_HISTORY_GONE]: () => fleet.store.dropHistory(),
    [FaultKind.KEY_REVOKED]: () => withdrawKey(fleet, target),
    [FaultKind.CONFIGURATIONS]: () =>
      Array.from({ length: SERIES }, () => soakFleet.publishConfiguration(fleet)),
  };
  actions[kind]?.();
}

/** Injects a fault; timers undo it. */
export function applyFault(fleet: soakFleet.SoakFleet, fault: Fault): void {
  applyToGateway(fleet, fault);
  applyToBackend(fleet, fault);
  applyToStore(fleet, fault);
}

/** Applies each fault at its time. */
export async function applyFaults(
  fleet: soakFleet.SoakFleet,
  faults: readonly Fault[],
): Promise<void> {
  const beganMs = fleet.readNow();
  await Promise.all(
    faults.map(async (fault) => {
      await timers.setTimeout(Math.max(beganMs + fault.atMs - fleet.readNow(), 0));
      applyFault(fleet, fault);
    }),
  );
}
