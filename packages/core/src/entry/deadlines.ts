/** What happens when a request's time is up or its caller has gone. */
import * as schema from '@toucanproxy/schema';
import * as entryEvent from './entry-event.js';
import * as entryMessages from './entry-messages.js';
import * as entryState from './entry-state.js';
import * as outcomes from './outcomes.js';

type Effects = entryEvent.EntryEffect[];

/** How long an agent may take to say what became of an overdue attempt. */
const WITHDRAW_GRACE_MS = 250;

/** Asks the agent what became of an overdue attempt, or gives up waiting for it. */
function handleOverdueOffer(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  target: entryState.Target,
  now: number,
): Effects {
  if (target.withdrawnMs === 0) {
    target.withdrawnMs = now;
    const body = entryMessages.buildWithdraw(target);
    return [entryMessages.sendToAgent(target.backendServerId, body)];
  }
  if (!target.started && now - target.withdrawnMs < WITHDRAW_GRACE_MS) {
    return [];
  }
  // Time alone says nothing about the agent: it may be paused and start the
  // request when it wakes. Only its own word turns into "not run".
  const failure = target.started
    ? outcomes.buildRan(schema.ResultCode.DEADLINE_EXCEEDED)
    : outcomes.buildMayHaveRun(schema.ResultCode.LINK_LOST);
  const cancel = entryMessages.sendToAgent(
    target.backendServerId,
    entryMessages.buildCancel(target),
  );
  return [cancel, ...outcomes.fail(state, request, failure, now)];
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
  const cancel =
    target === undefined
      ? []
      : [entryMessages.sendToAgent(target.backendServerId, entryMessages.buildCancel(target))];
  return [...cancel, ...outcomes.abandon(state, request, now)];
}
