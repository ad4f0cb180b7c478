/** The virtual fleet, for proofs and measurements. */
export * from './mocks/call-payload.js';
export * from './mocks/example-document.js';
export * from './mocks/fleet-processes.js';
export * from './mocks/fleet-state.js';
export * from './mocks/random-source.js';
export * from './mocks/virtual-callers.js';
export * from './mocks/virtual-engine.js';
export * from './mocks/virtual-fleet.js';
export * from './mocks/virtual-network.js';
export * from './mocks/virtual-platform.js';
export * from './mocks/virtual-processes.js';
export { applyFault } from './random-runs/apply-fault.js';
export type { FaultSpec } from './random-runs/scenario.js';
export {
  addEntry,
  addBackendServer as addRunner,
  createProcessFixture as createScene,
  publishNext,
  sendChat,
  startProcessFixture as startScene,
  stopProcessFixture as stopScene,
  type ProcessFixture as Scene,
} from './mocks/process-fixture.js';
export type { RunningProcess as Running } from './mocks/process-fleet.js';
