/** Decides whether an arrived request is taken in. */
import * as schema from '@toucanproxy/schema';
import * as retryBudget from '../shared/retry-budget.js';
import * as pendingAsks from './pending-asks.js';
import type * as configurationLease from './configuration-lease.js';
import * as deadlineStats from './deadline-stats.js';
import * as crashWatch from './crash-watch.js';
import * as configurationIndex from './configuration-index.js';
import * as configuration from './configuration.js';
import * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as peerView from './peer-view.js';
import * as quotaLimit from './quota-limit.js';
import * as refusal from './refusal.js';
import * as regionBinding from './region-binding.js';
import * as rights from './rights.js';
import * as unservableRequests from './unservable-requests.js';
import * as tokenQuota from './token-quota.js';

/** Work of a request of a plain service, in tokens; only ratios matter. */
const PLAIN_WORK_TOKENS = 500;
/** Prompt tokens that cost an engine as much as one token of an answer. */
const PROMPT_TOKENS_PER_ANSWER_TOKEN = 19;
/** Time that the answer needs on its way, milliseconds. */
const WAY_MS = 10;
/** Urgencies of a route told apart within one of a workspace. */
const ROUTE_URGENCIES = 8;
/** Time that a caller waits where neither it nor its route says, milliseconds. */
const DEFAULT_TIMEOUT_MS = 60_000;
/** After this time without a configuration's answer a stopping gateway refuses, ms. */
const SHUTDOWN_SERVE_MS = 2500;
/** Routes whose deadlines are remembered; bounds the memory as routes come and go. */
const MAX_USUAL_DEADLINES = 4096;

export type AdmissionResult =
  | { kind: 'admitted'; request: gatewayRequest.GatewayRequest }
  | { kind: 'refused'; refusal: refusal.Refusal };

/** Estimates the work of a request, in tokens of an answer. */
function estimateWork(arrived: gatewayRequest.ArrivedRequest): number {
  const { tokens, answerGuess } = arrived;
  if (tokens === undefined) {
    return PLAIN_WORK_TOKENS;
  }
  const answer = Math.min(answerGuess ?? tokens.answer, tokens.answer);
  return tokens.prompt / PROMPT_TOKENS_PER_ANSWER_TOKEN + answer;
}

/** Ranks a request: the urgency of its workspace goes before that of its route. */
function rankUrgency({ route, workspace }: rights.Rights): number {
  const ofRoute = Math.min(route.urgency, ROUTE_URGENCIES - 1);
  return (workspace?.urgency ?? 0) * ROUTE_URGENCIES + ofRoute;
}

/** Tells whether requests of a route may run more than once. */
function isRepeatable(route: configuration.Route): boolean {
  return (
    route.kind === configuration.RouteKind.SAFE ||
    (route.kind === configuration.RouteKind.STREAM && route.resumable)
  );
}

/** Estimates how long the caller of a request has been trying, milliseconds. */
function estimateTriedMs(
  { usualDeadlines }: gatewayState.GatewayState,
  routeName: string,
  workspace: string,
  deadlineMs: number | undefined,
): number {
  if (deadlineMs === undefined) {
    return 0;
  }
  if (usualDeadlines.size > MAX_USUAL_DEADLINES) {
    usualDeadlines.clear();
  }
  const usual = usualDeadlines.get(routeName) ?? deadlineStats.createUsualDeadline();
  usualDeadlines.set(routeName, usual);
  deadlineStats.noteDeadline(usual, workspace, deadlineMs);
  return deadlineStats.estimateTriedMs(usual, workspace, deadlineMs);
}

