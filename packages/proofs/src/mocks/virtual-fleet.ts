/**
 * Entries, agents and engines joined under a virtual clock: the real cores, and
 * small fakes of what lies between them. One seed gives one run.
 */
import * as core from '@toucanproxy/core';
import * as eventHeap from './event-heap.js';
import * as fleetLinks from './fleet-links.js';
import * as fleetProcesses from './fleet-processes.js';
import * as fleetState from './fleet-state.js';
import * as randomSource from './random-source.js';
import * as virtualCallers from './virtual-callers.js';
import * as virtualEngine from './virtual-engine.js';
import * as virtualPlatform from './virtual-platform.js';
import * as virtualProcesses from './virtual-processes.js';

const START_MS = 1_700_000_000_000;
const CLIENT_LATENCY_MS = 3;
const ENGINE_LATENCY_MS = 0.2;

/** Creates a fleet and starts its processes. */
export function createVirtualFleet(
  given: Partial<fleetState.FleetOptions>,
): fleetState.VirtualFleet {
  const options = { ...fleetState.DEFAULT_FLEET_OPTIONS, ...given };
  const drawRandom = randomSource.createRandomSource(options.seed);
  const fleet: fleetState.VirtualFleet = {
    options,
    nowMs: START_MS,
    heap: eventHeap.createEventHeap(),
    drawRandom,
    network: {
      latencyMs: options.latencyMs,
      jitterMs: options.jitterMs,
      partitions: [],
      connections: [],
      nextLinkId: 1,
      drawRandom,
      getNow: () => fleet.nowMs,
      schedule: (delayMs, action) => fleetState.schedule(fleet, delayMs, action),
    },
    platform: virtualPlatform.createVirtualPlatform(),
    entries: new Map(),
    agents: new Map(),
    calls: [],
    duplicatedShare: 0,
    eventCount: 0,
    applyEntry: (entry, event) => applyEntry(fleet, entry, event),
    applyAgent: (agent, event) => applyAgent(fleet, agent, event),
  };
  options.agentIds.forEach((id, index) => addAgent(fleet, id, index));
  options.entryIds.forEach((id) => addEntry(fleet, id));
  return fleet;
}

/** Draws the offset of one clock. */
function drawOffset(fleet: fleetState.VirtualFleet): number {
  return Math.round((fleet.drawRandom() - 0.5) * fleet.options.clockSkewMs);
}

/** Adds an entry to the fleet. */
function addEntry(fleet: fleetState.VirtualFleet, id: string): void {
  const entry: virtualProcesses.EntryProcess = {
    kind: 'entry',
    ...virtualProcesses.createProcess(id, drawOffset(fleet)),
    state: fleetProcesses.createEntryState(fleet, id, 1),
    links: new Map(),
  };
  fleet.entries.set(id, entry);
  fleetProcesses.startLoops(fleet, entry);
}

/** Adds an agent and its engine to the fleet. */
function addAgent(fleet: fleetState.VirtualFleet, id: string, index: number): void {
  const speeds = fleet.options.engineSpeeds;
  const base = virtualProcesses.createProcess(id, drawOffset(fleet));
  const agent: virtualProcesses.AgentProcess = {
    kind: 'agent',
    ...base,
    address: fleetState.getAddress(fleet, id),
    state: fleetProcesses.createAgentState(fleet, id, 1, fleet.nowMs + base.clockOffsetMs),
    links: new Map(),
    engine: virtualEngine.createVirtualEngine(id, speeds[index % speeds.length], {
      getNow: () => fleet.nowMs,
      schedule: (delayMs, action) => fleetState.schedule(fleet, delayMs, action),
      journalWritten: (line) => fleet.options.observe({ kind: 'journal', line }),
    }),
  };
  fleet.agents.set(id, agent);
  fleetProcesses.startLoops(fleet, agent);
}

/** Applies one event to an entry and carries out the effects. */
function applyEntry(
  fleet: fleetState.VirtualFleet,
  entry: virtualProcesses.EntryProcess,
  event: core.EntryEvent,
): void {
  const now = fleet.nowMs + entry.clockOffsetMs;
  const effects = fleet.options.handleEntryEvent(entry.state, event, now);
  fleet.eventCount += 1;
  fleet.options.observe({ kind: 'entryApplied', entry, effects });
  effects.forEach((effect) => executeEntryEffect(fleet, entry, effect));
}

/** Applies one event to an agent and carries out the effects. */
function applyAgent(
  fleet: fleetState.VirtualFleet,
  agent: virtualProcesses.AgentProcess,
  event: core.AgentEvent,
): void {
  const now = fleet.nowMs + agent.clockOffsetMs;
  const effects = fleet.options.handleAgentEvent(agent.state, event, now);
  fleet.eventCount += 1;
  fleet.options.observe({ kind: 'agentApplied', agent, effects });
  effects.forEach((effect) => executeAgentEffect(fleet, agent, effect));
}

