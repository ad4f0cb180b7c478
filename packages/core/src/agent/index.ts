/** The agent's decisions. */
export * from './agent-event.js';
export { createAgentState, type AgentIdentity, type AgentState } from './agent-state.js';
export * from './handle-agent-event.js';
export { RunStatus, type RunRecord } from './run-record.js';
