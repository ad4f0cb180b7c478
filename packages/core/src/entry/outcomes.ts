/** Ends requests. Every request ends here, exactly once. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as requestAccounting from './request-accounting.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as reservations from './reservations.js';

type Effects = entryEvent.EntryEffect[];

/** What a caller receives if its request did not complete. */
export type Failure = {
  code: schema.ResultCode;
  runState: schema.RunState;
  retryAfterMs: number;
};

/** Builds the failure of a request that was not run. */
export function buildNotRun(code: schema.ResultCode, retryAfterMs = 0): Failure {
  return { code, runState: schema.RunState.NOT_RUN, retryAfterMs };
}

/** Builds the failure of a request that was started. */
export function buildRan(code: schema.ResultCode): Failure {
  return { code, runState: schema.RunState.RAN, retryAfterMs: 0 };
}

/** Builds the failure of a request that may or may not have been started. */
export function buildMayHaveRun(code: schema.ResultCode): Failure {
  return { code, runState: schema.RunState.MAY_HAVE_RUN, retryAfterMs: 0 };
}

/** Returns the code of a request that cannot be run before its deadline. */
export function getUnreachableCode(request: entryState.EntryRequest): schema.ResultCode {
  const { SHUTTING_DOWN, DEADLINE_UNREACHABLE } = schema.ResultCode;
  return request.endsAtShutdown ? SHUTTING_DOWN : DEADLINE_UNREACHABLE;
}

/**
 * Combines the run states of two attempts.
 *
 * A retry that is not run does not make its request "not run": the attempt before
 * it was started, and a caller that gets "not run" would submit the same work
 * again.
 */
export function mergeRunStates(a: schema.RunState, b: schema.RunState): schema.RunState {
  const { RAN, MAY_HAVE_RUN, NOT_RUN } = schema.RunState;
  return [RAN, MAY_HAVE_RUN].find((known) => a === known || b === known) ?? NOT_RUN;
}

/** Computes the run state of a request from its current attempt, its earlier ones and its key. */
function computeRunState(request: entryState.EntryRequest, failure: Failure): schema.RunState {
  const known = mergeRunStates(request.earlierRunState, failure.runState);
  // The key of a repeatable request is not closed. Another call with the same key
  // may run, and "not run" would be wrong for what the caller considers one
  // request.
  const open = request.repeatable && request.arrived.key !== '';
  return open ? mergeRunStates(known, schema.RunState.MAY_HAVE_RUN) : known;
}

/** Removes a request from the waiting requests and releases its reservations. */
export function stopWaiting(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
): Effects {
  requestAccounting.endWaiting(state, request);
  requestAccounting.removeUnstarted(state, request);
  return reservations.releaseReservations(state, request);
}

/** Removes a request from the state. */
function forget(state: entryState.EntryState, request: entryState.EntryRequest): Effects {
  const released = stopWaiting(state, request);
  requestAccounting.removeRequest(state, request);
  return released;
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

/**
 * Fails a request. If it has a key and its route runs once, its caller gets "not
 * run" only after the key is closed: an earlier call with the same key, paused or
 * waiting elsewhere, could still run, and the caller would submit the same work
 * again.
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
  requestAccounting.releaseTarget(state, request);
  request.status = entryState.RequestStatus.CLOSING;
  request.pendingFailure = failure;
  state.followUps.push({ kind: 'close', requestId: request.requestId });
  return stopWaiting(state, request);
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
  const released = forget(state, request);
  const runState = computeRunState(request, failure);
  return [
    ...released,
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

/** Ends a request whose complete response has been received. */
export function complete(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const { callerId } = request.arrived;
  const released = forget(state, request);
  return [
    ...released,
    effect.logDecision('completed', {
      request: request.requestId,
      attempts: request.attempts,
      ms: now - request.arrivedMs,
    }),
    observeOutcome(request, schema.ResultCode.COMPLETED, now),
    { kind: 'answerEnd', callerId },
  ];
}

/** Ends a request whose caller has disconnected, so that no response is sent. */
export function abandon(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  now: number,
): Effects {
  const released = forget(state, request);
  return [...released, observeOutcome(request, schema.ResultCode.CLIENT_LEFT, now)];
}
