/** What a virtual fleet holds. */
import * as core from '@toucanproxy/core';
import * as eventHeap from './event-heap.js';
import * as randomSource from './random-source.js';
import * as virtualCallers from './virtual-callers.js';
import * as virtualEngine from './virtual-engine.js';
import * as virtualNetwork from './virtual-network.js';
import * as virtualPlatform from './virtual-platform.js';
import * as virtualProcesses from './virtual-processes.js';

type EntryProcess = virtualProcesses.EntryProcess;
type AgentProcess = virtualProcesses.AgentProcess;
type VirtualProcess = virtualProcesses.VirtualProcess;

/** What observers are told, right after it happened. */
export type Occurrence =
  | { kind: 'entryApplied'; entry: EntryProcess; effects: core.EntryEffect[] }
  | { kind: 'agentApplied'; agent: AgentProcess; effects: core.AgentEffect[] }
  | { kind: 'journal'; line: virtualEngine.JournalLine }
  | { kind: 'answer'; call: virtualCallers.Call; effect: virtualCallers.CallerEffect };

export type FleetOptions = {
  seed: number;
  service: string;
  entryIds: string[];
  agentIds: string[];
  /** Speed of each agent's engine; the same for all where there is only one. */
  engineSpeeds: virtualEngine.EngineSpeed[];
  latencyMs: number;
  jitterMs: number;
  /** Most that two clocks differ, milliseconds. */
  clockSkewMs: number;
  buildPolicy: (drawRandom: randomSource.DrawRandom) => core.EntryPolicy;
  handleEntryEvent: typeof core.handleEntryEvent;
  handleAgentEvent: typeof core.handleAgentEvent;
  observe: (occurrence: Occurrence) => void;
};

export type VirtualFleet = {
  options: FleetOptions;
  nowMs: number;
  heap: eventHeap.EventHeap;
  drawRandom: randomSource.DrawRandom;
  network: virtualNetwork.Network;
  platform: virtualPlatform.VirtualPlatform;
  entries: Map<string, EntryProcess>;
  agents: Map<string, AgentProcess>;
  calls: virtualCallers.Call[];
  /** Messages that links hand over a second time, as a share of all. */
  duplicatedShare: number;
  /** Events handled by cores. */
  eventCount: number;
  /** Applies one event to an entry and carries out its effects. */
  applyEntry: (entry: EntryProcess, event: core.EntryEvent) => void;
  /** Applies one event to an agent and carries out its effects. */
  applyAgent: (agent: AgentProcess, event: core.AgentEvent) => void;
};

export const DEFAULT_FLEET_OPTIONS: FleetOptions = {
  seed: 1,
  service: 'brimwit',
  entryIds: ['entry-1', 'entry-2'],
  agentIds: ['runner-1', 'runner-2', 'runner-3'],
  engineSpeeds: [virtualEngine.DEFAULT_ENGINE_SPEED],
  latencyMs: 1.5,
  jitterMs: 0.5,
  clockSkewMs: 0,
  buildPolicy: core.createLateBindingPolicy,
  handleEntryEvent: core.handleEntryEvent,
  handleAgentEvent: core.handleAgentEvent,
  observe: () => {},
};

/** Schedules an action. */
export function schedule(fleet: VirtualFleet, delayMs: number, action: () => void): void {
  eventHeap.pushEvent(fleet.heap, fleet.nowMs + Math.max(0, delayMs), action);
}

/** Gets the address of an agent. */
export function getAddress(fleet: VirtualFleet, agentId: string): string {
  return `10.0.0.${fleet.options.agentIds.indexOf(agentId) + 1}:7000`;
}

/** Runs an action in a process, later where it is paused, never in another life. */
export function runInProcess(
  fleet: VirtualFleet,
  process: VirtualProcess,
  life: number,
  action: () => void,
): void {
  if (!process.alive || process.life !== life) {
    return;
  }
  if (fleet.nowMs < process.pausedUntilMs) {
    process.held.push(action);
    return;
  }
  action();
}

/** Hands an event that both kinds know to a process. */
export function applyEvent(
  fleet: VirtualFleet,
  process: VirtualProcess,
  event: Extract<core.EntryEvent & core.AgentEvent, { kind: unknown }>,
): void {
  if (process.kind === 'entry') {
    fleet.applyEntry(process, event);
  } else {
    fleet.applyAgent(process, event);
  }
}
