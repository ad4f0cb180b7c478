/** Decides whether a request is taken in, and with which rights. */
import * as schema from '@toucanproxy/schema';
import * as keyTime from '../shared/key-time.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as outcomes from './outcomes.js';

/** Seconds are for people; callers that meet a full entry come back after this. */
const FULL_RETRY_AFTER_MS = 1000;

type Admitted = { kind: 'admitted'; request: entryState.EntryRequest };
type Rejected = { kind: 'rejected'; failure: outcomes.Failure };
/** Not taken in for want of room, but an earlier call with its key may run. */
type Closing = { kind: 'closing'; request: entryState.EntryRequest; failure: outcomes.Failure };

/** Longest key, characters. */
const MAX_KEY_LENGTH = 255;
/** Requests of one entry whose keys are being claimed or closed, at most. */
const MAX_CLAIMING = 4000;

/** Finds the route that serves a path: the longest prefix wins. */
export function findRoute(
  document: schema.ServiceDocument,
  path: string,
): schema.Route | undefined {
  const matching = document.routes.filter((route) => path.startsWith(route.pathPrefix));
  matching.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  return matching[0];
}

/** Rejects a request without running it. */
function reject(code: schema.ResultCode, retryAfterMs = 0): Rejected {
  return { kind: 'rejected', failure: outcomes.buildNotRun(code, retryAfterMs) };
}

/** Counts the requests of a workspace that this entry holds. */
function countOfWorkspace(
  state: entryState.EntryState,
  service: string,
  workspace: string,
): number {
  return [...state.requests.values()].filter(
    (request) => request.workspace === workspace && request.arrived.service === service,
  ).length;
}

/** Computes when a request must be done, milliseconds since the Unix epoch. */
function computeDeadline(
  state: entryState.EntryState,
  arrived: entryEvent.ArrivedRequest,
  now: number,
): number {
  const timing = entryState.getTiming(state, arrived.service);
  const asked = arrived.timeoutMs > 0 ? arrived.timeoutMs : timing.defaultDeadlineMs;
  return now + Math.min(asked, timing.maxDeadlineMs);
}

/**
 * Refuses requests that wait without a place and whose credential a newer
 * document has revoked. They were taken in by a document that was stale.
 */
export function checkWaiting(
  state: entryState.EntryState,
  document: schema.ServiceDocument,
  now: number,
): entryEvent.EntryEffect[] {
  const valid = new Set(document.credentials.map((one) => one.tokenSha256));
  return [...state.requests.values()]
    .filter(
      (request) =>
        request.status === entryState.RequestStatus.WAITING &&
        request.arrived.service === document.service &&
        !valid.has(request.arrived.tokenSha256),
    )
    .flatMap((request) => {
      const failure = outcomes.buildNotRun(schema.ResultCode.UNAUTHENTICATED);
      return outcomes.fail(state, request, failure, now);
    });
}

/** Builds the record of a request that is taken in. */
function buildRequest(
  state: entryState.EntryState,
  arrived: entryEvent.ArrivedRequest,
  credential: schema.Credential,
  route: schema.Route,
  now: number,
): entryState.EntryRequest {
  const document = entryState.getDocument(state, arrived.service);
  const workspace = document?.workspaces.find((one) => one.name === credential.workspace);
  const serial = state.nextSerial;
  state.nextSerial += 1;
  return {
    requestId: `${state.entryId}-${state.life}-${serial}`,
    arrived,
    workspace: credential.workspace,
    weight: workspace?.weight || 1,
    tierRank: document?.tiers.indexOf(credential.tier) ?? 0,
    tierName: credential.tier,
    repeatable: route.repeat === schema.Repeat.ALLOWED,
    arrivedMs: now,
    deadlineMs: computeDeadline(state, arrived, now),
    status: entryState.RequestStatus.WAITING,
    attempts: 0,
    target: undefined,
    claim: undefined,
    replaceable: [],
    givenUp: undefined,
    claimRounds: 0,
    claimWaived: false,
    earlierRun: schema.RunState.NOT_RUN,
    refusedBy: new Set(),
    head: undefined,
    collected: [],
    firstByteSent: false,
  };
}

/**
 * Says why a key cannot be used. A key that is ahead of the clocks could be
 * bound by one life of its home and then be taken by the next for a new one.
 */
function findKeyFault(
  state: entryState.EntryState,
  arrived: entryEvent.ArrivedRequest,
  now: number,
): outcomes.Failure | undefined {
  const { clockSkewMs } = entryState.getTiming(state, arrived.service);
  const aheadMs = keyTime.readKeyTime(arrived.key) - now;
  if (arrived.key.length > MAX_KEY_LENGTH || aheadMs > 2 * clockSkewMs) {
    return outcomes.buildNotRun(schema.ResultCode.KEY_INVALID);
  }
  // An entry whose clock is ahead of this one's may have taken the key.
  return aheadMs > clockSkewMs
    ? outcomes.buildMayHaveRun(schema.ResultCode.KEY_INVALID)
    : undefined;
}

/** Refuses a request for want of room. */
function refuseForLoad(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  code: schema.ResultCode,
): Rejected | Closing {
  const failure = outcomes.buildNotRun(code, FULL_RETRY_AFTER_MS);
  if (request.arrived.key === '' || request.repeatable) {
    return { kind: 'rejected', failure };
  }
  if (state.claiming.size >= MAX_CLAIMING) {
    const untold = outcomes.buildMayHaveRun(schema.ResultCode.KEY_UNDECIDED);
    return { kind: 'rejected', failure: { ...untold, retryAfterMs: FULL_RETRY_AFTER_MS } };
  }
  return { kind: 'closing', request, failure };
}

/** Decides on an arrived request. The tier comes from its credential alone. */
export function admit(
  state: entryState.EntryState,
  arrived: entryEvent.ArrivedRequest,
  now: number,
): Admitted | Rejected | Closing {
  const document = entryState.getDocument(state, arrived.service);
  if (document === undefined) {
    return reject(schema.ResultCode.UNKNOWN_SERVICE);
  }
  const credential = document.credentials.find((one) => one.tokenSha256 === arrived.tokenSha256);
  if (credential === undefined) {
    return reject(schema.ResultCode.UNAUTHENTICATED);
  }
  const route = findRoute(document, arrived.path);
  if (route === undefined) {
    return reject(schema.ResultCode.UNKNOWN_PATH);
  }
  const limits = entryState.getLimits(state, arrived.service);
  if (arrived.payload.length > limits.maxBodyBytes) {
    return reject(schema.ResultCode.BODY_TOO_LARGE);
  }
  const keyFault = findKeyFault(state, arrived, now);
  if (keyFault !== undefined) {
    return { kind: 'rejected', failure: keyFault };
  }
  const request = buildRequest(state, arrived, credential, route, now);
  if (state.shutdownStarted) {
    return refuseForLoad(state, request, schema.ResultCode.SHUTTING_DOWN);
  }
  const held = countOfWorkspace(state, arrived.service, credential.workspace);
  const own = document.workspaces.find((one) => one.name === credential.workspace);
  if (held >= (own?.maxRequests || limits.maxRequestsPerWorkspace)) {
    return refuseForLoad(state, request, schema.ResultCode.WORKSPACE_LIMIT);
  }
  return { kind: 'admitted', request };
}
