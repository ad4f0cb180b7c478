/** Decides whether a request is admitted, and at which tier. */
import * as schema from '@toucanproxy/schema';
import * as documentIndex from '../shared/document-index.js';
import * as keyTime from '../shared/key-time.js';
import * as suspects from '../shared/suspects.js';
import * as costModel from './cost-model.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as outcomes from './outcomes.js';
import * as serviceState from './service-state.js';

/**
 * Retry-after for callers whose requests this entry cannot admit now,
 * milliseconds. Callers receive it in whole seconds.
 */
const FULL_RETRY_AFTER_MS = 1000;

type Admitted = { kind: 'admitted'; request: entryState.EntryRequest };
type Rejected = { kind: 'rejected'; failure: outcomes.Failure };
/**
 * Not admitted, but an earlier call with the same key may run, so the key has to
 * be closed first.
 */
type Closing = { kind: 'closing'; request: entryState.EntryRequest; failure: outcomes.Failure };

/** Maximum length of a key, characters. */
const MAX_KEY_LENGTH = 255;
/** Maximum number of requests of one entry whose keys are being claimed or closed. */
const MAX_CLAIMING = 4000;

/**
 * Rejects a request without running it.
 *
 * The document may be missing, or differ from the one that applied to an earlier
 * call with the same key. That call may have run. If its caller were told "not
 * run", it would submit the same work again.
 */
function reject(arrived: entryEvent.ArrivedRequest, code: schema.ResultCode): Rejected {
  const failure = arrived.key === '' ? outcomes.buildNotRun(code) : outcomes.buildMayHaveRun(code);
  return { kind: 'rejected', failure };
}

/** Computes the deadline of a request, milliseconds since the Unix epoch. */
function computeDeadline(
  state: entryState.EntryState,
  arrived: entryEvent.ArrivedRequest,
  now: number,
): number {
  const timing = entryState.getTiming(state, arrived.service);
  const asked = arrived.timeoutMs > 0 ? arrived.timeoutMs : timing.defaultDeadlineMs;
  return now + Math.min(asked, timing.maxDeadlineMs);
}

type Authorization = { credential: schema.Credential; route: schema.Route };

/**
 * Rejects waiting requests whose credential a newer document has revoked. They
 * were admitted under a stale document.
 */
export function checkWaiting(
  state: entryState.EntryState,
  document: schema.ServiceDocument,
  now: number,
): entryEvent.EntryEffect[] {
  const service = entryState.getService(state, document.service);
  return [...service.waitingIds]
    .map((requestId) => state.requests.get(requestId))
    .filter((request) => request !== undefined)
    .filter((request) => !service.index?.credentialByToken.has(request.arrived.tokenSha256))
    .flatMap((request) => {
      const failure = outcomes.buildNotRun(schema.ResultCode.UNAUTHENTICATED);
      return outcomes.fail(state, request, failure, now);
    });
}

/** Estimates the cost of a request from what was learned of its class. */
function estimateTokens(
  service: serviceState.ServiceState,
  className: string,
  arrived: entryEvent.ArrivedRequest,
): number {
  return costModel.estimateTokens(
    service.costs,
    className,
    arrived.payload.length,
    arrived.maxAnswerTokens ?? 0,
    arrived.estimatedTokens,
  );
}

/** Builds the record of an admitted request. */
function buildRequest(
  state: entryState.EntryState,
  given: entryEvent.ArrivedRequest,
  { credential, route }: Authorization,
  index: documentIndex.DocumentIndex,
  now: number,
): entryState.EntryRequest {
  const service = entryState.getService(state, given.service);
  const className = `${route.pathPrefix} ${credential.tier}`;
  const serial = state.nextSerial;
  state.nextSerial += 1;
  return {
    requestId: `${state.entryId}-${state.life}-${serial}`,
    arrived: { ...given, estimatedTokens: estimateTokens(service, className, given) },
    workspace: credential.workspace,
    weight: index.workspaceByName.get(credential.workspace)?.weight || 1,
    tierRank: index.tierRankByName.get(credential.tier) ?? index.tierRankByName.size,
    tierName: credential.tier,
    repeatable: route.repeat === schema.Repeat.ALLOWED,
    arrivedMs: now,
    deadlineMs: computeDeadline(state, given, now),
    endsAtShutdown: false,
    status: entryState.RequestStatus.WAITING,
    attempts: 0,
    target: undefined,
    claim: undefined,
    replaceable: [],
    pendingFailure: undefined,
    claimRounds: 0,
    claimSkipped: false,
    refusedBy: new Set(),
    head: undefined,
    bufferedParts: [],
    firstByteSent: false,
    className,
    reservedAt: new Set(),
    nextAskAtMs: Infinity,
    retryAtMs: 0,
    earlierRunState: schema.RunState.NOT_RUN,
    deadlineRefusedBy: new Set(),
    retries: 0,
    crashes: 0,
    startedMs: 0,
    answerTokens: 0,
  };
}

