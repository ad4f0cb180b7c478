/** Decides whether an arriving request is admitted. */
import * as schema from '@toucanproxy/schema';
import * as pendingAsks from './pending-asks.js';
import type * as configurationLease from './configuration-lease.js';
import * as deadlineStats from './deadline-stats.js';
import * as crashDetection from './crash-detection.js';
import * as configurationIndex from './configuration-index.js';
import * as configuration from './configuration.js';
import * as gatewayLoad from './gateway-load.js';
import * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as originLookups from './origin-lookups.js';
import * as peerCounts from './peer-counts.js';
import * as quotaLimit from './quota-limit.js';
import * as refusal from './refusal.js';
import * as regionBinding from './region-binding.js';
import * as retries from './retries.js';
import * as authorization from './authorization.js';
import * as unservableRequests from './unservable-requests.js';
import * as shutdownLimits from './shutdown-limits.js';
import * as streamOrigins from './stream-origins.js';
import * as streamVersions from './stream-versions.js';
import * as tokenQuota from './token-quota.js';

/** Estimated work of a request to a plain service, in tokens; only the ratios matter. */
const PLAIN_WORK_TOKENS = 500;
/** Number of prompt tokens that cost an engine as much as one response token. */
const PROMPT_TOKENS_PER_ANSWER_TOKEN = 19;
/**
 * Most work that a request counts for, response tokens. Callers that want no limit state a huge one;
 * with it, a single request would hold back all others of its workspace, and those queued behind it.
 */
const MAX_WORK_TOKENS = 65_536;
/** Time allowed for the response to reach the caller, milliseconds. */
const RESPONSE_TRANSIT_MS = 10;
/** Number of route urgencies that are distinguished within each workspace urgency. */
const ROUTE_URGENCIES = 8;
/** Request timeout if neither the caller nor the route specifies one, milliseconds. */
const DEFAULT_TIMEOUT_MS = 60_000;
/** Maximum number of routes with deadline statistics; limits memory use as routes change. */
const MAX_DEADLINE_STATS = 4096;

export type AdmissionResult =
  | { kind: 'admitted'; request: gatewayRequest.GatewayRequest }
  | { kind: 'refused'; refusal: refusal.Refusal };

/** Estimates the work of a request, in response tokens. */
function estimateWork(arrived: gatewayRequest.ArrivedRequest): number {
  const { tokens, answerGuess } = arrived;
  if (tokens === undefined) {
    return PLAIN_WORK_TOKENS;
  }
  const answer = Math.min(answerGuess ?? tokens.answer, tokens.answer);
  return Math.min(tokens.prompt / PROMPT_TOKENS_PER_ANSWER_TOKEN + answer, MAX_WORK_TOKENS);
}

/** Computes the tier of a request: workspace urgency first, then route urgency. */
export function rankUrgency({ route, workspace }: authorization.Authorization): number {
  const routeUrgency = Math.min(route.urgency, ROUTE_URGENCIES - 1);
  return (workspace?.urgency ?? 0) * ROUTE_URGENCIES + routeUrgency;
}

/** Returns whether requests of a route may run more than once. */
function isRepeatable(route: configuration.Route): boolean {
  return (
    route.kind === configuration.RouteKind.SAFE ||
    (route.kind === configuration.RouteKind.STREAM && route.resumable)
  );
}

/** Records a request's deadline; estimates how long its caller has been retrying, milliseconds. */
function estimateElapsedMs(
  { deadlineStatsByRoute }: gatewayState.GatewayState,
  routeName: string,
  workspace: string,
  deadlineMs: number | undefined,
): number {
  if (deadlineMs === undefined) {
    return 0;
  }
  if (deadlineStatsByRoute.size > MAX_DEADLINE_STATS) {
    deadlineStatsByRoute.clear();
  }
  const stats = deadlineStatsByRoute.get(routeName) ?? deadlineStats.createDeadlineStats();
  deadlineStatsByRoute.set(routeName, stats);
  deadlineStats.noteDeadline(stats, workspace, deadlineMs);
  return deadlineStats.estimateElapsedMs(stats, workspace, deadlineMs);
}

/** Creates the part of a request's state that its sends change. */
function createUnsentFields() {
  return {
    phase: gatewayRequest.RequestPhase.WAITING,
    cell: undefined,
    declinedCells: new Set<string>(),
    serverId: undefined,
    serverBornMs: 0,
    serverVersion: undefined,
    isIncarnationUnknown: false,
    streamVersion: undefined,
    sentMs: 0,
    sentWallMs: 0,
    isRateLimited: false,
    idleFirstMs: 0,
    aheadMs: 0,
    predictedFirstMs: 0,
    hasFirstEvent: false,
    hasBegun: false,
    firstEventMs: Infinity,
    soundMs: -Infinity,
    triedIds: new Set<string>(),
    sends: 0,
    runs: 0,
    mayHaveArrived: false,
    isTrial: false,
    hasRetryReserved: false,
    isBudgetSpent: false,
  };
}

