/** Sends requests that were granted a place, and refuses those that get none. */
import * as schema from '@toucanproxy/schema';
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as retryBudget from '../shared/retry-budget.js';
import * as scheduler from '../scheduler/index.js';
import * as askMessages from './ask-messages.js';
import * as pendingAsks from './pending-asks.js';
import * as serverEntries from './server-entries.js';
import type * as configurationLease from './configuration-lease.js';
import * as cellServers from './cell-servers.js';
import * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as peerView from './peer-view.js';
import * as scheduleReplies from './schedule-replies.js';
import * as refusal from './refusal.js';
import * as regionBinding from './region-binding.js';
import * as requestEnd from './request-end.js';
import * as rights from './rights.js';
import * as serverAdmission from './server-admission.js';
import * as unservableRequests from './unservable-requests.js';

export type Assignment =
  | {
      kind: 'send';
      request: gatewayRequest.GatewayRequest;
      server: backendServerEntry.BackendServerEntry;
      /** Address of the gateway that granted the place. */
      scheduler: string;
    }
  | { kind: 'refuse'; request: gatewayRequest.GatewayRequest; refusal: refusal.Refusal }
  /** Its place could not be used; it waits on. */
  | {
      kind: 'waitOn';
      request: gatewayRequest.GatewayRequest;
      serverId: string;
      reason: serverAdmission.UnusableReason;
    };

/** A message to another gateway. */
export type OutgoingMessage =
  | { kind: 'ask'; to: string; ask: schema.ScheduleAsk }
  | { kind: 'reply'; to: string; reply: schema.ScheduleReply };

/** What follows from the present state. */
export type Progress = {
  assignments: Assignment[];
  outgoing: OutgoingMessage[];
  /** What this gateway's own scheduler decided. */
  notes: scheduler.SchedulingDecision[];
};

/**
 * Passes between this gateway and its own scheduler in one call: a grant that cannot be
 * used is told back and its place given out again. Bounded, so that a place that none of
 * the waiting requests can use does not go round for ever.
 */
const MAX_PASSES = 4;
/** Cells that a request asks before it is refused: the emptier of two may be full. */
const MAX_CELLS_ASKED = 2;

/**
 * Checks a waiting request against the configuration in force, and against the
 * age of what is known. It may have waited through a change or a freeze.
 */
function findObstacle(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  clocks: configurationLease.ClockReading,
): refusal.Refusal | undefined {
  const decision = rights.findRights(state, request.arrived, clocks);
  if (decision.kind === 'refused') {
    return decision.refusal;
  }
  const version = state.index?.configuration.version ?? 0;
  const { route, workspace } = decision.rights;
  request.regions = regionBinding.computeRegions(route, workspace);
  const allowed = route.targets.some(
    (target) => target.service === request.service && target.weight > 0,
  );
  request.version = version;
  return allowed
    ? undefined
    : refusal.buildRefusal(schema.ResultCode.NO_BACKEND_SERVER, refusal.ELSEWHERE_RETRY_AFTER_MS);
}

/** Sends a request to the place that it was granted. */
function applyGranted(
  state: gatewayState.GatewayState,
  granted: Extract<scheduleReplies.ReplyOutcome, { kind: 'granted' }>,
  clocks: configurationLease.ClockReading,
): Assignment[] {
  const { request, serverId, idleFirstMs, entry, isRateLimited } = granted;
  const now = clocks.steadyMs;
  const obstacle = findObstacle(state, request, clocks);
  if (obstacle !== undefined) {
    state.schedulingTotals.grantsUnused += 1;
    pendingAsks.markLinkDirty(state, serverId, request.service);
    const told = requestEnd.refuseWaiting(state, request, obstacle);
    return [{ kind: 'refuse', request, refusal: told }];
  }
  if (entry !== undefined) {
    serverEntries.applyGrantedEntry(state.servers, entry, now);
  }
  const found = serverAdmission.admitToServer(state, request, serverId, now);
  if (found.kind === 'unusable') {
    state.schedulingTotals.grantsUnused += 1;
    request.triedIds.add(serverId);
    pendingAsks.markLinkDirty(state, serverId, request.service);
    pendingAsks.askPlaceLater(state, request, now);
    return [{ kind: 'waitOn', request, serverId, reason: found.reason }];
  }
  request.phase = gatewayRequest.RequestPhase.SENT;
  request.serverId = serverId;
  request.serverBornMs = found.server.bornMs;
  request.sentMs = now;
  request.sentWallMs = clocks.wallMs;
  request.sends += 1;
  request.idleFirstMs = idleFirstMs;
  request.isRateLimited = isRateLimited;
  gatewayState.addInFlight(state, serverId, 1);
  state.schedulingTotals.grantsUsed += 1;
  return [{ kind: 'send', request, server: found.server, scheduler: granted.scheduler }];
}

