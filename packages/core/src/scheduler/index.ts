/** Scheduling: assigns the waiting requests of a cell to slots at its backend servers. */
export * from './cell.js';
export * from './cell-split.js';
export { buildCellHandover } from './handover.js';
export * from './places.js';
export * from './replies.js';
export * from './scheduled-request.js';
export * from './scheduler.js';
export type { CellServers } from './candidates.js';
export type { WarmUpLimit } from './warm-up.js';
export * from './server-choice.js';
export { estimateTurnaroundMs } from './slot-turnaround.js';
export { USE_DECAY_MS } from './recent-use.js';
export { computeShares } from './workspace-shares.js';
export { countWork, estimateTokensPerMs, toWireNumber } from './server-work.js';
