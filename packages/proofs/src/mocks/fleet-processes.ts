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

/** Creates the state of a new life of an entry. */
export function createEntryState(
  fleet: fleetState.VirtualFleet,
  entryId: string,
  life: number,
): core.EntryState {
  const identity = { entryId, life: `e${life}`, failureDomain: 'suva-loft' };
  return core.createEntryState(identity, fleet.options.buildPolicy(fleet.drawRandom));
}

/** Creates the state of a new life of an agent. */
export function createAgentState(
  fleet: fleetState.VirtualFleet,
  backendServerId: string,
  life: number,
  now: number,
): core.AgentState {
  const { service } = fleet.options;
  return core.createAgentState({ backendServerId, service, life: `a${life}` }, now);
}

/** Starts the ticks and the reading of documents of one life. */
export function startLoops(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
): void {
  const { life } = process;
  const isSame = () => process.alive && process.life === life;
  const tick = () => {
    if (isSame()) {
      applyTick(fleet, process);
      fleetState.schedule(fleet, TICK_MS, tick);
    }
  };
  const poll = () => {
    if (isSame()) {
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

/** Ticks a process that is not paused; a timer does not make up for lost time. */
function applyTick(fleet: fleetState.VirtualFleet, process: virtualProcesses.VirtualProcess): void {
  if (fleet.nowMs >= process.pausedUntilMs) {
    fleetState.applyEvent(fleet, process, { kind: 'ticked' });
    checkEngine(fleet, process);
  }
}

/** Tells an agent that its engine is back, as its daemon's probe does. */
function checkEngine(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
): void {
  if (process.kind === 'agent' && process.engine.up && !process.state.engineAvailable) {
    fleet.applyAgent(process, { kind: 'engineAvailable', available: true });
  }
}

/** Reads what the platform publishes. */
function readPlatform(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
  life: number,
): void {
  const { platform } = fleet;
  const { service } = fleet.options;
  const stored = virtualPlatform.fetchDocument(platform, service, fleet.nowMs);
  const inForce = core.getVersion(process.state.documents, service);
  if (stored !== undefined && stored.document.version !== inForce) {
    fleetState.runInProcess(fleet, process, life, () =>
      fleetState.applyEvent(fleet, process, { kind: 'documentRead', stored }),
    );
  }
  const addresses = [...platform.leavingAddresses];
  fleetState.runInProcess(fleet, process, life, () => applyVmList(fleet, process, addresses));
}

/** Hands the VMs listed as leaving to a process. */
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

/** Ends the calls that a stopped entry still held. */
function endCalls(fleet: fleetState.VirtualFleet, entry: virtualProcesses.EntryProcess): void {
  fleet.calls
    .filter((call) => call.entryId === entry.id && call.entryLife === entry.life)
    .filter((call) => call.outcomes.length === 0 && !call.hasDisconnected)
    .forEach((call) => virtualCallers.recordFinal(call, { kind: 'broken' }, fleet.nowMs));
}

/** Stops a process; its state is lost. `told` says whether its peers' links close. */
export function stopProcess(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
  told: boolean,
): void {
  if (!process.alive) {
    return;
  }
  process.alive = false;
  process.held = [];
  if (process.kind === 'entry') {
    endCalls(fleet, process);
    [...process.links].forEach(([id, connection]) => {
      connection.silent = connection.silent || !told;
      fleetLinks.closeAtEntry(fleet, process, id);
    });
    return;
  }
  [...process.links].forEach(([linkId, connection]) => {
    connection.silent = connection.silent || !told;
    fleetLinks.closeAtAgent(fleet, process, linkId);
  });
  virtualEngine.cancelRuns(process.engine, () => true);
}

/** Starts a stopped process again, as a new life that has forgotten everything. */
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

/** Pauses a process; it wakes late with everything that came, in either order. */
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
