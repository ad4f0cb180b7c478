/**
 * The decision logic of toucanproxy, without sockets, timers or clocks.
 *
 * `handleEntryEvent` and `handleAgentEvent` apply one event to a state and return the effects
 * that the caller has to execute.
 */
export * from './agent/index.js';
export * from './entry/index.js';
export * from './shared/attempt-ref.js';
export { getDocumentIndex, type DocumentIndex } from './shared/document-index.js';
export * from './shared/document-store.js';
export * from './shared/document-timing.js';
export * from './shared/effect.js';
export * from './shared/rendezvous.js';
export * from './shared/suspects.js';
