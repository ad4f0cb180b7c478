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
import type * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as waitQueue from './wait-queue.js';

/** Added to the rank of a late request; more urgencies than any deployment has. */
const LATE_RANK = 1024;
/** Prompt tokens that an engine reads in a millisecond, until its pace is known. */
const PROMPT_TOKENS_PER_MS = 40;
/** Time to a first token besides the prompt: network, batch, one step; milliseconds. */
const FIRST_TOKEN_MS = 25;
/**
 * Part of the time left that a wait may be expected to take. Above it too little
 * is left for the run itself.
 */
const HOLD_SHARE = 0.5;

/** Estimates the time from sending to the first token at an idle engine, milliseconds. */
export function estimateFirstMs(request: gatewayRequest.GatewayRequest): number {
  const prompt = request.arrived.tokens?.prompt ?? 0;
  return FIRST_TOKEN_MS + prompt / PROMPT_TOKENS_PER_MS;
}

/** Computes until when a request must be sent to be on time, milliseconds. */
function computeLateMs(request: gatewayRequest.GatewayRequest): number {
  return request.targetMs - estimateFirstMs(request);
}

/** Computes until when it is worth sending a request, milliseconds. */
function computeLastSendMs(request: gatewayRequest.GatewayRequest): number {
  return request.leaveMs - estimateFirstMs(request);
}

/** Tells whether the wait behind some tokens leaves too little time. */
function isTooLong(work: gatewayState.ServiceWork, ahead: number, leftMs: number): boolean {
  return drainRate.estimateWaitMs(work.drain, ahead) > HOLD_SHARE * leftMs;
}

/** Says how a request is to wait; undefined where it would wait in vain. */
function findPlaceInLine(
  work: gatewayState.ServiceWork,
  request: gatewayRequest.GatewayRequest,
  now: number,
): { rank: number; dueMs: number } | undefined {
  const { urgency } = request;
  const lateMs = computeLateMs(request);
  const aheadOnTime = waitQueue.countTokensAhead(work.queue, urgency);
  if (now < lateMs && !isTooLong(work, aheadOnTime, lateMs - now)) {
    return { rank: urgency, dueMs: lateMs };
  }
  const rank = LATE_RANK + urgency;
  const lastSendMs = computeLastSendMs(request);
  const ahead = waitQueue.countTokensAhead(work.queue, rank);
  return now >= lastSendMs || isTooLong(work, ahead, lastSendMs - now)
    ? undefined
    : { rank, dueMs: lastSendMs };
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
  waitQueue.addItem(work.queue, { serial, workspace, workTokens, ...place });
  return true;
}

/** Takes a request out of the queue. */
export function removeRequest(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  isSent: boolean,
): void {
  const { queue } = gatewayState.getServiceWork(state, request.service);
  waitQueue.removeItem(queue, request.serial, isSent);
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
  const { queue } = gatewayState.getServiceWork(state, service);
  const due = waitQueue
    .listDue(queue, now)
    .map((item) => state.requests.get(item.serial))
    .filter((request) => request !== undefined);
  due.forEach((request) => removeRequest(state, request, false));
  return due.filter((request) => !enqueueRequest(state, request, now));
}

/** Draws when a caller that is turned away should come back, milliseconds. */
export function drawRetryAfter(state: gatewayState.GatewayState, service: string): number {
  const { drain, queue } = gatewayState.getServiceWork(state, service);
  return drainRate.drawRetryAfter(drain, queue.items.length, state.drawRandom);
}
