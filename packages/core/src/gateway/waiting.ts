/**
 * The order in which requests wait for a service.
 *
 * Ranks: requests that can still be on time by urgency, then late ones by
 * urgency. A late request is worth less to its caller than one that is not late
 * yet, but it is served whenever no other would become late for it.
 */
import * as startQueue from '../shared/start-queue.js';
import type * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';

/** Added to the rank of a late request; more urgencies than any deployment has. */
const LATE_RANK = 32;
/** Prompt tokens that an engine reads in a millisecond, at first; see `estimateFirstMs`. */
const PROMPT_TOKENS_PER_MS = 40;
/** Time to a first token besides the prompt: network, batch, one step; milliseconds. */
const FIRST_TOKEN_MS = 25;

/** Estimates the time from sending to the first token at an idle engine, milliseconds. */
export function estimateFirstMs(request: gatewayRequest.GatewayRequest): number {
  const prompt = request.arrived.tokens?.prompt ?? 0;
  return FIRST_TOKEN_MS + prompt / PROMPT_TOKENS_PER_MS;
}

/** Computes until when a request must be sent to be on time, milliseconds. */
function computeLateMs(request: gatewayRequest.GatewayRequest): number {
  return request.targetMs - estimateFirstMs(request);
}

/** Puts a request into the queue of its service. */
export function enqueueRequest(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): void {
  const lateMs = computeLateMs(request);
  const late = now >= lateMs;
  const urgency = Math.min(request.urgency, LATE_RANK - 1);
  startQueue.enqueue(gatewayState.getServiceWork(state, request.service).queue, {
    kind: startQueue.QueuedKind.ATTEMPT,
    id: String(request.serial),
    tierRank: late ? LATE_RANK + urgency : urgency,
    workspace: request.workspace,
    weight: 1,
    estimatedTokens: request.workTokens,
    deadlineMs: late ? request.giveUpMs : lateMs,
  });
}

/** Takes a request out of the queue. */
export function removeRequest(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
): void {
  const { queue } = gatewayState.getServiceWork(state, request.service);
  startQueue.removeItem(queue, startQueue.QueuedKind.ATTEMPT, String(request.serial));
}

/** Counts the tokens that would run before a request. */
export function countTokensAhead(
  queue: startQueue.StartQueue,
  request: gatewayRequest.GatewayRequest,
): number {
  const { urgency, workspace, workTokens } = request;
  return startQueue.estimateTokensAhead(queue, urgency, workspace, workTokens);
}

/**
 * Moves requests that have become late behind those that have not, and lists
 * those that have no time left.
 */
export function updateLate(
  state: gatewayState.GatewayState,
  service: string,
  now: number,
): gatewayRequest.GatewayRequest[] {
  const { queue } = gatewayState.getServiceWork(state, service);
  const overdue = startQueue
    .listOverdue(queue, now)
    .map((item) => state.requests.get(Number(item.id)))
    .filter((request) => request !== undefined);
  overdue.forEach((request) => removeRequest(state, request));
  const spent = overdue.filter((request) => now >= request.giveUpMs);
  overdue
    .filter((request) => now < request.giveUpMs)
    .forEach((request) => enqueueRequest(state, request, now));
  return spent;
}
