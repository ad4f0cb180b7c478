/** Decision logic of a gateway, which sends requests directly to backend servers without agents. */
export * from './assignment.js';
export * from './attempt-end.js';
export * from './response-statements.js';
export * from './ask-receipt.js';
export * from './backend-servers.js';
export { releaseCells } from './cell-handover.js';
export * from './body-budget.js';
export * from './body-holder.js';
export * from './configuration-lease.js';
export * from './configuration-status.js';
export * from './configuration.js';
export * from './evacuation-changes.js';
export * from './evacuations.js';
export * from './configuration-index.js';
export * from './crash-detection.js';
export * from './connection-load.js';
export * from './gateway-load.js';
export * from './gateway-request.js';
export * from './gateway-state.js';
export * from './request-admission.js';
export * from './lost-run-messages.js';
export { expireRuns } from './lost-runs.js';
export { expireParts } from './part-losses.js';
export { listReportPartRuns, listReportStandings, receivePartStandings } from './part-messages.js';
export type { SuspendedPart } from './prompt-parts.js';
export { noteSent as notePartsSent } from './prompt-parts.js';
export {
  findRequestPart,
  findSuspension as findPartSuspension,
  listSuspended as listSuspendedParts,
  noteSoundRun,
  noteStreamed,
} from './prompt-parts.js';
export * from './observations.js';
export * from './origin-messages.js';
export * from './outgoing-message.js';
export * from './peer-counts.js';
export * from './peer-view.js';
export * from './quota-limit.js';
export { listActiveShares, type WorkspaceShare } from './recent-use.js';
export * from './refusal.js';
export * from './report-plan.js';
export * from './request-end.js';
export * from './authorization.js';
export { noteRunTime } from './run-times.js';
export * from './server-admission.js';
export * from './server-end.js';
export * from './server-entries.js';
export * from './server-statements.js';
export { beginShutdown, buildShutdownRefusal, computeRunLimitMs } from './shutdown-limits.js';
export * from './store-responses.js';
export { expireOrigins } from './stream-origins.js';
export * from './stream-versions.js';
export * from './token-quota.js';
export * from './use-changes.js';
export * from './warm-up-times.js';
export type { BackendServerEntry } from '../shared/backend-server-entry.js';
export * from '../shared/store-revision.js';
export {
  estimateTurnaroundMs,
  estimateTokensPerMs,
  hasQueuedRequests,
  parseCellService,
  countWork,
  type Candidate,
  type Scheduler,
  type SchedulingDecision,
} from '../scheduler/index.js';