/** Carries out one effect of an entry. */
function executeEntryEffect(
  fleet: fleetState.VirtualFleet,
  entry: virtualProcesses.EntryProcess,
  effect: core.EntryEffect,
): void {
  switch (effect.kind) {
    case 'openLink':
      fleetLinks.openLink(fleet, entry, effect.backendServerId, effect.address);
      return;
    case 'closeLink':
      fleetLinks.closeAtEntry(fleet, entry, effect.backendServerId);
      return;
    case 'sendToAgent':
      fleetLinks.sendToAgent(fleet, entry, effect.backendServerId, effect.message);
      return;
    case 'answerHead':
    case 'answerData':
    case 'answerEnd':
    case 'answerFailure':
      passAnswer(fleet, entry, effect);
      return;
    case 'documentReceived':
      passDocument(fleet, entry, effect.json);
      return;
    case 'stopped':
      fleetProcesses.stopProcess(fleet, entry, true);
      break;
    default:
  }
}

/** Carries out one effect of an agent. */
function executeAgentEffect(
  fleet: fleetState.VirtualFleet,
  agent: virtualProcesses.AgentProcess,
  effect: core.AgentEffect,
): void {
  const { engine, life } = agent;
  switch (effect.kind) {
    case 'sendToEntry':
      fleetLinks.sendToEntry(fleet, agent, effect.linkId, effect.message);
      return;
    case 'closeLink':
      fleetLinks.closeAtAgent(fleet, agent, effect.linkId);
      return;
    case 'startOnEngine': {
      const report: virtualEngine.Report = (event) =>
        fleetState.schedule(fleet, ENGINE_LATENCY_MS, () =>
          fleetState.runInProcess(fleet, agent, life, () => fleet.applyAgent(agent, event)),
        );
      virtualEngine.startRun(engine, effect.refKey, effect.offer, report);
      return;
    }
    case 'cancelOnEngine':
      virtualEngine.cancelRuns(engine, (refKey) => refKey === effect.refKey);
      return;
    case 'documentReceived':
      passDocument(fleet, agent, effect.json);
      return;
    case 'stopped':
      fleetProcesses.stopProcess(fleet, agent, true);
      break;
    default:
  }
}

/** Hands a document that came from a peer to its process. */
function passDocument(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
  json: string,
): void {
  const { life } = process;
  const stored = virtualPlatform.readDocument(json);
  fleetState.schedule(fleet, 0, () =>
    fleetState.runInProcess(fleet, process, life, () =>
      fleetState.applyEvent(fleet, process, { kind: 'documentRead', stored }),
    ),
  );
}

/** Sends a call through an entry. */
export function sendCall(
  fleet: fleetState.VirtualFleet,
  entryId: string,
  plan: virtualCallers.CallPlan,
): virtualCallers.Call {
  const entry = fleet.entries.get(entryId);
  const call: virtualCallers.Call = {
    callerId: fleet.calls.length + 1,
    plan,
    entryId,
    entryLife: entry?.life ?? 0,
    sentMs: fleet.nowMs,
    text: '',
    headCount: 0,
    firstByteMs: 0,
    outcomes: [],
    endedMs: 0,
    hasDisconnected: false,
  };
  fleet.calls.push(call);
  if (entry === undefined || !entry.alive) {
    virtualCallers.recordFinal(call, { kind: 'broken' }, fleet.nowMs);
    return call;
  }
  const event = { kind: 'requestArrived', request: virtualCallers.buildArrived(call) } as const;
  fleetState.schedule(fleet, CLIENT_LATENCY_MS, () =>
    fleetState.runInProcess(fleet, entry, call.entryLife, () => fleet.applyEntry(entry, event)),
  );
  return call;
}

/** Closes a caller's connection. */
export function closeCall(fleet: fleetState.VirtualFleet, call: virtualCallers.Call): void {
  const entry = fleet.entries.get(call.entryId);
  const { callerId } = call;
  call.hasDisconnected = call.hasDisconnected || call.outcomes.length === 0;
  if (entry !== undefined) {
    fleetState.schedule(fleet, CLIENT_LATENCY_MS, () =>
      fleetState.runInProcess(fleet, entry, call.entryLife, () =>
        fleet.applyEntry(entry, { kind: 'callerLeft', callerId }),
      ),
    );
  }
}

/** Passes an answer to its caller; as in the daemon, its end closes the connection. */
function passAnswer(
  fleet: fleetState.VirtualFleet,
  entry: virtualProcesses.EntryProcess,
  effect: virtualCallers.CallerEffect,
): void {
  const call = fleet.calls[effect.callerId - 1];
  if (call === undefined || call.hasDisconnected || call.entryLife !== entry.life) {
    return;
  }
  virtualCallers.receiveAnswer(call, effect, fleet.nowMs);
  fleet.options.observe({ kind: 'answer', call, effect });
  if (effect.kind === 'answerEnd' || effect.kind === 'answerFailure') {
    closeCall(fleet, call);
  }
}

/** Runs every event up to a time, milliseconds from now. */
export function advanceFleet(fleet: fleetState.VirtualFleet, ms: number): void {
  const untilMs = fleet.nowMs + ms;
  while (fleet.heap.events.length > 0 && fleet.heap.events[0].atMs <= untilMs) {
    const event = eventHeap.takeEvent(fleet.heap);
    if (event !== undefined) {
      fleet.nowMs = event.atMs;
      event.action();
    }
  }
  fleet.nowMs = untilMs;
}
