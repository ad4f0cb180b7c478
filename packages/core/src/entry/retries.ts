/** Retries idempotent requests whose attempt failed, within a budget. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as requestAccounting from './request-accounting.js';
import * as dispatch from './dispatch.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as outcomes from './outcomes.js';
import * as retryBudget from '../shared/retry-budget.js';
import * as shedding from './shedding.js';

type Effects = entryEvent.EntryEffect[];

/** Number of crashes after which a request is not retried, because it is then a likely cause. */
const MAX_CRASHES = 1;
const MAX_RETRIES = 3;

/** Starts the backoff before the request is placed again. */
function startBackoff(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  failure: outcomes.Failure,
  now: number,
): Effects {
  request.earlierRunState = outcomes.mergeRunStates(request.earlierRunState, failure.runState);
  dispatch.resetToWaiting(state, request, now);
  const pauseMs = retryBudget.drawBackoff(request.retries, state.policy.drawRandom);
  request.retries += 1;
  request.retryAtMs = now + pauseMs;
  requestAccounting.updateDueTime(state, request, now);
  return [
    effect.logDecision('repeat', {
      request: request.requestId,
      attempt: request.attempts,
      result: schema.ResultCode[failure.code],
      pauseMs: Math.round(pauseMs),
    }),
  ];
}

/** Fails or retries a request whose attempt was lost or failed. */
export function handleFailedRun(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  failure: outcomes.Failure,
  now: number,
): Effects {
  if (failure.code === schema.ResultCode.ENGINE_CRASHED) {
    request.crashes += 1;
  }
  const canRetry =
    request.repeatable &&
    !request.firstByteSent &&
    now < request.deadlineMs &&
    request.retries < MAX_RETRIES &&
    request.crashes <= MAX_CRASHES;
  if (!canRetry) {
    return outcomes.fail(state, request, failure, now);
  }
  const service = requestAccounting.getRequestService(state, request);
  // An exhausted budget sheds load, and no urgent request may be shed before less
  // urgent ones. Those that this entry holds can be shed for the retry.
  const canShedOthers = requestAccounting.hasLessUrgent(service, request.tierRank);
  if (retryBudget.takeRetry(service.retryBudget) || canShedOthers) {
    return startBackoff(state, request, failure, now);
  }
  const retryAfterMs = shedding.drawRetryAfter(state, service, request.tierRank);
  const code = schema.ResultCode.RETRY_BUDGET_SPENT;
  return outcomes.fail(state, request, { ...failure, code, retryAfterMs }, now);
}
