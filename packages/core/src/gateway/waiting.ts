/**
 * How requests wait for a service.
 *
 * Ranks: requests that can still be on time by urgency, then late ones by
 * urgency. A late answer still serves its caller, but it must not make another
 * one late. Load pattern: a burst of twice what the engines can do. Kept in order
 * of arrival, all requests would be served just after their time; told apart by
 * the expected wait, those that can be on time are.
 */
import * as drainRate from '../shared/drain-rate.js';
import * as firstDelay from './first-delay.js';
import type * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as overloads from './overload.js';
import * as waitQueue from './wait-queue.js';

/** Added to the rank of a late request; more urgencies than any deployment has. */
const LATE_RANK = 1024;
/**
 * Added to the rank of a request beyond the declared quota of its workspace that only
 * the tolerance lets in. Load pattern: a workspace sends a little more than its quota
 * while engines are nearly full. In line with the others, its surplus has requests of
 * workspaces within their quotas late: 0.802 of a calm day's worth is served, with the
 * surplus behind 0.828 (means of three days).
 */
const BEYOND_QUOTA_RANK = 512;
/** Prompt tokens that an engine reads in a millisecond, until its pace is known. */
const PROMPT_TOKENS_PER_MS = 40;
/** Time to a first token besides the prompt: network, batch, one step; milliseconds. */
const FIRST_TOKEN_MS = 25;
/**
 * Part of the time left that a wait may be expected to take. Above it too little
 * is left for the run itself.
 */
const HOLD_SHARE = 0.5;
/**
 * A rank of which nothing was sent for this time is stalled, milliseconds. An
 * engine ends a request every two hundred milliseconds or so; three such times
 * without a place mean that others take them all.
 */
const STALL_MS = 600;
/** How often a late request is looked at again, milliseconds. */
const CHECK_MS = 200;

/** Tells whether requests of a rank wait late. */
export function isLateRank(rank: number): boolean {
  return rank >= LATE_RANK;
}

/** Estimates the time from sending to the first token at an idle engine, milliseconds. */
export function estimateFirstMs(request: gatewayRequest.GatewayRequest): number {
  const prompt = request.arrived.tokens?.prompt ?? 0;
  return FIRST_TOKEN_MS + prompt / PROMPT_TOKENS_PER_MS;
}

/** Estimates the same at an engine as they are now, milliseconds. */
function estimateBusyFirstMs(
  { firstDelay: seen }: gatewayState.ServiceWork,
  request: gatewayRequest.GatewayRequest,
  now: number,
): number {
  return estimateFirstMs(request) + firstDelay.estimateExtraMs(seen, now);
}

/** Gets how fast the requests of a rank go. */
function getDrain(work: gatewayState.ServiceWork, rank: number): drainRate.DrainRate {
  const drain = work.drainByRank.get(rank) ?? drainRate.createDrainRate();
  work.drainByRank.set(rank, drain);
  return drain;
}

/**
 * Tells whether nothing of a rank has gone for a while though some waited.
 *
 * While more urgent requests take all places, the rate at which the rank went
 * before says nothing of its future.
 */
function isStalled(work: gatewayState.ServiceWork, rank: number, now: number): boolean {
  const first = waitQueue.findFirst(work.queue, rank);
  const lastStartMs = work.drainByRank.get(rank)?.lastStartMs ?? 0;
  return first !== undefined && now - Math.max(first.enteredMs, lastStartMs) > STALL_MS;
}

/**
 * Estimates how long a new request of a rank waits, milliseconds: for the work that
 * is sent before it. Load pattern: two workspaces send four fifths of a burst. By
 * the wait of the whole rank the others are turned away as often as these, though
 * they would be sent before them: 47 % of theirs were in time, against 54 %
 * (`npm run measure:gateway`, five seeds).
 */
function estimateWaitMs(
  work: gatewayState.ServiceWork,
  rank: number,
  workspace: string,
  now: number,
): number {
  if (isStalled(work, rank, now)) {
    return Infinity;
  }
  return [...waitQueue.countTokensBefore(work.queue, rank, workspace)].reduce(
    (sum, [other, tokens]) => sum + drainRate.estimateWaitMs(getDrain(work, other), tokens),
    0,
  );
}

