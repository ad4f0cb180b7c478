/** Starts, pauses and stops the processes of a virtual fleet. */
import * as core from '@toucanproxy/core';
import * as fleetLinks from './fleet-links.js';
import * as fleetState from './fleet-state.js';
import * as randomSource from './random-source.js';
import * as virtualCallers from './virtual-callers.js';
import * as virtualEngine from './virtual-engine.js';
import * as virtualPlatform from './virtual-platform.js';
import * as virtualProcesses from './virtual-processes.js';

const TICK_MS = 25;
const POLL_MS = 400;

/** Creates the state of an entry that has just started; `life` numbers its incarnation. */
export function createEntryState(
  fleet: fleetState.VirtualFleet,
  entryId: string,
  life: number,
): core.EntryState {
  const identity = { entryId, life: `e${life}`, failureDomain: 'suva-loft' };
  return core.createEntryState(identity, fleet.options.buildPolicy(fleet.drawRandom));
}

/** Creates the state of an agent that has just started; `life` numbers its incarnation. */
export function createAgentState(
  fleet: fleetState.VirtualFleet,
  backendServerId: string,
  life: number,
  now: number,
): core.AgentState {
  const { service } = fleet.options;
  return core.createAgentState({ backendServerId, service, life: `a${life}` }, now);
}

/** Starts the ticks and the polling of the platform for one incarnation of a process. */
export function startLoops(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
): void {
  const { life } = process;
  const isSameIncarnation = () => process.alive && process.life === life;
  const tick = () => {
    if (isSameIncarnation()) {
      applyTick(fleet, process);
      fleetState.schedule(fleet, TICK_MS, tick);
    }
  };
  const poll = () => {
    if (isSameIncarnation()) {
      readPlatform(fleet, process, life);
      fleetState.schedule(
        fleet,
        randomSource.drawBetween(fleet.drawRandom, POLL_MS / 2, POLL_MS),
        poll,
      );
    }
  };
  fleetState.schedule(fleet, fleet.drawRandom() * TICK_MS, tick);
  fleetState.schedule(fleet, 1, poll);
}

/** Ticks a process unless it is paused; a timer does not make up for missed ticks. */
function applyTick(fleet: fleetState.VirtualFleet, process: virtualProcesses.VirtualProcess): void {
  if (fleet.nowMs >= process.pausedUntilMs) {
    fleetState.applyEvent(fleet, process, { kind: 'ticked' });
    reportEngineRecovery(fleet, process);
  }
}

/** Reports to an agent that its engine is available again, as the probe of its daemon does. */
function reportEngineRecovery(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
): void {
  if (process.kind === 'agent' && process.engine.up && !process.state.engineAvailable) {
    fleet.applyAgent(process, { kind: 'engineAvailable', available: true });
  }
}

/** Reads the document and the list of VMs from the platform, and applies them to a process. */
function readPlatform(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
  life: number,
): void {
  const { platform } = fleet;
  const { service } = fleet.options;
  const stored = virtualPlatform.fetchDocument(platform, service, fleet.nowMs);
  const activeVersion = core.getVersion(process.state.documents, service);
  if (stored !== undefined && stored.document.version !== activeVersion) {
    fleetState.runInProcess(fleet, process, life, () =>
      fleetState.applyEvent(fleet, process, { kind: 'documentRead', stored }),
    );
  }
  const addresses = [...platform.leavingAddresses];
  fleetState.runInProcess(fleet, process, life, () => applyVmList(fleet, process, addresses));
}

/** Applies the list of leaving VMs to a process. */
function applyVmList(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
  addresses: string[],
): void {
  if (process.kind === 'entry') {
    fleet.applyEntry(process, { kind: 'vmsLeaving', addresses });
  } else {
    const leaving = addresses.includes(process.address);
    fleet.applyAgent(process, { kind: 'vmLeaving', leaving });
  }
}

/** Records the open calls of a stopped entry as broken. */
function failCalls(fleet: fleetState.VirtualFleet, entry: virtualProcesses.EntryProcess): void {
  fleet.calls
    .filter((call) => call.entryId === entry.id && call.entryLife === entry.life)
    .filter((call) => call.outcomes.length === 0 && !call.hasDisconnected)
    .forEach((call) => virtualCallers.recordOutcome(call, { kind: 'broken' }, fleet.nowMs));
}

/**
 * Stops a process; its state is lost. With `closesLinks`, its peers see their links close;
 * otherwise the links turn silent.
 */
export function stopProcess(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
  closesLinks: boolean,
): void {
  if (!process.alive) {
    return;
  }
  process.alive = false;
  process.held = [];
  if (process.kind === 'entry') {
    failCalls(fleet, process);
    [...process.links].forEach(([id, connection]) => {
      connection.silent = connection.silent || !closesLinks;
      fleetLinks.closeEntryEnd(fleet, process, id);
    });
    return;
  }
  [...process.links].forEach(([linkId, connection]) => {
    connection.silent = connection.silent || !closesLinks;
    fleetLinks.closeAgentEnd(fleet, process, linkId);
  });
  virtualEngine.cancelRuns(process.engine, () => true);
}

/** Starts a stopped process again as a new incarnation with empty state. */
export function startProcess(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
): void {
  if (process.alive) {
    return;
  }
  process.alive = true;
  process.life += 1;
  process.pausedUntilMs = 0;
  if (process.kind === 'entry') {
    process.state = createEntryState(fleet, process.id, process.life);
  } else {
    const now = fleet.nowMs + process.clockOffsetMs;
    process.state = createAgentState(fleet, process.id, process.life, now);
  }
  startLoops(fleet, process);
}

/** Begins a graceful shutdown. */
export function beginShutdown(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
): void {
  fleetState.runInProcess(fleet, process, process.life, () =>
    fleetState.applyEvent(fleet, process, { kind: 'shutdownStarted' }),
  );
}

/**
 * Pauses a process. When it resumes, it handles everything that came meanwhile, and in half
 * of the cases a tick before that.
 */
export function pauseProcess(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
  ms: number,
): void {
  const { life } = process;
  process.pausedUntilMs = Math.max(process.pausedUntilMs, fleet.nowMs + ms);
  fleetState.schedule(fleet, process.pausedUntilMs - fleet.nowMs, () => {
    if (!process.alive || process.life !== life || fleet.nowMs < process.pausedUntilMs) {
      return;
    }
    if (fleet.drawRandom() < 0.5) {
      applyTick(fleet, process);
    }
    const held = process.held.splice(0);
    held.forEach((action) => fleetState.runInProcess(fleet, process, life, action));
  });
}