/** Asks another cell for a request that one has declined, or refuses it. */
function applyDeclined(
  state: gatewayState.GatewayState,
  declined: Extract<scheduleReplies.ReplyOutcome, { kind: 'declined' }>,
  now: number,
): Assignment[] {
  const { request, isOnArrival, retryAfterMs } = declined;
  if (request.cell !== undefined && isOnArrival) {
    request.declinedCells.add(request.cell);
  }
  const mayAskAgain = isOnArrival && request.declinedCells.size < MAX_CELLS_ASKED;
  if (mayAskAgain && pendingAsks.askPlace(state, request, now)) {
    return [];
  }
  const { SHED, DEADLINE_UNREACHABLE } = schema.ResultCode;
  const notRun = refusal.buildRefusal(isOnArrival ? SHED : DEADLINE_UNREACHABLE, retryAfterMs);
  const told = requestEnd.refuseWaiting(state, request, notRun);
  return [{ kind: 'refuse', request, refusal: told }];
}

/** Takes in what a scheduler answers. */
export function applyReply(
  state: gatewayState.GatewayState,
  reply: schema.ScheduleReply,
  clocks: configurationLease.ClockReading,
): Assignment[] {
  return scheduleReplies
    .applyReply(state, reply, clocks.steadyMs)
    .flatMap((answer) =>
      answer.kind === 'granted'
        ? applyGranted(state, answer, clocks)
        : applyDeclined(state, answer, clocks.steadyMs),
    );
}

/** Asks schedulers once, and lets this gateway's own one decide. */
function passOnce(
  state: gatewayState.GatewayState,
  clocks: configurationLease.ClockReading,
  progress: Progress,
): boolean {
  const now = clocks.steadyMs;
  const findServers = (cellName: string) => cellServers.findCellServers(state, cellName, now);
  askMessages.collectAsks(state, now).forEach(({ to, ask }) => {
    if (to === state.address) {
      scheduler.receiveAsk(state.scheduler, ask, now);
    } else {
      progress.outgoing.push({ kind: 'ask', to, ask });
    }
  });
  progress.notes.push(...scheduler.scheduleRequests(state.scheduler, findServers, now));
  const replies = scheduler.collectReplies(state.scheduler, findServers, now);
  const own = replies.filter(({ to }) => to === state.address);
  replies
    .filter(({ to }) => to !== state.address)
    .forEach(({ to, reply }) => progress.outgoing.push({ kind: 'reply', to, reply }));
  progress.assignments.push(...own.flatMap(({ reply }) => applyReply(state, reply, clocks)));
  return own.some(({ reply }) => reply.grants.length + reply.refusals.length > 0);
}

/** Does what can be done now: asks for places, schedules, and takes in own answers. */
export function advance(
  state: gatewayState.GatewayState,
  clocks: configurationLease.ClockReading,
): Progress {
  const progress: Progress = { assignments: [], outgoing: [], notes: [] };
  progress.assignments.push(
    ...unservableRequests
      .refuseUnservable(state, clocks.steadyMs)
      .map((one) => ({ kind: 'refuse', ...one }) as const),
  );
  let passes = 0;
  let isMoving = true;
  while (isMoving && passes < MAX_PASSES) {
    isMoving = passOnce(state, clocks, progress);
    passes += 1;
  }
  return progress;
}

/** Takes one repeat from the budget that all gateways share. */
export function takeRetry(state: gatewayState.GatewayState, service: string, now: number): boolean {
  const { retryPercent, retryExtra } = state.bounds;
  const floor = retryExtra / peerView.countGateways(state.peers);
  const { retries } = gatewayState.getServiceWork(state, service);
  return retryBudget.takeRetry(retries, retryPercent, now, floor);
}
