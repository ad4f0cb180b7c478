/**
 * Queues the waiting requests of a cell.
 *
 * Requests that can still meet their target come first, by urgency; late ones follow, by urgency.
 * A late response is still useful to its caller but must not make another one late. For example, in
 * a burst of twice the engines' capacity, all requests would be slightly late if they were served
 * in order of arrival. Separated by their expected wait, those that can be on time are on time.
 */
import * as queueThroughput from '../shared/queue-throughput.js';
import * as overloads from '../shared/overload.js';
import type * as cells from './cell.js';
import * as addedLatency from './added-latency.js';
import type * as scheduledRequest from './scheduled-request.js';
import type * as serverChoice from './server-choice.js';
import * as serverWork from './server-work.js';
import * as waitQueue from './wait-queue.js';

/** Added to the rank of a late request; larger than the number of urgencies of any deployment. */
const LATE_RANK = 1024;
/**
 * Added to the rank of a request that exceeds the declared quota of its workspace and was admitted
 * only by the quota tolerance. If engines are nearly full and a workspace slightly exceeds its
 * quota, its surplus would otherwise delay the requests of workspaces within their quotas.
 */
const BEYOND_QUOTA_RANK = 512;
/**
 * Added to the rank of a request whose caller has already missed its target. It goes after the
 * others of its urgency, which may still be on time, and before all less urgent ones.
 */
const MISSED_TARGET_RANK = 0.5;
/**
 * Maximum share of the remaining time that the expected wait may take. With a longer wait, too
 * little time would be left to run the request.
 */
const MAX_WAIT_SHARE = 0.5;
/**
 * A rank is stalled if none of its requests was sent for this time, milliseconds. An engine
 * completes a request about every two hundred milliseconds; if a rank gets no slot during three
 * such periods, other ranks take all of them.
 */
const STALL_MS = 600;
/** Interval at which a late request is checked again, milliseconds. */
const CHECK_INTERVAL_MS = 200;

/** Reports whether the requests of a rank are late. */
function isLateRank(rank: number): boolean {
  return rank >= LATE_RANK;
}

/** Finds the urgency of the requests of a rank. */
export function findUrgency(rank: number): number {
  return Math.floor(rank) % BEYOND_QUOTA_RANK;
}

/** Estimates the time from sending to the first token at an idle engine, milliseconds. */
export function estimateIdleFirstMs(
  { promptSpeed }: cells.Cell,
  { promptTokens }: scheduledRequest.ScheduledRequest,
): number {
  return serverWork.estimateIdleFirstMs(promptSpeed, promptTokens);
}

/** Estimates the time from sending to the first token at a backend server, milliseconds. */
export function estimateFirstMs(
  cell: cells.Cell,
  request: scheduledRequest.ScheduledRequest,
  { slowness, aheadMs, addedLatencyMs }: serverChoice.Candidate,
): number {
  return estimateIdleFirstMs(cell, request) * slowness + aheadMs + addedLatencyMs;
}

/** Estimates the time from sending to the first token at the present load, milliseconds. */
function estimateBusyFirstMs(
  cell: cells.Cell,
  request: scheduledRequest.ScheduledRequest,
  now: number,
): number {
  const addedMs = addedLatency.estimateAddedLatencyMs(cell.addedLatency, now);
  return serverWork.estimateTypicalFirstMs(cell, request.promptTokens, now) + addedMs;
}

/** Returns the throughput of a rank; creates the record if there is none. */
function getThroughput(cell: cells.Cell, rank: number): queueThroughput.QueueThroughput {
  const throughput = cell.throughputByRank.get(rank) ?? queueThroughput.createQueueThroughput();
  cell.throughputByRank.set(rank, throughput);
  return throughput;
}

/**
 * Reports whether requests of a rank have waited for a while and none was sent.
 *
 * While more urgent requests take all slots, the earlier throughput of the rank does not predict
 * its future.
 */
function isStalled(cell: cells.Cell, rank: number, now: number): boolean {
  const first = waitQueue.findFirst(cell.queue, rank);
  const lastStartMs = cell.throughputByRank.get(rank)?.lastStartMs ?? 0;
  return first !== undefined && now - Math.max(first.enteredMs, lastStartMs) > STALL_MS;
}

/**
 * Estimates how long a new request of a rank waits for the work that is sent before it,
 * milliseconds.
 *
 * Only work ahead of the request's workspace counts. If two workspaces cause four fifths of a burst
 * and the wait of the whole rank were used, requests of the others would be refused just as often,
 * although the queue would send them earlier.
 */