/**
 * Returns why a key cannot be used; undefined if it can. A key issued ahead of
 * the clocks could be bound by one incarnation of its home, and the next
 * incarnation would take it for a new key.
 */
function findKeyFault(
  state: entryState.EntryState,
  arrived: entryEvent.ArrivedRequest,
  now: number,
): outcomes.Failure | undefined {
  const { clockSkewMs } = entryState.getTiming(state, arrived.service);
  const aheadMs = keyTime.parseKeyIssueTime(arrived.key) - now;
  if (arrived.key.length > MAX_KEY_LENGTH || aheadMs > 2 * clockSkewMs) {
    return outcomes.buildNotRun(schema.ResultCode.KEY_INVALID);
  }
  // An entry whose clock is ahead of this one's may have accepted the key.
  return aheadMs > clockSkewMs
    ? outcomes.buildMayHaveRun(schema.ResultCode.KEY_INVALID)
    : undefined;
}

/** Rejects a request that this call will not run; its key may have to be closed first. */
function refuse(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  failure: outcomes.Failure,
): Rejected | Closing {
  if (request.arrived.key === '') {
    return { kind: 'rejected', failure };
  }
  if (request.repeatable) {
    const runState = schema.RunState.MAY_HAVE_RUN;
    return { kind: 'rejected', failure: { ...failure, runState } };
  }
  if (state.claiming.size >= MAX_CLAIMING) {
    const untold = outcomes.buildMayHaveRun(schema.ResultCode.KEY_UNDECIDED);
    return { kind: 'rejected', failure: { ...untold, retryAfterMs: FULL_RETRY_AFTER_MS } };
  }
  return { kind: 'closing', request, failure };
}

/** Returns why an authorized request is not admitted now; undefined if no limit applies. */
function findAdmissionLimit(
  state: entryState.EntryState,
  request: entryState.EntryRequest,
  index: documentIndex.DocumentIndex,
): outcomes.Failure | undefined {
  const { limits } = index;
  const { arrived, workspace } = request;
  if (state.shutdownStarted) {
    return outcomes.buildNotRun(schema.ResultCode.SHUTTING_DOWN, FULL_RETRY_AFTER_MS);
  }
  if (suspects.isBlocked(state.suspects, arrived.contentDigest)) {
    return outcomes.buildNotRun(schema.ResultCode.CONTENT_REFUSED);
  }
  const service = entryState.getService(state, arrived.service);
  const held = service.heldByWorkspace.get(workspace) ?? 0;
  const own = index.workspaceByName.get(workspace)?.maxRequests;
  return held >= (own || limits.maxRequestsPerWorkspace)
    ? outcomes.buildNotRun(schema.ResultCode.WORKSPACE_LIMIT, FULL_RETRY_AFTER_MS)
    : undefined;
}

/** Decides on an arrived request. The tier depends on the credential alone. */
export function admit(
  state: entryState.EntryState,
  arrived: entryEvent.ArrivedRequest,
  now: number,
): Admitted | Rejected | Closing {
  const index = state.services.get(arrived.service)?.index;
  if (index === undefined) {
    return reject(arrived, schema.ResultCode.UNKNOWN_SERVICE);
  }
  const credential = index.credentialByToken.get(arrived.tokenSha256);
  if (credential === undefined) {
    return reject(arrived, schema.ResultCode.UNAUTHENTICATED);
  }
  const route = documentIndex.findRoute(index, arrived.path);
  if (route === undefined) {
    return reject(arrived, schema.ResultCode.UNKNOWN_PATH);
  }
  if (arrived.payload.length > index.limits.maxBodyBytes) {
    return reject(arrived, schema.ResultCode.BODY_TOO_LARGE);
  }
  const keyFault = findKeyFault(state, arrived, now);
  if (keyFault !== undefined) {
    return { kind: 'rejected', failure: keyFault };
  }
  const request = buildRequest(state, arrived, { credential, route }, index, now);
  const limit = findAdmissionLimit(state, request, index);
  return limit === undefined ? { kind: 'admitted', request } : refuse(state, request, limit);
}
