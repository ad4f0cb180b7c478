/** The processes of a virtual fleet: entries and agents. */
import * as core from '@toucanproxy/core';
import * as virtualEngine from './virtual-engine.js';
import * as virtualNetwork from './virtual-network.js';

type Process = {
  id: string;
  alive: boolean;
  /** Number of the incarnation, from 1; actions for an earlier incarnation are dropped. */
  life: number;
  /** Until when the process is paused, milliseconds. */
  pausedUntilMs: number;
  /** Actions held back during a pause. */
  held: (() => void)[];
  /** Difference between the process's clock and the fleet's clock, milliseconds. */
  clockOffsetMs: number;
};

export type EntryProcess = Process & {
  kind: 'entry';
  state: core.EntryState;
  /** Open links by backend server id. */
  links: Map<string, virtualNetwork.Connection>;
};

export type AgentProcess = Process & {
  kind: 'agent';
  address: string;
  state: core.AgentState;
  /** Open links by link id. */
  links: Map<number, virtualNetwork.Connection>;
  engine: virtualEngine.VirtualEngine;
};

export type VirtualProcess = EntryProcess | AgentProcess;

/** Creates the common part of entry and agent processes. */
export function createProcess(id: string, clockOffsetMs: number): Process {
  return { id, alive: true, life: 1, pausedUntilMs: 0, held: [], clockOffsetMs };
}
