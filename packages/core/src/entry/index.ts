/** Decision logic of the entry: a state, its events and the effects that they produce. */
export * from './entry-event.js';
export {
  createEntryState,
  RequestStatus,
  type AgentView,
  type EntryIdentity,
  type EntryRequest,
  type EntryState,
} from './entry-state.js';
export * from './entry-policy.js';
export * from './handle-entry-event.js';
export * from './link-selection.js';
export * from './placement.js';
export { FIRST_PREFIX_TOKENS } from './prefix-locations.js';
