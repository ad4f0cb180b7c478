/**
 * Faults of a soak: drawn from a seed, put in from outside, and taken away again.
 *
 * Faults overlap and come in series, also on the same process, as they do when
 * something goes wrong on a VM.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as timers from 'node:timers/promises';
import * as standInWire from '@toucanproxy/platform/mocks/platform-fixtures';
import * as storeStandIn from '@toucanproxy/platform/mocks/store-stand-in';
import type * as forwarder from '../mocks/forwarder.js';
import * as randomSource from '../mocks/random-source.js';
import * as soakFleet from './soak-fleet.js';

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
  /** Draws the thing that it strikes. */
  target: number;
};

const KINDS = Object.values(FaultKind);
const LONGEST_FAULT_MS = 3000;
const SLOW_MS = 60;
const SERIES = 5;
/** A gateway that is told to stop answers what comes in this time, milliseconds. */
const SERVED_AFTER_TERM_MS = 2000;
/** A caller's link is disturbed for this long after its fault is over, milliseconds. */
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
    forMs: randomSource.drawBetween(draw, 50, LONGEST_FAULT_MS),
    target: draw(),
  }));
  return faults.sort((a, b) => a.atMs - b.atMs);
}

/** Notes that something is done to a gateway. */
function noteDisturbance(
  { records, readNow }: soakFleet.SoakFleet,
  gateway: soakFleet.SoakGateway,
  forMs: number,
): void {
  const fromMs = readNow();
  records.disturbances.push({ gateway: gateway.index, fromMs, untilMs: fromMs + forMs });
}

/** Notes that a gateway, or all of them, may not reach the store. */
function noteStoreFault(
  { records, readNow }: soakFleet.SoakFleet,
  gateway: number | undefined,
  forMs: number,
): void {
  const fromMs = readNow();
  records.storeFaults.push({ gateway, fromMs, untilMs: fromMs + forMs + AFTER_MS });
}

/** Ends a gateway with a signal; it is started again after a time. */
function endGateway(
  fleet: soakFleet.SoakFleet,
  gateway: soakFleet.SoakGateway,
  signal: NodeJS.Signals,
  forMs: number,
): void {
  const { child } = gateway;
  if (child === undefined || gateway.isEnding) {
    return;
  }
  gateway.isEnding = true;
  const { disturbances } = fleet.records;
  const servedMs = signal === 'SIGTERM' ? SERVED_AFTER_TERM_MS : 0;
  const fromMs = fleet.readNow() + servedMs;
  const disturbance = { gateway: gateway.index, fromMs, untilMs: Infinity };
  disturbances.push(disturbance);
  child.on('exit', async () => {
    await timers.setTimeout(forMs);
    soakFleet.startGateway(fleet, gateway);
    await soakFleet.waitForGateway(fleet, gateway);
    disturbance.untilMs = fleet.readNow();
  });
  child.kill(signal);
}

/** Stands a gateway still for a time. */
function pauseGateway(
  fleet: soakFleet.SoakFleet,
  gateway: soakFleet.SoakGateway,
  forMs: number,
): void {
  const { child } = gateway;
  noteDisturbance(fleet, gateway, forMs + AFTER_MS);
  child?.kill('SIGSTOP');
  setTimeout(() => child?.kill('SIGCONT'), forMs);
}

/**
 * Tells whether the code of a process has begun to handle SIGHUP: in the first moments of
 * a process there is no code yet that could, and the signal ends any program.
 */
function isReloadHandled(pid: number): boolean {
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
  const caught = BigInt(`0x${/^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0'}`);
  return caught.toString(2).at(-os.constants.signals.SIGHUP) === '1';
}

/** Tells a gateway that its settings have changed. */
function applyReload({ child, isEnding }: soakFleet.SoakGateway): void {
  if (child?.pid !== undefined && !isEnding && isReloadHandled(child.pid)) {
    child.kill('SIGHUP');
  }
}

/** Holds a link up for a time. */
function holdLink(link: forwarder.Forwarder, forMs: number): void {
  link.setDelay(SLOW_MS);
  setTimeout(() => link.setDelay(0), forMs);
}

/** Lets nothing pass on a link for a time. */
function closeLink(link: forwarder.Forwarder, forMs: number): void {
  link.block();
  setTimeout(() => link.unblock(), forMs);
}

/** Puts the store into a mode for a time. */
function setStoreMode(
  fleet: soakFleet.SoakFleet,
  mode: storeStandIn.StoreMode,
  forMs: number,
): void {
  noteStoreFault(fleet, undefined, forMs);
  fleet.store.setMode(mode);
  setTimeout(() => fleet.store.setMode(storeStandIn.StoreMode.SERVING), forMs);
}