function estimateWaitMs(cell: cells.Cell, rank: number, workspace: string, now: number): number {
  if (isStalled(cell, rank, now)) {
    return Infinity;
  }
  return [...waitQueue.countTokensBefore(cell.queue, rank, workspace)].reduce(
    (sum, [other, tokens]) =>
      sum + queueThroughput.estimateWaitMs(getThroughput(cell, other), tokens),
    0,
  );
}

/** Computes the rank of a request that is not late. */
function computeRank({
  urgency,
  isBelated,
  isBeyondQuota,
}: scheduledRequest.ScheduledRequest): number {
  return urgency + (isBelated ? MISSED_TARGET_RANK : 0) + (isBeyondQuota ? BEYOND_QUOTA_RANK : 0);
}

/** Finds the rank and due time of a request; undefined if it could not be served in time. */
function findQueuePosition(
  cell: cells.Cell,
  request: scheduledRequest.ScheduledRequest,
  now: number,
): { rank: number; dueMs: number } | undefined {
  const onTimeRank = computeRank(request);
  const firstMs = estimateBusyFirstMs(cell, request, now);
  const latestStartMs = request.targetMs - firstMs;
  if (
    now < latestStartMs &&
    estimateWaitMs(cell, onTimeRank, request.workspace, now) <=
      MAX_WAIT_SHARE * (latestStartMs - now)
  ) {
    return { rank: onTimeRank, dueMs: latestStartMs };
  }
  const rank = LATE_RANK + onTimeRank;
  const leftMs = request.leaveMs - firstMs - now;
  return leftMs <= 0 || estimateWaitMs(cell, rank, request.workspace, now) > MAX_WAIT_SHARE * leftMs
    ? undefined
    : { rank, dueMs: now + Math.min(leftMs, CHECK_INTERVAL_MS) };
}

/** Adds a request to the queue of its cell; returns false if it could not be served in time. */
export function enqueueRequest(
  cell: cells.Cell,
  request: scheduledRequest.ScheduledRequest,
  now: number,
): boolean {
  const place = findQueuePosition(cell, request, now);
  if (place === undefined) {
    return false;
  }
  const { id, workspace, share, workTokens } = request;
  const item = { serial: id, workspace, share, workTokens, enteredMs: now };
  waitQueue.addItem(cell.queue, { ...item, ...place });
  cell.lateReturns.queued += Number(request.isBelated && isLateRank(place.rank));
  return true;
}

/** Removes a request that was granted a slot from the queue and updates the throughput. */
export function takeRequest(
  cell: cells.Cell,
  request: scheduledRequest.ScheduledRequest,
  now: number,
): void {
  const item = waitQueue.takeItem(cell.queue, request.id);
  if (item !== undefined) {
    const { rank, workTokens, enteredMs } = item;
    cell.lateReturns.sent += Number(request.isBelated && isLateRank(rank));
    queueThroughput.noteStart(getThroughput(cell, rank), workTokens, enteredMs, now);
    queueThroughput.noteStart(cell.throughput, workTokens, request.arrivedMs, now);
  }
}

/** Reports whether a late request may continue to wait; if so, schedules its next check. */
function isKeptWaiting(
  cell: cells.Cell,
  item: waitQueue.WaitItem,
  request: scheduledRequest.ScheduledRequest,
  now: number,
): boolean {
  const isLate = isLateRank(item.rank);
  const leftMs = request.leaveMs - estimateBusyFirstMs(cell, request, now) - now;
  if (!isLate || leftMs <= 0 || isStalled(cell, item.rank, now)) {
    return false;
  }
  item.dueMs = now + Math.min(leftMs, CHECK_INTERVAL_MS);
  return true;
}

/**
 * Moves requests that have become late behind those that are not, and removes and returns those
 * that can no longer be served in time.
 */
export function updateLateRequests(
  cell: cells.Cell,
  now: number,
): scheduledRequest.ScheduledRequest[] {
  return waitQueue.listDue(cell.queue, now).flatMap((item) => {
    const request = cell.requests.get(item.serial);
    if (request === undefined || isKeptWaiting(cell, item, request, now)) {
      return [];
    }
    waitQueue.removeItem(cell.queue, item.serial);
    const isLate = isLateRank(item.rank);
    const isMoved = !isLate && enqueueRequest(cell, request, now);
    cell.lateReturns.refused += Number(request.isBelated && isLate);
    return isMoved ? [] : [request];
  });
}

/** Records a refusal and draws the delay after which the caller should retry, milliseconds. */
export function drawRetryAfter(cell: cells.Cell, drawRandom: () => number, now: number): number {
  const tokens = cell.queue.items.reduce((sum, item) => sum + item.workTokens, 0);
  const drainMs = queueThroughput.estimateWaitMs(cell.throughput, tokens);
  overloads.noteRefusal(cell.overload, now);
  return overloads.drawRetryAfter(cell.overload, drainMs, drawRandom, now);
}
