/**
 * How requests wait in a cell.
 *
 * Ranks: requests that can still be on time by urgency, then late ones by
 * urgency. A late answer still serves its caller, but it must not make another
 * one late. Load pattern: a burst of twice what the engines can do. Kept in order
 * of arrival, all requests would be served just after their time; told apart by
 * the expected wait, those that can be on time are.
 */
import * as queueThroughput from '../shared/queue-throughput.js';
import * as overloads from '../shared/overload.js';
import type * as cells from './cell.js';
import * as firstDelay from './first-delay.js';
import type * as scheduledRequest from './scheduled-request.js';
import * as waitQueue from './wait-queue.js';

/** Added to the rank of a late request; more urgencies than any deployment has. */
const LATE_RANK = 1024;
/**
 * Added to the rank of a request beyond the declared quota of its workspace that only
 * the tolerance lets in. Load pattern: a workspace sends a little more than its quota
 * while engines are nearly full. In line with the others, its surplus would have requests
 * of workspaces within their quotas late.
 */
const BEYOND_QUOTA_RANK = 512;
/**
 * Added to the rank of a request whose caller has missed its target before: it goes after
 * the others of its urgency, who may still be on time, and before all less urgent ones.
 */
const BELATED_RANK = 0.5;
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
function isLateRank(rank: number): boolean {
  return rank >= LATE_RANK;
}

/** Estimates the time from sending to the first token at an idle engine, milliseconds. */
export function estimateFirstMs({ promptTokens }: scheduledRequest.ScheduledRequest): number {
  return FIRST_TOKEN_MS + promptTokens / PROMPT_TOKENS_PER_MS;
}

/** Estimates the same at an engine as they are now, milliseconds. */
function estimateBusyFirstMs(
  cell: cells.Cell,
  request: scheduledRequest.ScheduledRequest,
  now: number,
): number {
  return estimateFirstMs(request) + firstDelay.estimateExtraMs(cell.firstDelay, now);
}

/** Gets how fast the requests of a rank go. */
function getDrain(cell: cells.Cell, rank: number): queueThroughput.QueueThroughput {
  const drain = cell.drainByRank.get(rank) ?? queueThroughput.createQueueThroughput();
  cell.drainByRank.set(rank, drain);
  return drain;
}

/**
 * Tells whether nothing of a rank has gone for a while though some waited.
 *
 * While more urgent requests take all places, the rate at which the rank went
 * before says nothing of its future.
 */
function isStalled(cell: cells.Cell, rank: number, now: number): boolean {
  const first = waitQueue.findFirst(cell.queue, rank);
  const lastStartMs = cell.drainByRank.get(rank)?.lastStartMs ?? 0;
  return first !== undefined && now - Math.max(first.enteredMs, lastStartMs) > STALL_MS;
}

/**
 * Estimates how long a new request of a rank waits, milliseconds: for the work that
 * is sent before it. Load pattern: two workspaces send four fifths of a burst. By
 * the wait of the whole rank the others are turned away as often as these, though
 * they would be sent before them.
 */
function estimateWaitMs(cell: cells.Cell, rank: number, workspace: string, now: number): number {
  if (isStalled(cell, rank, now)) {
    return Infinity;
  }
  return [...waitQueue.countTokensBefore(cell.queue, rank, workspace)].reduce(
    (sum, [other, tokens]) => sum + queueThroughput.estimateWaitMs(getDrain(cell, other), tokens),
    0,
  );
}

/** Computes the rank of a request that does not wait late. */
function computeRank({
  urgency,
  isBelated,
  isBeyondQuota,
}: scheduledRequest.ScheduledRequest): number {
  return urgency + (isBelated ? BELATED_RANK : 0) + (isBeyondQuota ? BEYOND_QUOTA_RANK : 0);
}

/** Says how a request is to wait; undefined where it would wait in vain. */
function findPlaceInLine(
  cell: cells.Cell,
  request: scheduledRequest.ScheduledRequest,
  now: number,
): { rank: number; dueMs: number } | undefined {
  const onTimeRank = computeRank(request);
  const firstMs = estimateBusyFirstMs(cell, request, now);
  const lateMs = request.targetMs - firstMs;
  if (
    now < lateMs &&
    estimateWaitMs(cell, onTimeRank, request.workspace, now) <= HOLD_SHARE * (lateMs - now)
  ) {
    return { rank: onTimeRank, dueMs: lateMs };
  }
  const rank = LATE_RANK + onTimeRank;
  const leftMs = request.leaveMs - firstMs - now;
  return leftMs <= 0 || estimateWaitMs(cell, rank, request.workspace, now) > HOLD_SHARE * leftMs
    ? undefined
    : { rank, dueMs: now + Math.min(leftMs, CHECK_MS) };
}

/** Puts a request into the queue of its cell; false where it would wait in vain. */
export function enqueueRequest(
  cell: cells.Cell,
  request: scheduledRequest.ScheduledRequest,
  now: number,
): boolean {
  const place = findPlaceInLine(cell, request, now);
  if (place === undefined) {
    return false;
  }
  const { id, workspace, workTokens } = request;
  waitQueue.addItem(cell.queue, { serial: id, workspace, workTokens, enteredMs: now, ...place });
  return true;
}

/** Takes a request that gets a place out of the queue. */
export function takeRequest(
  cell: cells.Cell,
  request: scheduledRequest.ScheduledRequest,
  now: number,
): void {
  const item = waitQueue.takeItem(cell.queue, request.id);
  if (item !== undefined) {
    const { rank, workTokens, enteredMs } = item;
    queueThroughput.noteStart(getDrain(cell, rank), workTokens, enteredMs, now);
    queueThroughput.noteStart(cell.drain, workTokens, request.arrivedMs, now);
  }
}

/** Tells whether a request that waits late goes on waiting. */
function isHeldOn(
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
  item.dueMs = now + Math.min(leftMs, CHECK_MS);
  return true;
}

/**
 * Moves requests that have become late behind those that have not, and lists
 * those that would go on waiting in vain.
 */
export function updateLate(cell: cells.Cell, now: number): scheduledRequest.ScheduledRequest[] {
  return waitQueue.listDue(cell.queue, now).flatMap((item) => {
    const request = cell.requests.get(item.serial);
    if (request === undefined || isHeldOn(cell, item, request, now)) {
      return [];
    }
    waitQueue.removeItem(cell.queue, item.serial);
    const isMoved = !isLateRank(item.rank) && enqueueRequest(cell, request, now);
    return isMoved ? [] : [request];
  });
}

/** Draws when a caller that is turned away now should come back, milliseconds. */
export function drawRetryAfter(cell: cells.Cell, drawRandom: () => number, now: number): number {
  const tokens = cell.queue.items.reduce((sum, item) => sum + item.workTokens, 0);
  const drainMs = queueThroughput.estimateWaitMs(cell.drain, tokens);
  overloads.noteRefusal(cell.overload, now);
  return overloads.drawRetryAfter(cell.overload, drainMs, drawRandom, now);
}
