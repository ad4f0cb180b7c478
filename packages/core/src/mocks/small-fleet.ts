/** Joins real entry and agent cores by queues that a test can hold back. */
import * as core from '../index.js';
import * as links from './small-fleet-links.js';
import * as state from './small-fleet-state.js';

export * from './small-fleet-calls.js';
export * from './small-fleet-links.js';
export * from './small-fleet-state.js';

const WARM_UP_MS = 10_000;

/** Starts a life of an agent. */
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
    told: new Map(),
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
  // Homes cannot decide on keys from before their life, plus twice the skew.
  links.advanceTime(fleet, WARM_UP_MS);
  return fleet;
}