/** Creates the state of a request that has the given authorization. */
function createRequest(
  state: gatewayState.GatewayState,
  arrived: gatewayRequest.ArrivedRequest,
  granted: authorization.Authorization,
  service: string,
  now: number,
): gatewayRequest.GatewayRequest {
  const { route, workspace } = granted;
  const workspaceName = workspace?.name ?? '';
  const elapsedMs = estimateElapsedMs(state, route.name, workspaceName, arrived.deadlineMs);
  const serial = state.nextSerial;
  state.nextSerial += 1;
  const callerMs = arrived.deadlineMs ?? DEFAULT_TIMEOUT_MS;
  const timeoutMs = Math.min(callerMs, route.timeoutMs || DEFAULT_TIMEOUT_MS);
  const repeatable = isRepeatable(route);
  const waitedMs = gatewayLoad.computeWaitedMs(arrived.unreadMs ?? 0, callerMs, repeatable);
  const arrivedMs = now - waitedMs;
  return {
    serial,
    arrived,
    route,
    service,
    workspace: workspaceName,
    regions: regionBinding.computeRegions(route, workspace),
    urgency: rankUrgency(granted),
    repeatable,
    workTokens: estimateWork(arrived),
    quotaCost: 0,
    isBeyondQuota: false,
    version: state.index?.configuration.version ?? 0,
    arrivedMs,
    isBelated: elapsedMs > route.targetMs,
    leaveMs: arrivedMs + Math.min(timeoutMs, route.patienceMs) - RESPONSE_TRANSIT_MS,
    targetMs: arrivedMs + route.targetMs - RESPONSE_TRANSIT_MS,
    giveUpMs: arrivedMs + Math.max(timeoutMs - RESPONSE_TRANSIT_MS, 0),
    ...createUnsentFields(),
  };
}

/** Charges the quota of a workspace; returns the refusal if the quota is spent. */
function applyQuota(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  quota: configuration.Quota | undefined,
  now: number,
): refusal.Refusal | undefined {
  if (quota === undefined || quota.perSecond <= 0) {
    return undefined;
  }
  const { tokens } = request.arrived;
  const cost = quotaLimit.computeCost(quota, tokens && tokens.prompt + tokens.answer);
  const { startedMs, isFirstStart } = state;
  const gateways = peerCounts.countSharers(state.peers, state.seeds);
  const share = gatewayState.computeQuotaShare(state, now);
  const fleet = { share, gateways, startedMs, isFirstStart };
  const { workspace } = request;
  const toleratedQuota = quotaLimit.applyTolerance(quota, state.bounds.quotaTolerance);
  const claim = { workspace, cost, urgency: request.route.urgency };
  const decision = tokenQuota.takeQuota(state.quotas, toleratedQuota, claim, fleet, now);
  if (decision.kind === 'beyond') {
    const quotaRefusal = refusal.buildRefusal(schema.ResultCode.QUOTA_SPENT, decision.retryAfterMs);
    return { ...quotaRefusal, quota: decision.snapshot };
  }
  request.quotaCost = cost;
  request.isBeyondQuota = decision.isBeyondDeclared;
  return undefined;
}

/** Returns the refusal of an authorized request that cannot be admitted now, if any. */
function findAdmissionRefusal(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): refusal.Refusal | undefined {
  return (
    shutdownLimits.findArrivalRefusal(state, request, now) ??
    unservableRequests.findUnservableRefusal(state, request, now) ??
    crashDetection.findArrivalRefusal(state, request, now)
  );
}

/** Returns what a caller says of the stream that it has a part of, on routes where it may resume. */
function findResumption({
  route,
  arrived,
}: gatewayRequest.GatewayRequest): gatewayRequest.StreamResumption | undefined {
  const isStream = route.kind === configuration.RouteKind.STREAM;
  return isStream && route.resumable ? arrived.resumption : undefined;
}

/** Asks for a slot, or first for the version that began the stream if it is not known here. */
function startRequest(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): void {
  const { firstAttemptId } = findResumption(request) ?? {};
  if (firstAttemptId === undefined) {
    pendingAsks.askPlace(state, request, now);
  } else if (request.streamVersion === undefined) {
    originLookups.startLookup(state, request, firstAttemptId, now);
  } else {
    state.origins.totals[streamOrigins.OriginSource.OWN] += 1;
    pendingAsks.askPlace(state, request, now);
  }
}

/** Binds a request that takes up a stream to the version that began it; returns a refusal if any. */
function applyResumption(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): refusal.Refusal | undefined {
  const resumption = findResumption(request);
  if (resumption === undefined) {
    return undefined;
  }
  const { firstAttemptId } = resumption;
  if (firstAttemptId === undefined || !streamOrigins.isRecordable(firstAttemptId)) {
    return originLookups.buildUnknownRefusal();
  }
  const software = streamOrigins.findOrigin(state.origins, firstAttemptId, now);
  return software === undefined || streamVersions.applyOrigin(request, software)
    ? undefined
    : refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER);
}

/** Admits or refuses an arriving request. */
export function admitRequest(
  state: gatewayState.GatewayState,
  arrived: gatewayRequest.ArrivedRequest,
  clocks: configurationLease.ClockReading,
): AdmissionResult {
  const now = clocks.steadyMs;
  const decision = authorization.checkAuthorization(state, arrived, clocks);
  if (decision.kind === 'refused') {
    return decision;
  }
  const { route, workspace } = decision.authorization;
  const claim = { urgency: rankUrgency(decision.authorization), targetMs: route.targetMs };
  const overloadRefusal = gatewayLoad.findOverloadRefusal(state.load, claim, state.drawRandom, now);
  if (overloadRefusal !== undefined) {
    return { kind: 'refused', refusal: overloadRefusal };
  }
  const service = configurationIndex.chooseService(route, state.drawRandom());
  if (service === undefined) {
    return {
      kind: 'refused',
      refusal: refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER),
    };
  }
  const request = createRequest(state, arrived, decision.authorization, service, now);
  const admissionRefusal =
    applyResumption(state, request, now) ??
    findAdmissionRefusal(state, request, now) ??
    applyQuota(state, request, workspace?.quota, now);
  if (admissionRefusal !== undefined) {
    return { kind: 'refused', refusal: admissionRefusal };
  }
  state.requests.set(request.serial, request);
  retries.noteAdmitted(state, request.service);
  startRequest(state, request, now);
  return { kind: 'admitted', request };
}
