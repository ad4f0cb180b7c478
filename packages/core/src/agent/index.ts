/** The agent's core: its events, effects, state and event handler. */
export * from './agent-event.js';
export { createAgentState, type AgentIdentity, type AgentState } from './agent-state.js';
export * from './handle-agent-event.js';
export { RunStatus, type RunRecord } from './run-record.js';