/** Says how a request is to wait; undefined where it would wait in vain. */
function findPlaceInLine(
  work: gatewayState.ServiceWork,
  request: gatewayRequest.GatewayRequest,
  now: number,
): { rank: number; dueMs: number } | undefined {
  const onTimeRank = request.urgency + (request.isBeyondQuota ? BEYOND_QUOTA_RANK : 0);
  const firstMs = estimateBusyFirstMs(work, request, now);
  const lateMs = request.targetMs - firstMs;
  if (
    now < lateMs &&
    estimateWaitMs(work, onTimeRank, request.workspace, now) <= HOLD_SHARE * (lateMs - now)
  ) {
    return { rank: onTimeRank, dueMs: lateMs };
  }
  const rank = LATE_RANK + onTimeRank;
  const leftMs = request.leaveMs - firstMs - now;
  return leftMs <= 0 || estimateWaitMs(work, rank, request.workspace, now) > HOLD_SHARE * leftMs
    ? undefined
    : { rank, dueMs: now + Math.min(leftMs, CHECK_MS) };
}

/** Puts a request into the queue of its service; false where it would wait in vain. */
export function enqueueRequest(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): boolean {
  const work = gatewayState.getServiceWork(state, request.service);
  const place = findPlaceInLine(work, request, now);
  if (place === undefined) {
    return false;
  }
  const { serial, workspace, workTokens } = request;
  waitQueue.addItem(work.queue, { serial, workspace, workTokens, enteredMs: now, ...place });
  return true;
}

/** Takes a request that is not to be sent out of the queue. */
export function removeRequest(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): void {
  const { queue } = gatewayState.getServiceWork(state, request.service);
  waitQueue.removeItem(queue, request.serial);
}

/** Takes a request that is sent out of the queue. */
export function takeRequest(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): void {
  const work = gatewayState.getServiceWork(state, request.service);
  const item = waitQueue.takeItem(work.queue, request.serial);
  if (item !== undefined) {
    const { rank, workTokens, enteredMs } = item;
    drainRate.noteStart(getDrain(work, rank), workTokens, enteredMs, now);
    drainRate.noteStart(work.drain, workTokens, request.arrivedMs, now);
  }
}

/** Tells whether a request that waits late goes on waiting. */
function isHeldOn(
  work: gatewayState.ServiceWork,
  item: waitQueue.WaitItem,
  request: gatewayRequest.GatewayRequest,
  now: number,
): boolean {
  const isLate = isLateRank(item.rank);
  const leftMs = request.leaveMs - estimateBusyFirstMs(work, request, now) - now;
  if (!isLate || leftMs <= 0 || isStalled(work, item.rank, now)) {
    return false;
  }
  item.dueMs = now + Math.min(leftMs, CHECK_MS);
  return true;
}

/**
 * Moves requests that have become late behind those that have not, and lists
 * those that would go on waiting in vain.
 */
export function updateLate(
  state: gatewayState.GatewayState,
  service: string,
  now: number,
): gatewayRequest.GatewayRequest[] {
  const work = gatewayState.getServiceWork(state, service);
  return waitQueue.listDue(work.queue, now).flatMap((item) => {
    const request = state.requests.get(item.serial);
    if (request === undefined || isHeldOn(work, item, request, now)) {
      return [];
    }
    removeRequest(state, request);
    const isMoved = !isLateRank(item.rank) && enqueueRequest(state, request, now);
    return isMoved ? [] : [request];
  });
}

/** Draws when a caller that is turned away now should come back, milliseconds. */
export function drawRetryAfter(
  state: gatewayState.GatewayState,
  service: string,
  now: number,
): number {
  const { drain, queue, overload } = gatewayState.getServiceWork(state, service);
  const tokens = queue.items.reduce((sum, item) => sum + item.workTokens, 0);
  const drainMs = drainRate.estimateWaitMs(drain, tokens);
  overloads.noteRefusal(overload, now);
  return overloads.drawRetryAfter(overload, drainMs, state.drawRandom, now);
}
