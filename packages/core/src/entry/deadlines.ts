/** What happens when something is due for a request, or its caller has gone. */
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

/** Tells the agent that noAgent waits for an attempt any more, where that is so. */
function sendCancel(state: entryState.EntryState, target: entryState.Target): Effects {
  return heldAttempts.isShared(state, target)
    ? []
    : [entryMessages.sendToAgent(target.backendServerId, entryMessages.buildCancel(target))];
}

/** Gives up an overdue attempt. */
function failOffer(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  target: entryState.Target,
  now: number,
): Effects {
  // Time alone says nothing about the agent: it may be paused and start the
  // request when it wakes. Only its own word turns into "not run".
  const failure = target.started
    ? outcomes.buildRan(schema.ResultCode.DEADLINE_EXCEEDED)
    : outcomes.buildMayHaveRun(schema.ResultCode.LINK_LOST);
  const cancel = sendCancel(state, target);
  const recorded = agentMeasurements.recordFailure(state, request, now);
  return [...cancel, ...recorded, ...outcomes.fail(state, request, failure, now)];
}

/** Asks the agent what became of an overdue attempt, or gives up waiting for it. */
function handleOverdueOffer(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  target: entryState.Target,
  now: number,
): Effects {
  const asked = target.withdrawnMs !== 0;
  // A joined attempt belongs to another call, whose time may not be up.
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

/** Ends a request whose time is up. */
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
  const code = schema.ResultCode.DEADLINE_UNREACHABLE;
  return outcomes.fail(state, request, outcomes.buildNotRun(code, retryAfterMs), now);
}

/** Does what is due for one request. */
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

/** Does what is due by now, at a cost that grows with that alone. */
export function handleAllDue(state: entryState.EntryState, now: number): Effects {
  return priorityHeap.takeUpTo(state.due, now).flatMap((requestId) => {
    const request = state.requests.get(requestId);
    return request === undefined ? [] : handleDue(state, request, now);
  });
}

/** Handles a caller that closed its connection before the answer ended. */
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
