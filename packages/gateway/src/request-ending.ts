/** Ends requests: with a refusal, by time, or as their caller has left. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import * as callerExchange from './caller-exchange.js';
import type * as heldRequest from './held-request.js';
import * as requestReports from './request-reports.js';
import type * as taskState from './task-state.js';

/** Forgets a request whose final answer has been given. */
export function forget(task: taskState.TaskState, held: heldRequest.HeldRequest): void {
  held.done = true;
  clearTimeout(held.giveUpTimer);
  task.held.delete(held.request.serial);
  if (task.held.size === 0) {
    task.idle?.();
  }
}

/** Gives a request its final answer: a refusal. */
export function refuse(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  refusal: gateway.Refusal,
  fields: Record<string, unknown> = {},
): void {
  forget(task, held);
  const { code, retryAfterMs } = refusal;
  requestReports.reportEnd(task, held, code, { retryAfterMs, ...fields });
  callerExchange.sendRefusal(held.exchange, refusal);
}

/** Ends a request whose time is over. */
export function giveUp(task: taskState.TaskState, held: heldRequest.HeldRequest): void {
  if (held.done) {
    return;
  }
  const { serverId: server } = held.request;
  const mayHaveRun = abandon(task, held);
  const code = mayHaveRun
    ? schema.ResultCode.DEADLINE_EXCEEDED
    : schema.ResultCode.DEADLINE_UNREACHABLE;
  refuse(task, held, { code, retryAfterMs: undefined }, { server, mayHaveRun });
  task.assign();
}

/** Cancels what runs for a request, and tells whether it may have run. */
function abandon(task: taskState.TaskState, held: heldRequest.HeldRequest): boolean {
  const mayHaveRun = held.request.runs > 0 || held.attempt?.mayHaveLeft() === true;
  held.attempt?.abort();
  gateway.abandonRequest(task.state, held.request, mayHaveRun);
  return mayHaveRun;
}

/** Ends a request whose caller has left: what runs for it is cancelled at once. */
export function handleCallerLeft(task: taskState.TaskState, held: heldRequest.HeldRequest): void {
  if (held.done) {
    return;
  }
  const { serverId: server } = held.request;
  const mayHaveRun = abandon(task, held);
  forget(task, held);
  requestReports.reportEnd(task, held, schema.ResultCode.CLIENT_LEFT, { server, mayHaveRun });
  task.assign();
}
