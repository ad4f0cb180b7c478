/**
 * Moves requests between the sets and queues of the entry's state. All counts are
 * updated as requests move, so that no decision has to scan the held requests.
 */
import * as startQueue from '../shared/start-queue.js';
import * as attemptRef from '../shared/attempt-ref.js';
import * as priorityHeap from '../shared/priority-heap.js';
import * as queueThroughput from '../shared/queue-throughput.js';
import * as entryState from './entry-state.js';
import * as heldAttempts from './held-attempts.js';
import * as serviceState from './service-state.js';

const { RESERVATION } = startQueue.QueuedKind;

/** How long an agent may take to report what became of an overdue attempt, milliseconds. */
export const WITHDRAW_GRACE_MS = 250;

/** Returns the state of a request's service. */
export function getRequestService(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
): serviceState.ServiceState {
  return entryState.getService(state, request.arrived.service);
}

/** Describes a request as an item of a queue by tier and workspace. */
function toQueuedItem(request: entryState.EntryRequest): startQueue.QueuedItem {
  return {
    kind: RESERVATION,
    id: request.requestId,
    tierRank: request.tierRank,
    workspace: request.workspace,
    weight: request.weight,
    estimatedTokens: request.arrived.estimatedTokens,
    deadlineMs: request.deadlineMs,
  };
}

/** Computes when the next action for a request is due, milliseconds since the Unix epoch. */
function computeDueTime(request: entryState.EntryRequest, now: number): number {
  if (request.status === entryState.RequestStatus.WAITING) {
    const retryAtMs = request.retryAtMs || Infinity;
    return Math.min(request.deadlineMs, request.nextAskAtMs, retryAtMs);
  }
  const withdrawnMs = request.target?.withdrawnMs ?? 0;
  return now < request.deadlineMs || withdrawnMs === 0
    ? request.deadlineMs
    : withdrawnMs + WITHDRAW_GRACE_MS;
}

/** Updates the time at which the next action for a held request is due. */
export function updateDueTime(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): void {
  if (state.requests.get(request.requestId) === request) {
    priorityHeap.setPriority(state.due, request.requestId, computeDueTime(request, now));
  }
}

/** Adds an admitted request. */
export function addRequest(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): void {
  const service = getRequestService(state, request);
  const held = service.heldByWorkspace.get(request.workspace) ?? 0;
  service.heldByWorkspace.set(request.workspace, held + 1);
  state.requests.set(request.requestId, request);
  state.requestByCaller.set(request.arrived.callerId, request.requestId);
  beginWaiting(state, request, now);
}

/** Removes a request that has ended from every set and queue. */
export function removeRequest(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
): void {
  const service = getRequestService(state, request);
  releaseTarget(state, request);
  endWaiting(state, request);
  removeUnstarted(state, request);
  priorityHeap.removeId(state.due, request.requestId);
  state.requests.delete(request.requestId);
  state.claiming.delete(request.requestId);
  state.requestByCaller.delete(request.arrived.callerId);
  const held = (service.heldByWorkspace.get(request.workspace) ?? 1) - 1;
  if (held > 0) {
    service.heldByWorkspace.set(request.workspace, held);
  } else {
    service.heldByWorkspace.delete(request.workspace);
  }
}

/** Adds a request that no agent holds to the waiting requests. */
export function beginWaiting(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): void {
  const service = getRequestService(state, request);
  request.status = entryState.RequestStatus.WAITING;
  request.nextAskAtMs = Infinity;
  request.startedMs = 0;
  request.answerTokens = 0;
  service.waitingIds.add(request.requestId);
  startQueue.enqueue(service.unstarted, toQueuedItem(request));
  updateDueTime(state, request, now);
}

/** Removes a request from the waiting requests. */
export function endWaiting(state: entryState.EntryState, request: entryState.EntryRequest): void {
  const service = getRequestService(state, request);
  service.waitingIds.delete(request.requestId);
  startQueue.removeItem(service.parked, RESERVATION, request.requestId);
}

/** Queues a waiting request until any agent has room. */
export function addParked(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): void {
  request.nextAskAtMs = Infinity;
  startQueue.enqueue(getRequestService(state, request).parked, toQueuedItem(request));
  updateDueTime(state, request, now);
}

/** Estimates the tokens that are queued ahead of a request that waits for room. */
export function estimateTokensAhead(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
): number {
  return startQueue.estimateTokensAhead(
    getRequestService(state, request).parked,
    request.tierRank,
    request.workspace,
    request.arrived.estimatedTokens,
  );
}

/** Counts the requests that are ahead of a new request of a tier. */
export function countAhead(service: serviceState.ServiceState, tierRank: number): number {
  const counts = startQueue.countByTier(service.unstarted);
  return counts.slice(0, tierRank + 1).reduce((sum, count) => sum + count, 0);
}

/** Whether the entry holds unstarted requests that are less urgent than a tier. */
export function hasLessUrgent(service: serviceState.ServiceState, tierRank: number): boolean {
  return startQueue.findEvictionCandidate(service.unstarted, tierRank) !== undefined;
}

/**
 * Removes a request from those that can be shed, because it may have started or
 * its agent was asked to withdraw it.
 */
export function removeUnstarted(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
): void {
  const service = getRequestService(state, request);
  startQueue.removeItem(service.unstarted, RESERVATION, request.requestId);
  service.withdrawnIds.delete(request.requestId);
}

/** Records that an agent started the current attempt. */
export function markStarted(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): void {
  if (request.target === undefined || request.target.started) {
    return;
  }
  request.target.started = true;
  request.startedMs = now;
  removeUnstarted(state, request);
  const { throughput } = getRequestService(state, request);
  queueThroughput.noteStart(throughput, request.arrived.estimatedTokens, request.arrivedMs, now);
}

/** Records that an agent holds a request. */
export function addTarget(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  target: entryState.Target,
): void {
  request.target = target;
  const agent = state.agents.get(target.backendServerId);
  if (agent !== undefined) {
    agent.heldIds.add(request.requestId);
    agent.outstandingTokens += request.arrived.estimatedTokens;
  }
}

/** Removes a request from the accounting of the agent that held it. */
export function releaseTarget(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
): void {
  const agent = request.target && state.agents.get(request.target.backendServerId);
  if (agent?.heldIds.delete(request.requestId)) {
    agent.outstandingTokens -= request.arrived.estimatedTokens;
  }
  if (request.target?.joined === true) {
    const refKey = attemptRef.toRefKey(request.target.ref);
    heldAttempts.removeJoin(state, refKey, request.requestId);
  }
  request.target = undefined;
}

/** Records that a link is open. */
export function markLinked(
  state: entryState.EntryState,
  agent: entryState.AgentView,
  now: number,
): void {
  const service = entryState.getService(state, agent.service);
  agent.linked = true;
  agent.opening = false;
  service.linkedIds.add(agent.backendServerId);
  service.lastLinkedMs = now;
}

/** Records that a link is closed. */
export function markUnlinked(
  state: entryState.EntryState,
  agent: entryState.AgentView,
  now: number,
): void {
  const service = entryState.getService(state, agent.service);
  if (agent.linked) {
    service.lastLinkedMs = now;
  }
  agent.linked = false;
  agent.opening = false;
  service.linkedIds.delete(agent.backendServerId);
  // The reservations are lost with the link; no grant will arrive for them.
  agent.reservedIds.forEach((requestId) => {
    state.requests.get(requestId)?.reservedAt.delete(agent.backendServerId);
    state.followUps.push({ kind: 'ask', requestId });
  });
  agent.reservedIds.clear();
}
