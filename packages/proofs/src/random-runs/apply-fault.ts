/** Injects one fault into a virtual fleet. */
import * as fleetProcesses from '../mocks/fleet-processes.js';
import * as fleetState from '../mocks/fleet-state.js';
import * as virtualEngine from '../mocks/virtual-engine.js';
import * as virtualNetwork from '../mocks/virtual-network.js';
import * as virtualProcesses from '../mocks/virtual-processes.js';
import * as scenario from './scenario.js';

type FaultOf<K extends scenario.FaultSpec['kind']> = Extract<scenario.FaultSpec, { kind: K }>;

export type FaultTarget = {
  fleet: fleetState.VirtualFleet;
  publish: (leavingAgents: string[]) => void;
  sendBurst: (fault: FaultOf<'burst'>) => void;
};

const SHUTDOWN_POLL_MS = 200;

/** Picks an element by an index that may exceed the list's length. */
function pick<T>(list: readonly T[], index: number): T {
  return list[index % list.length];
}

/** Picks an agent. */
function pickAgent(fleet: fleetState.VirtualFleet, index: number): virtualProcesses.AgentProcess {
  return pick([...fleet.agents.values()], index);
}

/** Picks an entry. */
function pickEntry(fleet: fleetState.VirtualFleet, index: number): virtualProcesses.EntryProcess {
  return pick([...fleet.entries.values()], index);
}

/** Lists the connections between the entry and the agent that a fault names. */
function listConnections(
  fleet: fleetState.VirtualFleet,
  fault: { entry: number; agent: number },
): virtualNetwork.Connection[] {
  const entry = pickEntry(fleet, fault.entry);
  const agent = pickAgent(fleet, fault.agent);
  return fleet.network.connections.filter(
    (one) => one.entryId === entry.id && one.agentId === agent.id,
  );
}

/** Kills a process and restarts it later. */
function stopTemporarily(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
  fault: { told: boolean; downMs: number },
): void {
  fleetProcesses.stopProcess(fleet, process, fault.told);
  fleetState.schedule(fleet, fault.downMs, () => fleetProcesses.startProcess(fleet, process));
}

/** Shuts a process down gracefully and restarts it some time after it has stopped. */
function shutTemporarily(
  fleet: fleetState.VirtualFleet,
  process: virtualProcesses.VirtualProcess,
  downMs: number,
): void {
  const { life } = process;
  fleetProcesses.beginShutdown(fleet, process);
  const waitForStop = () => {
    if (process.life !== life) {
      return;
    }
    if (process.alive) {
      fleetState.schedule(fleet, SHUTDOWN_POLL_MS, waitForStop);
      return;
    }
    fleetState.schedule(fleet, downMs, () => fleetProcesses.startProcess(fleet, process));
  };
  waitForStop();
}

/** Closes a connection in the network, so that both ends see it close. */
function closeConnection(fleet: fleetState.VirtualFleet, one: virtualNetwork.Connection): void {
  const entry = fleet.entries.get(one.entryId);
  const agent = fleet.agents.get(one.agentId);
  one.silent = true;
  if (entry !== undefined && entry.links.get(one.agentId) === one) {
    entry.links.delete(one.agentId);
    one.entryOpen = false;
    const event = { kind: 'linkClosed', backendServerId: one.agentId } as const;
    fleetState.runInProcess(fleet, entry, entry.life, () => fleet.applyEntry(entry, event));
  }
  if (agent !== undefined && agent.links.get(one.linkId) === one) {
    agent.links.delete(one.linkId);
    one.agentOpen = false;
    const event = { kind: 'linkClosed', linkId: one.linkId } as const;
    fleetState.runInProcess(fleet, agent, agent.life, () => fleet.applyAgent(agent, event));
  }
}

/** Partitions the network between some entries and some agents for a while. */
function beginPartition(fleet: fleetState.VirtualFleet, fault: FaultOf<'partition'>): void {
  fleet.network.partitions.push({
    entryIds: fault.entries.map((index) => pickEntry(fleet, index).id),
    agentIds: fault.agents.map((index) => pickAgent(fleet, index).id),
    untilMs: fleet.nowMs + fault.ms,
  });
}

/** Slows an engine for a while. */
function applySlowdown(fleet: fleetState.VirtualFleet, fault: FaultOf<'engineSlowed'>): void {
  const { engine } = pickAgent(fleet, fault.agent);
  engine.slowdown = fault.factor;
  fleetState.schedule(fleet, fault.ms, () => {
    engine.slowdown = 1;
  });
}

/** Duplicates a share of the messages for a while. */
function applyDuplication(fleet: fleetState.VirtualFleet, fault: FaultOf<'messagesDoubled'>): void {
  fleet.duplicatedShare = fault.percent / 100;
  fleetState.schedule(fleet, fault.ms, () => {
    fleet.duplicatedShare = 0;
  });
}

type Appliers = {
  [K in scenario.FaultSpec['kind']]: (target: FaultTarget, fault: FaultOf<K>) => void;
};

const APPLIERS: Appliers = {
  agentStopped: ({ fleet }, fault) => stopTemporarily(fleet, pickAgent(fleet, fault.agent), fault),
  entryStopped: ({ fleet }, fault) => stopTemporarily(fleet, pickEntry(fleet, fault.entry), fault),
  agentShutDown: ({ fleet }, fault) =>
    shutTemporarily(fleet, pickAgent(fleet, fault.agent), fault.downMs),
  entryShutDown: ({ fleet }, fault) =>
    shutTemporarily(fleet, pickEntry(fleet, fault.entry), fault.downMs),
  agentPaused: ({ fleet }, fault) =>
    fleetProcesses.pauseProcess(fleet, pickAgent(fleet, fault.agent), fault.ms),
  entryPaused: ({ fleet }, fault) =>
    fleetProcesses.pauseProcess(fleet, pickEntry(fleet, fault.entry), fault.ms),
  engineCrashed: ({ fleet }, fault) =>
    virtualEngine.failEngine(pickAgent(fleet, fault.agent).engine),
  engineSlowed: ({ fleet }, fault) => applySlowdown(fleet, fault),
  linkSilent: ({ fleet }, fault) =>
    listConnections(fleet, fault).forEach((one) => {
      one.silent = true;
    }),
  linkClosed: ({ fleet }, fault) =>
    listConnections(fleet, fault).forEach((one) => closeConnection(fleet, one)),
  partition: ({ fleet }, fault) => beginPartition(fleet, fault),
  messagesDoubled: ({ fleet }, fault) => applyDuplication(fleet, fault),
  documentOut: ({ fleet }, fault) => {
    fleet.platform.unavailableUntilMs = fleet.nowMs + fault.ms;
  },
  documentStale: ({ fleet }, fault) => {
    fleet.platform.staleUntilMs = fleet.nowMs + fault.ms;
  },
  documentPublished: ({ fleet, publish }, fault) =>
    publish(fault.leaving.map((index) => pickAgent(fleet, index).id)),
  vmLeaving: ({ fleet }, fault) => {
    fleet.platform.leavingAddresses.push(pickAgent(fleet, fault.agent).address);
  },
  burst: ({ sendBurst }, fault) => sendBurst(fault),
};

/** Injects a fault now. */
export function applyFault(target: FaultTarget, fault: scenario.FaultSpec): void {
  APPLIERS[fault.kind](target, fault as never);
}
