/** Ends requests. Every request ends here, once. */
import * as schema from '@toucanproxy/schema';
import * as attemptRef from '../shared/attempt-ref.js';
import * as effect from '../shared/effect.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as heldAttempts from './held-attempts.js';

type Effects = entryEvent.EntryEffect[];

/** What a caller is told when its request did not complete. */
export type Failure = {
  code: schema.ResultCode;
  runState: schema.RunState;
  retryAfterMs: number;
};

/** Builds a failure of a request that was not run. */
export function buildNotRun(code: schema.ResultCode, retryAfterMs = 0): Failure {
  return { code, runState: schema.RunState.NOT_RUN, retryAfterMs };
}

/** Builds a failure of a request that was started. */
export function buildRan(code: schema.ResultCode): Failure {
  return { code, runState: schema.RunState.RAN, retryAfterMs: 0 };
}

/** Builds a failure where nobody can say whether the request was started. */
export function buildMayHaveRun(code: schema.ResultCode): Failure {
  return { code, runState: schema.RunState.MAY_HAVE_RUN, retryAfterMs: 0 };
}

/** Takes a request out of the state. */
function forget(state: entryState.EntryState, request: entryState.EntryRequest): void {
  releaseTarget(state, request);
  state.requests.delete(request.requestId);
  state.claiming.delete(request.requestId);
  state.requestByCaller.delete(request.arrived.callerId);
}

/** Frees the place that a request takes in the accounts of its target. */
export function releaseTarget(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
): void {
  const { target } = request;
  const agent = target && state.agents.get(target.backendServerId);
  if (agent !== undefined) {
    agent.outstandingTokens -= request.arrived.estimatedTokens;
    agent.heldCount -= 1;
  }
  if (target?.joined === true) {
    heldAttempts.removeJoin(state, attemptRef.toRefKey(target.ref), request.requestId);
  }
  request.target = undefined;
}

/** Counts how a request ended. */
function observeOutcome(
  request: entryState.EntryRequest,
  code: schema.ResultCode,
  now: number,
): entryEvent.EntryEffect {
  return effect.observe({
    kind: 'outcome',
    service: request.arrived.service,
    tier: request.tierName,
    code,
    inTime: now <= request.deadlineMs,
  });
}

/** Notes that an attempt ran, or may have, before the request is placed again. */
export function recordEarlierRun(
  request: entryState.EntryRequest,
  runState: schema.RunState,
): void {
  if (request.earlierRun !== schema.RunState.RAN) {
    request.earlierRun = runState;
  }
}

/**
 * Says what is known of the whole request, not of its last attempt alone.
 *
 * A repeatable request whose first attempt broke and whose second was refused
 * would otherwise be told as not run although an engine had started it.
 */
function computeRunState(request: entryState.EntryRequest, failure: Failure): schema.RunState {
  return failure.runState === schema.RunState.NOT_RUN ? request.earlierRun : failure.runState;
}

/**
 * Gives a request up. A keyed request of a route that runs once is not told
 * "not run" before its key is closed: an earlier call with the same key, paused
 * or waiting elsewhere, could still run, and its caller would order again.
 */
export function fail(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  failure: Failure,
  now: number,
): Effects {
  const keyed = request.arrived.key !== '' && !request.repeatable;
  if (!keyed || failure.runState !== schema.RunState.NOT_RUN) {
    return endFailed(state, request, failure, now);
  }
  if (request.status === entryState.RequestStatus.CLOSING) {
    return [];
  }
  if (request.target !== undefined) {
    request.replaceable.push(request.target.ref);
  }
  releaseTarget(state, request);
  request.status = entryState.RequestStatus.CLOSING;
  request.givenUp = failure;
  state.followUps.push({ kind: 'close', requestId: request.requestId });
  return [];
}

/** Ends a request with a failure. */
export function endFailed(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  failure: Failure,
  now: number,
): Effects {
  const { requestId } = request;
  const { callerId } = request.arrived;
  const attempt = request.target?.ref.attempt ?? request.attempts;
  const runState = computeRunState(request, failure);
  forget(state, request);
  return [
    effect.logDecision('failure', {
      request: requestId,
      attempt,
      code: failure.code,
      result: schema.ResultCode[failure.code],
      runState: schema.RunState[runState],
    }),
    observeOutcome(request, failure.code, now),
    { kind: 'answerFailure', callerId, requestId, ...failure, runState },
  ];
}

/** Ends a request whose whole answer has been received. */
export function complete(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const { callerId } = request.arrived;
  forget(state, request);
  return [
    effect.logDecision('completed', {
      request: request.requestId,
      attempts: request.attempts,
      ms: now - request.arrivedMs,
    }),
    observeOutcome(request, schema.ResultCode.COMPLETED, now),
    { kind: 'answerEnd', callerId },
  ];
}

/** Ends a request whose caller has gone; there is nobody to answer. */
export function abandon(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  forget(state, request);
  return [observeOutcome(request, schema.ResultCode.CLIENT_LEFT, now)];
}
