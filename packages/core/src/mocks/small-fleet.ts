/** Connects real entry and agent cores through a message queue that tests can hold back. */
import * as core from '../index.js';
import * as links from './small-fleet-links.js';
import * as state from './small-fleet-state.js';

export * from './small-fleet-calls.js';
export * from './small-fleet-links.js';
export * from './small-fleet-state.js';

const WARM_UP_MS = 10_000;

/** Starts an agent process; `life` identifies its incarnation. */
export function startAgent(fleet: state.SmallFleet, id: string, life: string): void {
  const identity = { backendServerId: id, service: state.SERVICE, life };
  fleet.agents.set(id, core.createAgentState(identity, fleet.now));
}

/** Starts an entry. */
export function startEntry(fleet: state.SmallFleet, entryId: string): void {
  const policy = core.createLeastOutstandingPolicy(() => 0);
  const identity = { entryId, life: 'life-1', failureDomain: '' };
  fleet.entries.set(entryId, core.createEntryState(identity, policy));
}

/** Creates a fleet that runs one document. */
export function createSmallFleet(
  entryIds: readonly string[],
  agentIds: readonly string[],
  stored = state.buildDocument(agentIds),
): state.SmallFleet {
  const fleet: state.SmallFleet = {
    now: state.START_MS,
    entries: new Map(),
    agents: new Map(),
    queue: [],
    held: [],
    isHeld: () => false,
    isPartitioned: false,
    dispatched: [],
    responses: new Map(),
    dropped: [],
    released: [],
    logged: [],
    fetched: [],
  };
  agentIds.forEach((id) => startAgent(fleet, id, `${id}-life-1`));
  agentIds.forEach((id) => links.applyToAgent(fleet, id, { kind: 'documentRead', stored }));
  entryIds.forEach((entryId) => {
    startEntry(fleet, entryId);
    links.applyToEntry(fleet, entryId, { kind: 'documentRead', stored });
  });
  links.deliverMessages(fleet);
  // A home agent cannot decide on keys issued before its start plus twice the clock skew.
  links.advanceTime(fleet, WARM_UP_MS);
  return fleet;
}