/** Strikes a gateway or its links. */
function applyToGateway(fleet: soakFleet.SoakFleet, { kind, forMs, target }: Fault): void {
  const gateway = fleet.gateways[Math.floor(target * fleet.gateways.length)];
  const strikes: Partial<Record<FaultKind, () => void>> = {
    [FaultKind.KILL]: () => endGateway(fleet, gateway, 'SIGKILL', forMs),
    [FaultKind.TERM]: () => endGateway(fleet, gateway, 'SIGTERM', forMs),
    [FaultKind.RELOAD]: () => applyReload(gateway),
    [FaultKind.FREEZE]: () => pauseGateway(fleet, gateway, forMs),
    [FaultKind.CALLERS_RESET]: () => {
      noteDisturbance(fleet, gateway, AFTER_MS);
      gateway.callers.reset();
    },
    [FaultKind.CALLERS_SILENT]: () => {
      noteDisturbance(fleet, gateway, forMs + AFTER_MS);
      gateway.callers.blackhole();
      // Else a connection that rests would stay silent for good, and lose a call
      // long after the fault is over.
      setTimeout(() => gateway.callers.reset(), forMs);
    },
    [FaultKind.CALLERS_SLOW]: () => {
      noteDisturbance(fleet, gateway, forMs + AFTER_MS);
      holdLink(gateway.callers, forMs);
    },
    [FaultKind.STORE_LINK_BLOCKED]: () => {
      noteStoreFault(fleet, gateway.index, forMs);
      closeLink(gateway.store, forMs);
    },
    [FaultKind.STORE_LINK_RESET]: () => {
      noteStoreFault(fleet, gateway.index, 0);
      gateway.store.reset();
    },
    [FaultKind.STORE_LINK_SILENT]: () => {
      noteStoreFault(fleet, gateway.index, 0);
      gateway.store.blackhole();
    },
    [FaultKind.STORE_LINK_SLOW]: () => {
      noteStoreFault(fleet, gateway.index, forMs);
      holdLink(gateway.store, forMs);
    },
  };
  strikes[kind]?.();
}

/** Crashes a backend server; it comes back under its id or under a new one. */
export function restartBackend(
  fleet: soakFleet.SoakFleet,
  backend: soakFleet.SoakBackend,
  forMs: number,
  isSameId: boolean,
): void {
  const { link, server } = backend;
  const before = server.id;
  link.block();
  link.reset();
  standInWire.removeServer(fleet.store, before);
  setTimeout(() => {
    link.unblock();
    backend.lives += 1;
    backend.bornMs = Date.now();
    server.rename(isSameId ? before : `${before}.${backend.lives}`);
    soakFleet.publishBackend(fleet, backend);
  }, forMs);
}

/** Takes a backend server out of service for a time. */
function withdrawBackend(
  fleet: soakFleet.SoakFleet,
  backend: soakFleet.SoakBackend,
  forMs: number,
): void {
  soakFleet.publishBackend(fleet, backend, 'draining');
  setTimeout(() => soakFleet.publishBackend(fleet, backend), forMs);
}

/** Strikes a backend server, its link or its entry. */
function applyToBackend(fleet: soakFleet.SoakFleet, { kind, forMs, target }: Fault): void {
  const backend = fleet.backends[Math.floor(target * fleet.backends.length)];
  const { link, server } = backend;
  const strikes: Partial<Record<FaultKind, () => void>> = {
    [FaultKind.BACKEND_CRASH]: () => restartBackend(fleet, backend, forMs, false),
    [FaultKind.BACKEND_RESTART]: () => restartBackend(fleet, backend, forMs, true),
    [FaultKind.BACKEND_DRAIN]: () => withdrawBackend(fleet, backend, forMs),
    [FaultKind.BACKEND_RESET]: () => link.reset(),
    [FaultKind.BACKEND_SILENT]: () => link.blackhole(),
    [FaultKind.BACKEND_ANSWERS_CUT]: () => link.dropResponses(),
    [FaultKind.BACKEND_SLOW]: () => holdLink(link, forMs),
    [FaultKind.ENTRY_UNREADABLE]: () => {
      standInWire.writeMalformedEntry(fleet.store, server.id);
      setTimeout(() => soakFleet.publishBackend(fleet, backend), forMs);
    },
  };
  strikes[kind]?.();
}

/** Takes a key away; another one of its workspace stays. */
function withdrawKey(fleet: soakFleet.SoakFleet, target: number): void {
  const at = Math.floor(target * fleet.credentials.length);
  const [{ credential, workspace }] = fleet.credentials.splice(at, 1);
  fleet.credentials.push({ credential: `${credential}.${fleet.version}`, workspace });
  soakFleet.publishConfiguration(fleet);
  fleet.records.revocations.push({ credential, atMs: fleet.readNow() });
}

/** Strikes the store or what stands in it. */
function applyToStore(fleet: soakFleet.SoakFleet, { kind, forMs, target }: Fault): void {
  const { REFUSING, SILENT } = storeStandIn.StoreMode;
  const strikes: Partial<Record<FaultKind, () => void>> = {
    [FaultKind.STORE_REFUSING]: () => setStoreMode(fleet, REFUSING, forMs),
    [FaultKind.STORE_SILENT]: () => setStoreMode(fleet, SILENT, forMs),
    [FaultKind.STORE_HISTORY_GONE]: () => fleet.store.dropHistory(),
    [FaultKind.KEY_REVOKED]: () => withdrawKey(fleet, target),
    [FaultKind.CONFIGURATIONS]: () =>
      Array.from({ length: SERIES }, () => soakFleet.publishConfiguration(fleet)),
  };
  strikes[kind]?.();
}

/** Puts one fault in; it is taken away by itself. */
export function applyFault(fleet: soakFleet.SoakFleet, fault: Fault): void {
  applyToGateway(fleet, fault);
  applyToBackend(fleet, fault);
  applyToStore(fleet, fault);
}
