/** Handles attempts that ended without a good response: retries the request or refuses it. */
import * as schema from '@toucanproxy/schema';
import * as overloads from '../shared/overload.js';
import * as pendingAsks from './pending-asks.js';
import * as backendServers from './backend-servers.js';
import type * as configurationLease from './configuration-lease.js';
import * as crashDetection from './crash-detection.js';
import * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as recentUse from './recent-use.js';
import * as refusal from './refusal.js';
import * as requestEnd from './request-end.js';
import * as retries from './retries.js';

export enum AttemptFault {
  /** No connection could be opened; no byte of the request was sent. */
  UNREACHABLE = 'unreachable',
  /** Not sent: when the connection was open, the backend server could no longer be used. */
  WITHDRAWN = 'withdrawn',
  /** The backend server responded that it is full and did not run the request. */
  REFUSED = 'refused',
  /** Another backend server has taken over the address and did not run the request. */
  MISDIRECTED = 'misdirected',
  /** The backend server responded with an error of its own. */
  FAILED = 'failed',
  /** The connection ended early, or its bytes are not a valid response to this request. */
  BROKEN = 'broken',
}

export type AttemptVerdict =
  /** The request waits for another attempt. */
  | { kind: 'again' }
  /** The caller gets the error response of the backend server. */
  | { kind: 'passFailure' }
  | { kind: 'refuse'; refusal: refusal.Refusal };

/** Maximum number of sends of one request, including those after which it was not run. */
const MAX_SENDS = 4;
/** Longest pause in a stream that callers tolerate, milliseconds. */
const RESUME_TARGET_MS = 400;
/** Minimum time for another attempt, milliseconds. */
const MIN_TIME_LEFT_MS = 20;

/** Faults after which the request has certainly not run. */
const NOT_RUN = new Set([
  AttemptFault.UNREACHABLE,
  AttemptFault.WITHDRAWN,
  AttemptFault.REFUSED,
  AttemptFault.MISDIRECTED,
]);

/** Faults after which the request has certainly not arrived at a backend server. */
const NOT_ARRIVED = new Set([AttemptFault.UNREACHABLE, AttemptFault.WITHDRAWN]);

/** Records what a fault reveals about the backend server. */
function noteServerFault(
  state: gatewayState.GatewayState,
  { service }: gatewayRequest.GatewayRequest,
  serverId: string,
  fault: AttemptFault,
  now: number,
): void {
  const server = { serverId, service };
  switch (fault) {
    case AttemptFault.UNREACHABLE:
      pendingAsks.noteObservation(state, server, schema.ServerObservation_Kind.UNREACHABLE, 0, now);
      return;
    case AttemptFault.REFUSED:
      pendingAsks.noteObservation(state, server, schema.ServerObservation_Kind.NOT_TAKEN, 0, now);
      return;
    case AttemptFault.WITHDRAWN:
      return;
    case AttemptFault.MISDIRECTED:
      backendServers.noteDisplaced(state.servers, serverId);
      return;
    default:
      pendingAsks.noteObservation(
        state,
        server,
        schema.ServerObservation_Kind.FAILED_ANSWER,
        0,
        now,
      );
  }
}

/** Returns whether another attempt is allowed, and reserves it in the retry budget. */
function isRetryAllowed(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  notRun: boolean,
  now: number,
): boolean {
  const { route } = request;
  const runsLeft = notRun || (request.repeatable && request.runs < route.maxAttempts);
  const timeLeft = request.giveUpMs - now > MIN_TIME_LEFT_MS;
  if (!runsLeft || !timeLeft || request.sends >= MAX_SENDS) {
    return false;
  }
  if (crashDetection.findSuspension(state, request, now) !== undefined) {
    return false;
  }
  return retries.reserveRetry(state, request);
}

/** Builds the refusal of a request that is not retried. */
function buildRefusal(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  fault: AttemptFault,
  now: number,
): refusal.Refusal {
  if (request.runs > 0) {
    const code =
      fault === AttemptFault.BROKEN
        ? schema.ResultCode.ANSWER_BROKEN
        : schema.ResultCode.ENGINE_FAILED;
    return refusal.buildRefusal(code);
  }
  const suspension = crashDetection.findSuspension(state, request, now);
  if (suspension !== undefined) {
    return suspension;
  }
  const { overload } = gatewayState.getServiceState(state, request.service);
  overloads.noteRefusal(overload, now);
  const advice = overloads.drawRetryAfter(overload, 0, state.drawRandom, now);
  return refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER, advice);
}

/**
 * Puts a request back into the waiting phase. A caller that already has part of a stream
 * disconnects after a short pause, so resuming a stream gets the highest urgency.
 */
function waitAgain(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  hasBegun: boolean,
  now: number,
): boolean {
  request.phase = gatewayRequest.RequestPhase.WAITING;
  request.hasBegun = hasBegun;
  if (hasBegun) {
    request.urgency = 0;
    request.targetMs = now + RESUME_TARGET_MS;
    request.leaveMs = Math.min(now + request.route.patienceMs, request.giveUpMs);
  }
  request.declinedCells.clear();
  return pendingAsks.askPlace(state, request, now);
}

/** How much of the response the caller has received when an attempt fails. */
export type ResponseProgress = {
  hasBegun: boolean;
  /** Another run can supply the rest: nothing was sent yet, or the resume position is known. */
  canResume: boolean;
};

/** Decides whether a request whose attempt failed waits again or ends. */
export function handleAttemptFault(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  fault: AttemptFault,
  { hasBegun, canResume }: ResponseProgress,
  clocks: configurationLease.ClockReading,
): AttemptVerdict {
  const { serverId } = request;
  const now = clocks.steadyMs;
  const notRun = NOT_RUN.has(fault);
  request.runs += notRun ? 0 : 1;
  request.mayHaveArrived ||= !NOT_ARRIVED.has(fault);
  if (notRun) {
    const { use } = gatewayState.getServiceState(state, request.service);
    recentUse.noteNotRun(use, request, now);
  }
  if (serverId !== undefined) {
    noteServerFault(state, request, serverId, fault, now);
    if (fault === AttemptFault.BROKEN) {
      crashDetection.noteLostRun(state, request, now);
    }
    request.triedIds.add(serverId);
  }
  requestEnd.releaseServer(state, request);
  const isVersionKnown = !hasBegun || request.streamVersion !== undefined;
  const isRetry = canResume && isVersionKnown && isRetryAllowed(state, request, notRun, now);
  if (isRetry && waitAgain(state, request, hasBegun, now)) {
    return { kind: 'again' };
  }
  if (request.runs === 0) {
    requestEnd.endWithoutRun(state, request);
  } else {
    requestEnd.endRequest(state, request);
  }
  return fault === AttemptFault.FAILED
    ? { kind: 'passFailure' }
    : { kind: 'refuse', refusal: buildRefusal(state, request, fault, now) };
}
