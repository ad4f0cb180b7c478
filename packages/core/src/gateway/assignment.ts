/** Assigns requests to the slots that they were granted, and refuses those that get none. */
import * as schema from '@toucanproxy/schema';
import type * as backendServerEntry from '../shared/backend-server-entry.js';
import * as scheduler from '../scheduler/index.js';
import * as askMessages from './ask-messages.js';
import * as pendingAsks from './pending-asks.js';
import * as promptParts from './prompt-parts.js';
import * as serverEntries from './server-entries.js';
import type * as configurationLease from './configuration-lease.js';
import * as crashDetection from './crash-detection.js';
import * as cellServers from './cell-servers.js';
import * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as lostRunMessages from './lost-run-messages.js';
import * as originLookups from './origin-lookups.js';
import type * as outgoingMessage from './outgoing-message.js';
import * as recentUse from './recent-use.js';
import * as scheduleReplies from './schedule-replies.js';
import * as refusal from './refusal.js';
import * as regionBinding from './region-binding.js';
import * as requestEnd from './request-end.js';
import * as retries from './retries.js';
import * as authorization from './authorization.js';
import * as serverAdmission from './server-admission.js';
import * as shutdownLimits from './shutdown-limits.js';
import * as unservableRequests from './unservable-requests.js';

export type Assignment =
  | {
      kind: 'send';
      request: gatewayRequest.GatewayRequest;
      server: backendServerEntry.BackendServerEntry;
      /** Address of the gateway that granted the slot. */
      scheduler: string;
    }
  | {
      kind: 'refuse';
      request: gatewayRequest.GatewayRequest;
      refusal: refusal.Refusal;
      /** The request ends because the gateway is shutting down; false if absent. */
      isShutdown?: boolean;
    }
  /** The granted slot could not be used; the request keeps waiting. */
  | {
      kind: 'waitOn';
      request: gatewayRequest.GatewayRequest;
      serverId: string;
      reason: serverAdmission.UnusableReason;
    };

/** Results of one call of `advance`. */
export type AdvanceResult = {
  assignments: Assignment[];
  outgoing: outgoingMessage.OutgoingMessage[];
  /** Decisions of this gateway's own scheduler, for the log. */
  notes: scheduler.SchedulingDecision[];
};

/**
 * Maximum number of exchanges between this gateway and its own scheduler in one call of `advance`.
 * A grant that cannot be used is returned, and its slot is granted again. Without the limit, a
 * slot that none of the waiting requests can use would be granted and returned forever.
 */
const MAX_ROUNDS = 4;
/** Maximum number of cells asked for one request: the less loaded of the two drawn may be full. */
const MAX_CELLS_ASKED = 2;

/**
 * Checks a waiting request against the active configuration and the lease on it. While it
 * waited, the configuration may have changed or the process may have been suspended.
 */
function findRefusal(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  clocks: configurationLease.ClockReading,
): refusal.Refusal | undefined {
  const decision = authorization.checkAuthorization(state, request.arrived, clocks);
  if (decision.kind === 'refused') {
    return decision.refusal;
  }
  const version = state.index?.configuration.version ?? 0;
  const { route, workspace } = decision.authorization;
  request.regions = regionBinding.computeRegions(route, workspace);
  const allowed = route.targets.some(
    (target) => target.service === request.service && target.weight > 0,
  );
  request.version = version;
  return allowed
    ? undefined
    : refusal.buildRefusal(
        schema.ResultCode.NO_BACKEND_SERVER,
        refusal.OTHER_GATEWAY_RETRY_AFTER_MS,
      );
}

