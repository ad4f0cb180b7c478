/** What follows when a backend server has ended an attempt without a good answer. */
import * as schema from '@toucanproxy/schema';
import * as overloads from '../shared/overload.js';
import * as pendingAsks from './pending-asks.js';
import * as assignment from './assignment.js';
import * as backendServers from './backend-servers.js';
import type * as configurationLease from './configuration-lease.js';
import * as crashWatch from './crash-watch.js';
import * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as refusal from './refusal.js';
import * as requestEnd from './request-end.js';

export enum AttemptFault {
  /** No connection: no byte of the request left. */
  UNREACHABLE = 'unreachable',
  /** Not sent: the backend server was not to be used any more when its connection was open. */
  WITHDRAWN = 'withdrawn',
  /** The backend server says that it did not run the request, as it is full. */
  REFUSED = 'refused',
  /** Another backend server is at the address, and did not run the request. */
  MISDIRECTED = 'misdirected',
  /** The backend server answered with a failure of its own. */
  FAILED = 'failed',
  /** The connection ended, or its bytes are no answer to this request. */
  BROKEN = 'broken',
}

export type AttemptVerdict =
  /** It waits again. */
  | { kind: 'again' }
  /** Its caller gets the failure of the backend server. */
  | { kind: 'passFailure' }
  | { kind: 'refuse'; refusal: refusal.Refusal };

/** Sends of one request at most, those that did not run included. */
const MAX_SENDS = 4;
/** Pause in a stream that callers bear, milliseconds. */
const RESUME_TARGET_MS = 400;
/** Time that a further attempt needs at least, milliseconds. */
const MIN_TIME_LEFT_MS = 20;

const NOT_RUN = new Set([
  AttemptFault.UNREACHABLE,
  AttemptFault.WITHDRAWN,
  AttemptFault.REFUSED,
  AttemptFault.MISDIRECTED,
]);

/** Notes what a fault says of the backend server. */
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

/** Notes what a fault says of a crash of the backend server. */
function watchForCrash(
  state: gatewayState.GatewayState,
  { arrived }: gatewayRequest.GatewayRequest,
  serverId: string,
  fault: AttemptFault,
  clocks: configurationLease.ClockReading,
): void {
  if (fault === AttemptFault.BROKEN) {
    crashWatch.noteBrokenRun(state, serverId, arrived.hashContent(), clocks.steadyMs);
  } else if (fault === AttemptFault.UNREACHABLE) {
    crashWatch.applyCrash(state, serverId, clocks);
  }
}

/** Tells whether one more attempt is allowed. */
function isAgainAllowed(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  notRun: boolean,
  now: number,
): boolean {
  const { route } = request;
  const runsLeft = notRun || (request.repeatable && request.runs < route.maxAttempts);
  const timeLeft = request.giveUpMs - now > MIN_TIME_LEFT_MS;
  return (
    runsLeft &&
    timeLeft &&
    request.sends < MAX_SENDS &&
    assignment.takeRetry(state, request.service, now)
  );
}

/** Builds the refusal of a request that is not tried again. */
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
  const { overload } = gatewayState.getServiceWork(state, request.service);
  overloads.noteRefusal(overload, now);
  const advice = overloads.drawRetryAfter(overload, 0, state.drawRandom, now);
  return refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER, advice);
}

/**
 * Puts a request back to waiting. A caller that has a part of a stream already
 * leaves after a short pause, so that the rest goes before everything else.
 */
function waitAgain(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  hasBegun: boolean,
  now: number,
): boolean {
  request.phase = gatewayRequest.RequestPhase.WAITING;
  if (hasBegun) {
    request.urgency = 0;
    request.targetMs = now + RESUME_TARGET_MS;
    request.leaveMs = Math.min(now + request.route.patienceMs, request.giveUpMs);
  }
  request.declinedCells.clear();
  return pendingAsks.askPlace(state, request, now);
}

/** What the caller has of the answer when an attempt fails. */
export type ResponseProgress = {
  hasBegun: boolean;
  /** The rest can follow from another run: nothing has been passed on, or it is known where. */
  canResume: boolean;
};

/** Decides what becomes of a request whose attempt has failed. */
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
  if (serverId !== undefined) {
    noteServerFault(state, request, serverId, fault, now);
    watchForCrash(state, request, serverId, fault, clocks);
    request.triedIds.add(serverId);
  }
  requestEnd.releaseServer(state, request);
  const isAgain = canResume && isAgainAllowed(state, request, notRun, now);
  if (isAgain && waitAgain(state, request, hasBegun, now)) {
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
