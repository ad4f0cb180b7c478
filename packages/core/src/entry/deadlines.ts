/** Handles requests for which an action is due, and callers that disconnect. */
import * as schema from '@toucanproxy/schema';
import * as priorityHeap from '../shared/priority-heap.js';
import * as requestAccounting from './request-accounting.js';
import * as dispatch from './dispatch.js';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import * as heldAttempts from './held-attempts.js';
import * as agentMeasurements from './agent-measurements.js';
import * as outcomes from './outcomes.js';
import * as shedding from './shedding.js';

type Effects = entryEvent.EntryEffect[];

/** Cancels an attempt at its agent, unless another request still reads its response. */
function sendCancel(state: entryState.EntryState, target: entryState.Target): Effects {
  return heldAttempts.isShared(state, target)
    ? []
    : [entryMessages.sendToAgent(target.backendServerId, entryMessages.buildCancel(target))];
}

/** Fails a request whose attempt is overdue. */
function failOffer(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  target: entryState.Target,
  now: number,
): Effects {
  // A timeout proves nothing about the agent: it may be paused, and start the
  // request when it resumes. Only the agent's own report can establish "not run".
  const { DEADLINE_EXCEEDED, LINK_LOST, GATEWAY_STOPPED } = schema.ResultCode;
  const code = target.started ? DEADLINE_EXCEEDED : LINK_LOST;
  const build = target.started ? outcomes.buildRan : outcomes.buildMayHaveRun;
  const failure = build(request.endsAtShutdown ? GATEWAY_STOPPED : code);
  const cancel = sendCancel(state, target);
  const recorded = agentMeasurements.recordFailure(state, request, now);
  return [...cancel, ...recorded, ...outcomes.fail(state, request, failure, now)];
}

/** Asks the agent to withdraw an overdue attempt, or fails the request after the grace period. */
function handleOverdueOffer(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  target: entryState.Target,
  now: number,
): Effects {
  const asked = target.withdrawnMs !== 0;
  // A joined attempt belongs to another call, whose deadline may not have passed.
  const waits = !asked || now - target.withdrawnMs < requestAccounting.WITHDRAW_GRACE_MS;
  if (target.started || target.joined || !waits) {
    return failOffer(state, request, target, now);
  }
  target.withdrawnMs = target.withdrawnMs || now;
  requestAccounting.updateDueTime(state, request, now);
  return asked
    ? []
    : [entryMessages.sendToAgent(target.backendServerId, entryMessages.buildWithdraw(target))];
}

/** Fails a request whose deadline has passed. */
function handleOverdue(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  if (request.target !== undefined) {
    return handleOverdueOffer(state, request, request.target, now);
  }
  const service = requestAccounting.getRequestService(state, request);
  const retryAfterMs = shedding.drawRetryAfter(state, service, request.tierRank);
  const code = outcomes.getUnreachableCode(request);
  return outcomes.fail(state, request, outcomes.buildNotRun(code, retryAfterMs), now);
}

/** Performs the action that is due for one request. */
function handleDue(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  if (now >= request.deadlineMs) {
    return handleOverdue(state, request, now);
  }
  const waits = request.status === entryState.RequestStatus.WAITING;
  if (waits && (now >= request.nextAskAtMs || request.retryAtMs > 0)) {
    request.nextAskAtMs = Infinity;
    request.retryAtMs = 0;
    requestAccounting.updateDueTime(state, request, now);
    return dispatch.place(state, request, now);
  }
  requestAccounting.updateDueTime(state, request, now);
  return [];
}

/** Performs all actions that are due. The cost depends only on their number. */
export function handleAllDue(state: entryState.EntryState, now: number): Effects {
  return priorityHeap.takeUpTo(state.due, now).flatMap((requestId) => {
    const request = state.requests.get(requestId);
    return request === undefined ? [] : handleDue(state, request, now);
  });
}

/** Handles a caller that disconnected before its response ended. */
export function handleCallerLeft(
  state: entryState.EntryState,
  callerId: number,
  now: number,
): Effects {
  const requestId = state.requestByCaller.get(callerId);
  const request = requestId === undefined ? undefined : state.requests.get(requestId);
  if (request === undefined) {
    return [];
  }
  const { target } = request;
  const cancel = target === undefined ? [] : sendCancel(state, target);
  return [...cancel, ...outcomes.abandon(state, request, now)];
}
