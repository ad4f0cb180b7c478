/** Decides whether a request is taken in, and with which rights. */
import * as schema from '@toucanproxy/schema';
import * as documentIndex from '../shared/document-index.js';
import * as suspectTable from '../shared/suspect-table.js';
import * as costModel from './cost-model.js';
import * as entryEvent from './entry-event.js';
import * as entryState from './entry-state.js';
import * as outcomes from './outcomes.js';
import * as serviceState from './service-state.js';

/** Seconds are for people; callers that meet a full entry come back after this. */
const FULL_RETRY_AFTER_MS = 1000;

type Admitted = { kind: 'admitted'; request: entryState.EntryRequest };
type Rejected = { kind: 'rejected'; failure: outcomes.Failure };

/** Rejects a request without running it. */
function reject(code: schema.ResultCode, retryAfterMs = 0): Rejected {
  return { kind: 'rejected', failure: outcomes.buildNotRun(code, retryAfterMs) };
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

type Rights = { credential: schema.Credential; route: schema.Route };

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
    arrived.answerTokensBound ?? 0,
    arrived.estimatedTokens,
  );
}

/** Builds the record of a request that is taken in. */
function buildRequest(
  state: entryState.EntryState,
  given: entryEvent.ArrivedRequest,
  { credential, route }: Rights,
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
    status: entryState.RequestStatus.WAITING,
    attempts: 0,
    target: undefined,
    refusedBy: new Set(),
    head: undefined,
    collected: [],
    firstByteSent: false,
    className,
    reservedAt: new Set(),
    askMoreMs: Infinity,
    retryAtMs: 0,
    earlierRun: schema.RunState.NOT_RUN,
    unreachableBy: new Set(),
    repeats: 0,
    crashes: 0,
    startedMs: 0,
    answerTokens: 0,
  };
}

/** Finds a limit that a request with valid rights meets. */
function findLimit(
  state: entryState.EntryState,
  arrived: entryEvent.ArrivedRequest,
  workspace: string,
  index: documentIndex.DocumentIndex,
  now: number,
): Rejected | undefined {
  const { limits } = index;
  if (arrived.payload.length > limits.maxBodyBytes) {
    return reject(schema.ResultCode.BODY_TOO_LARGE);
  }
  if (state.shutdownStarted) {
    return reject(schema.ResultCode.SHUTTING_DOWN, FULL_RETRY_AFTER_MS);
  }
  if (suspectTable.isRefused(state.suspects, arrived.contentDigest, now)) {
    return reject(schema.ResultCode.CONTENT_REFUSED);
  }
  const service = entryState.getService(state, arrived.service);
  const held = service.heldByWorkspace.get(workspace) ?? 0;
  const own = index.workspaceByName.get(workspace)?.maxRequests;
  return held >= (own || limits.maxRequestsPerWorkspace)
    ? reject(schema.ResultCode.WORKSPACE_LIMIT, FULL_RETRY_AFTER_MS)
    : undefined;
}

/** Decides on an arrived request. The tier comes from its credential alone. */
export function admit(
  state: entryState.EntryState,
  arrived: entryEvent.ArrivedRequest,
  now: number,
): Admitted | Rejected {
  const index = state.services.get(arrived.service)?.index;
  if (index === undefined) {
    return reject(schema.ResultCode.UNKNOWN_SERVICE);
  }
  const credential = index.credentialByToken.get(arrived.tokenSha256);
  if (credential === undefined) {
    return reject(schema.ResultCode.UNAUTHENTICATED);
  }
  const route = documentIndex.findRoute(index, arrived.path);
  if (route === undefined) {
    return reject(schema.ResultCode.UNKNOWN_PATH);
  }
  const limit = findLimit(state, arrived, credential.workspace, index, now);
  return (
    limit ?? {
      kind: 'admitted',
      request: buildRequest(state, arrived, { credential, route }, index, now),
    }
  );
}