/** Assigns a request to the slot that it was granted, if that is still allowed. */
function applyGranted(
  state: gatewayState.GatewayState,
  granted: Extract<scheduleReplies.ReplyOutcome, { kind: 'granted' }>,
  clocks: configurationLease.ClockReading,
): Assignment[] {
  const { request, serverId, idleFirstMs, entry, isRateLimited } = granted;
  const now = clocks.steadyMs;
  const notRunRefusal =
    findRefusal(state, request, clocks) ??
    crashDetection.findSuspension(state, request, now) ??
    shutdownLimits.findSendRefusal(state, request, now);
  if (notRunRefusal !== undefined) {
    state.schedulingTotals.grantsUnused += 1;
    pendingAsks.markLinkDirty(state, serverId, request.service);
    const finalRefusal = requestEnd.refuseWaiting(state, request, notRunRefusal);
    const isShutdown = notRunRefusal.code === schema.ResultCode.SHUTTING_DOWN;
    return [{ kind: 'refuse', request, refusal: finalRefusal, isShutdown }];
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
  request.serverVersion = found.server.softwareVersion;
  request.isIncarnationUnknown = false;
  request.sentMs = now;
  request.sentWallMs = clocks.wallMs;
  promptParts.noteSent(state, request, now);
  request.sends += 1;
  request.idleFirstMs = idleFirstMs;
  request.aheadMs = granted.aheadMs;
  request.predictedFirstMs = granted.predictedFirstMs;
  request.hasFirstEvent = false;
  request.firstEventMs = Infinity;
  request.isRateLimited = isRateLimited;
  retries.noteSent(state, request);
  gatewayState.addInFlight(state, serverId, 1);
  const { use } = gatewayState.getServiceState(state, request.service);
  recentUse.noteSent(use, request, now);
  state.schedulingTotals.grantsUsed += 1;
  return [{ kind: 'send', request, server: found.server, scheduler: granted.scheduler }];
}

/** Asks another cell for a slot for a request that a cell has declined, or refuses the request. */
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
  const finalRefusal = requestEnd.refuseWaiting(state, request, notRun);
  return [{ kind: 'refuse', request, refusal: finalRefusal }];
}

/** Applies the reply of a scheduler. */
export function applyReply(
  state: gatewayState.GatewayState,
  reply: schema.ScheduleReply,
  clocks: configurationLease.ClockReading,
): Assignment[] {
  return scheduleReplies
    .applyReply(state, reply, clocks.steadyMs)
    .flatMap((outcome) =>
      outcome.kind === 'granted'
        ? applyGranted(state, outcome, clocks)
        : applyDeclined(state, outcome, clocks.steadyMs),
    );
}

/**
 * Collects asks, runs this gateway's own scheduler and applies its replies. Returns whether that
 * scheduler granted or declined anything, so that another round may be useful.
 */
function runSchedulingRound(
  state: gatewayState.GatewayState,
  clocks: configurationLease.ClockReading,
  result: AdvanceResult,
): boolean {
  const now = clocks.steadyMs;
  const findServers = (cellName: string) => cellServers.findCellServers(state, cellName, now);
  askMessages.collectAsks(state, now).forEach(({ to, ask }) => {
    if (to === state.address) {
      scheduler.receiveAsk(state.scheduler, ask, now);
    } else {
      result.outgoing.push({ kind: 'ask', to, ask });
    }
  });
  result.notes.push(...scheduler.scheduleRequests(state.scheduler, findServers, now));
  const replies = scheduler.collectReplies(state.scheduler, findServers, now);
  const own = replies.filter(({ to }) => to === state.address);
  replies
    .filter(({ to }) => to !== state.address)
    .forEach(({ to, reply }) => result.outgoing.push({ kind: 'reply', to, reply }));
  result.assignments.push(...own.flatMap(({ reply }) => applyReply(state, reply, clocks)));
  return own.some(({ reply }) => reply.grants.length + reply.refusals.length > 0);
}

/** Does all that is possible now: refuses unservable requests, asks for slots and schedules. */
export function advance(
  state: gatewayState.GatewayState,
  clocks: configurationLease.ClockReading,
): AdvanceResult {
  const lookedUp = originLookups.advanceLookups(state, clocks.steadyMs);
  const unservable = unservableRequests.refuseUnservable(state, clocks.steadyMs);
  const late = shutdownLimits
    .refuseLate(state, clocks.steadyMs)
    .map((one) => ({ ...one, isShutdown: true }));
  const refused = [...lookedUp.refused, ...unservable, ...late];
  const result: AdvanceResult = {
    assignments: refused.map((one) => ({ kind: 'refuse', ...one })),
    outgoing: lookedUp.outgoing,
    notes: [],
  };
  let rounds = 0;
  let hasDecisions = true;
  while (hasDecisions && rounds < MAX_ROUNDS) {
    hasDecisions = runSchedulingRound(state, clocks, result);
    rounds += 1;
  }
  result.outgoing.push(...lostRunMessages.collectLostRuns(state, clocks.steadyMs));
  return result;
}

/** Records that an assigned request is being sent, which may be later than its assignment. */
export function noteSending(
  request: gatewayRequest.GatewayRequest,
  { steadyMs, wallMs }: configurationLease.ClockReading,
): void {
  request.sentMs = steadyMs;
  request.sentWallMs = wallMs;
}