/** Makes the record of a request that has the given rights. */
function makeRequest(
  state: gatewayState.GatewayState,
  arrived: gatewayRequest.ArrivedRequest,
  granted: rights.Rights,
  service: string,
  now: number,
): gatewayRequest.GatewayRequest {
  const { route, workspace } = granted;
  const workspaceName = workspace?.name ?? '';
  const triedMs = estimateTriedMs(state, route.name, workspaceName, arrived.deadlineMs);
  const serial = state.nextSerial;
  state.nextSerial += 1;
  const timeoutMs = Math.min(
    arrived.deadlineMs ?? DEFAULT_TIMEOUT_MS,
    route.timeoutMs || DEFAULT_TIMEOUT_MS,
  );
  return {
    serial,
    arrived,
    route,
    service,
    workspace: workspaceName,
    regions: regionBinding.computeRegions(route, workspace),
    urgency: rankUrgency(granted),
    repeatable: isRepeatable(route),
    workTokens: estimateWork(arrived),
    quotaCost: 0,
    isBeyondQuota: false,
    version: state.index?.configuration.version ?? 0,
    arrivedMs: now,
    isBelated: triedMs > route.targetMs,
    leaveMs: now + Math.min(timeoutMs, route.patienceMs) - WAY_MS,
    targetMs: now + route.targetMs - WAY_MS,
    giveUpMs: now + Math.max(timeoutMs - WAY_MS, 0),
    phase: gatewayRequest.RequestPhase.WAITING,
    cell: undefined,
    declinedCells: new Set(),
    serverId: undefined,
    serverBornMs: 0,
    sentMs: 0,
    sentWallMs: 0,
    isRateLimited: false,
    idleFirstMs: 0,
    triedIds: new Set(),
    sends: 0,
    runs: 0,
  };
}

/** Charges the quota of a workspace; gives the refusal where it is spent. */
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
  const gateways = peerView.countGateways(state.peers);
  const { startedMs } = state;
  const fleet = { share: gatewayState.computeShare(state, now), gateways, startedMs };
  const { workspace } = request;
  const widened = quotaLimit.raiseQuota(quota, state.bounds.quotaTolerance);
  const claim = { workspace, cost, urgency: request.route.urgency };
  const decision = tokenQuota.takeQuota(state.quotas, widened, claim, fleet, now);
  if (decision.kind === 'beyond') {
    const told = refusal.buildRefusal(schema.ResultCode.QUOTA_SPENT, decision.retryAfterMs);
    return { ...told, quota: decision.reading };
  }
  request.quotaCost = cost;
  request.isBeyondQuota = decision.isBeyondDeclared;
  return undefined;
}

/** Finds why a request with good rights is not taken in now. */
function findLimit(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): refusal.Refusal | undefined {
  if (state.shutdownMs > 0 && now - state.shutdownMs > SHUTDOWN_SERVE_MS) {
    return refusal.buildRefusal(schema.ResultCode.SHUTTING_DOWN, 0);
  }
  if (crashWatch.isContentRefused(state, request.arrived.hashContent)) {
    return refusal.buildRefusal(schema.ResultCode.CONTENT_SUSPENDED);
  }
  return unservableRequests.findUnservableRefusal(state, request, now);
}

/** Takes an arrived request in, or refuses it. */
export function admitRequest(
  state: gatewayState.GatewayState,
  arrived: gatewayRequest.ArrivedRequest,
  clocks: configurationLease.ClockReading,
): AdmissionResult {
  const now = clocks.steadyMs;
  const decision = rights.findRights(state, arrived, clocks);
  if (decision.kind === 'refused') {
    return decision;
  }
  const { route, workspace } = decision.rights;
  const service = configurationIndex.chooseService(route, state.drawRandom());
  if (service === undefined) {
    return {
      kind: 'refused',
      refusal: refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER),
    };
  }
  const request = makeRequest(state, arrived, decision.rights, service, now);
  const limit = findLimit(state, request, now) ?? applyQuota(state, request, workspace?.quota, now);
  if (limit !== undefined) {
    return { kind: 'refused', refusal: limit };
  }
  state.requests.set(request.serial, request);
  retryBudget.noteFirstAttempt(gatewayState.getServiceWork(state, service).retries, now);
  pendingAsks.askPlace(state, request, now);
  return { kind: 'admitted', request };
}
