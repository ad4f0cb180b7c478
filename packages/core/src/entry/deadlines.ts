/** What happens when a request's time is up or its caller has gone. */
import * as schema from '@toucanproxy/schema';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import * as heldAttempts from './held-attempts.js';
import * as outcomes from './outcomes.js';

type Effects = entryEvent.EntryEffect[];

/** How long an agent may take to say what became of an overdue attempt. */
const WITHDRAW_GRACE_MS = 250;

/** Tells the agent that nobody waits for an attempt any more, where that is so. */
function sendCancel(state: entryState.EntryState, target: entryState.Target): Effects {
  return heldAttempts.isShared(state, target)
    ? []
    : [entryMessages.sendToAgent(target.backendServerId, entryMessages.buildCancel(target))];
}

/** Asks the agent what became of an overdue attempt, or gives up waiting for it. */
function handleOverdueOffer(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  target: entryState.Target,
  now: number,
): Effects {
  // A joined attempt belongs to another call, whose time may not be up.
  if (target.withdrawnMs === 0 && !target.joined) {
    target.withdrawnMs = now;
    const body = entryMessages.buildWithdraw(target);
    return [entryMessages.sendToAgent(target.backendServerId, body)];
  }
  if (!target.started && !target.joined && now - target.withdrawnMs < WITHDRAW_GRACE_MS) {
    return [];
  }
  // Time alone says nothing about the agent: it may be paused and start the
  // request when it wakes. Only its own word turns into "not run".
  const failure = target.started
    ? outcomes.buildRan(schema.ResultCode.DEADLINE_EXCEEDED)
    : outcomes.buildMayHaveRun(schema.ResultCode.LINK_LOST);
  const cancel = sendCancel(state, target);
  return [...cancel, ...outcomes.fail(state, request, failure, now)];
}

/** Ends requests whose time is up. */
export function endOverdue(state: entryState.EntryState, now: number): Effects {
  return [...state.requests.values()]
    .filter((request) => now >= request.deadlineMs)
    .flatMap((request) => {
      if (request.target !== undefined) {
        return handleOverdueOffer(state, request, request.target, now);
      }
      const failure = outcomes.buildNotRun(schema.ResultCode.DEADLINE_UNREACHABLE);
      return outcomes.fail(state, request, failure, now);
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
