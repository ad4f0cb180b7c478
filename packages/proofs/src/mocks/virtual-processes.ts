/** Entries and agents as the virtual fleet runs them. */
import * as core from '@toucanproxy/core';
import * as virtualEngine from './virtual-engine.js';
import * as virtualNetwork from './virtual-network.js';

type Process = {
  id: string;
  alive: boolean;
  /** Which start this is; actions meant for an earlier one are dropped. */
  life: number;
  /** Handles nothing before this time, milliseconds. */
  pausedUntilMs: number;
  /** What came during a pause. */
  held: (() => void)[];
  /** Difference of its clock from the fleet's, milliseconds. */
  clockOffsetMs: number;
};

export type EntryProcess = Process & {
  kind: 'entry';
  state: core.EntryState;
  /** Open links by backend server. */
  links: Map<string, virtualNetwork.Connection>;
};

export type AgentProcess = Process & {
  kind: 'agent';
  address: string;
  state: core.AgentState;
  /** Open links by number. */
  links: Map<number, virtualNetwork.Connection>;
  engine: virtualEngine.VirtualEngine;
};

export type VirtualProcess = EntryProcess | AgentProcess;

/** Creates what both kinds have. */
export function createProcess(id: string, clockOffsetMs: number): Process {
  return { id, alive: true, life: 1, pausedUntilMs: 0, held: [], clockOffsetMs };
}
