/** Opens, uses and closes the links of a virtual fleet. */
import * as schema from '@toucanproxy/schema';
import * as fleetState from './fleet-state.js';
import * as virtualNetwork from './virtual-network.js';
import * as virtualProcesses from './virtual-processes.js';

const DOUBLED_LATE_MS = 3000;

/** Opens a link from an entry to the agent at an address. */
export function openLink(
  fleet: fleetState.VirtualFleet,
  entry: virtualProcesses.EntryProcess,
  backendServerId: string,
  address: string,
): void {
  closeAtEntry(fleet, entry, backendServerId);
  const { life } = entry;
  const agentId =
    fleet.options.agentIds.find((id) => fleetState.getAddress(fleet, id) === address) ?? '';
  const ends = { entryId: entry.id, entryLife: String(life), agentId };
  const connection = virtualNetwork.createConnection(fleet.network, ends);
  entry.links.set(backendServerId, connection);
  fleetState.schedule(fleet, 0, () =>
    fleetState.runInProcess(fleet, entry, life, () =>
      fleet.applyEntry(entry, { kind: 'linkOpened', backendServerId }),
    ),
  );
  virtualNetwork.sendOver(fleet.network, connection, connection.toAgent, () =>
    acceptLink(fleet, connection),
  );
}

/** Joins a connection to its agent, or refuses it where there is none. */
function acceptLink(fleet: fleetState.VirtualFleet, connection: virtualNetwork.Connection): void {
  const agent = fleet.agents.get(connection.agentId);
  if (agent === undefined || !agent.alive) {
    closeFromAgent(fleet, connection);
    return;
  }
  const { linkId } = connection;
  connection.agentOpen = true;
  agent.links.set(linkId, connection);
  fleetState.runInProcess(fleet, agent, agent.life, () =>
    fleet.applyAgent(agent, { kind: 'linkOpened', linkId }),
  );
}

/** Closes a link at its entry's end; the agent learns it unless the link is silent. */
export function closeAtEntry(
  fleet: fleetState.VirtualFleet,
  entry: virtualProcesses.EntryProcess,
  backendServerId: string,
): void {
  const connection = entry.links.get(backendServerId);
  if (connection === undefined) {
    return;
  }
  entry.links.delete(backendServerId);
  connection.entryOpen = false;
  const agent = fleet.agents.get(connection.agentId);
  const { linkId } = connection;
  virtualNetwork.sendOver(fleet.network, connection, connection.toAgent, () => {
    if (agent?.links.get(linkId) !== connection) {
      return;
    }
    fleetState.runInProcess(fleet, agent, agent.life, () => {
      agent.links.delete(linkId);
      connection.agentOpen = false;
      fleet.applyAgent(agent, { kind: 'linkClosed', linkId });
    });
  });
}

/** Closes a link at its agent's end. */
export function closeAtAgent(
  fleet: fleetState.VirtualFleet,
  agent: virtualProcesses.AgentProcess,
  linkId: number,
): void {
  const connection = agent.links.get(linkId);
  if (connection !== undefined) {
    agent.links.delete(linkId);
    closeFromAgent(fleet, connection);
  }
}

/** Tells the entry that the other end has closed, unless the link is silent. */
function closeFromAgent(
  fleet: fleetState.VirtualFleet,
  connection: virtualNetwork.Connection,
): void {
  connection.agentOpen = false;
  virtualNetwork.sendOver(fleet.network, connection, connection.toEntry, () => {
    const entry = fleet.entries.get(connection.entryId);
    const backendServerId = connection.agentId;
    if (entry === undefined || entry.links.get(backendServerId) !== connection) {
      return;
    }
    fleetState.runInProcess(fleet, entry, entry.life, () => {
      if (entry.links.get(backendServerId) === connection) {
        entry.links.delete(backendServerId);
        connection.entryOpen = false;
        fleet.applyEntry(entry, { kind: 'linkClosed', backendServerId });
      }
    });
  });
}

/** Sends a message to an agent; it is dropped once either end has closed. */
export function sendToAgent(
  fleet: fleetState.VirtualFleet,
  entry: virtualProcesses.EntryProcess,
  backendServerId: string,
  message: schema.EntryMessage,
): void {
  const connection = entry.links.get(backendServerId);
  if (connection === undefined) {
    return;
  }
  virtualNetwork.sendOver(fleet.network, connection, connection.toAgent, () => {
    passToAgent(fleet, connection, message);
    sendAgainLate(fleet, message.body.case, () => {
      const present = entry.links.get(backendServerId);
      if (present !== undefined && present.entryLife === connection.entryLife) {
        passToAgent(fleet, present, message);
      }
    });
  });
}

/** Hands a message to the agent at the end of a connection. */
function passToAgent(
  fleet: fleetState.VirtualFleet,
  connection: virtualNetwork.Connection,
  message: schema.EntryMessage,
): void {
  const agent = fleet.agents.get(connection.agentId);
  const { linkId } = connection;
  if (agent === undefined) {
    return;
  }
  fleetState.runInProcess(fleet, agent, agent.life, () => {
    if (agent.links.get(linkId) === connection) {
      fleet.applyAgent(agent, { kind: 'entryMessage', linkId, message });
    }
  });
}

/** Sends a message to an entry; it is dropped once either end has closed. */
export function sendToEntry(
  fleet: fleetState.VirtualFleet,
  agent: virtualProcesses.AgentProcess,
  linkId: number,
  message: schema.AgentMessage,
): void {
  const connection = agent.links.get(linkId);
  if (connection === undefined) {
    return;
  }
  virtualNetwork.sendOver(fleet.network, connection, connection.toEntry, () => {
    passToEntry(fleet, connection, message);
    sendAgainLate(fleet, message.body.case, () => passToEntry(fleet, connection, message));
  });
}

/** Hands a message to the entry at the end of a connection. */
function passToEntry(
  fleet: fleetState.VirtualFleet,
  connection: virtualNetwork.Connection,
  message: schema.AgentMessage,
): void {
  const entry = fleet.entries.get(connection.entryId);
  const backendServerId = connection.agentId;
  if (entry === undefined) {
    return;
  }
  fleetState.runInProcess(fleet, entry, entry.life, () => {
    if (entry.links.get(backendServerId) === connection) {
      fleet.applyEntry(entry, { kind: 'agentMessage', backendServerId, message });
    }
  });
}

/** Hands some messages over a second time, late; never those that open a link. */
function sendAgainLate(
  fleet: fleetState.VirtualFleet,
  kind: string | undefined,
  pass: () => void,
): void {
  if (kind !== 'hello' && fleet.duplicatedShare > 0 && fleet.drawRandom() < fleet.duplicatedShare) {
    fleetState.schedule(fleet, fleet.drawRandom() * DOUBLED_LATE_MS, pass);
  }
}
