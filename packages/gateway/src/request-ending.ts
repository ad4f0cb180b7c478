/** Ends requests: by refusal, by timeout, or because the caller has disconnected. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import * as callerExchange from './caller-exchange.js';
import * as heldRequest from './held-request.js';
import * as requestReports from './request-reports.js';
import type * as taskState from './task-state.js';

/** Removes a request that needs no further processing. */
export function removeRequest(task: taskState.TaskState, held: heldRequest.HeldRequest): void {
  held.done = true;
  clearTimeout(held.timeoutTimer);
  task.held.delete(held.request.serial);
}

/** Ends a request with a refusal as its final response. */
export function refuse(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  refusal: gateway.Refusal,
  fields: Record<string, unknown> = {},
): void {
  removeRequest(task, held);
  const { code, retryAfterMs } = refusal;
  requestReports.reportEnd(task, held, code, { retryAfterMs, ...fields });
  callerExchange.sendRefusal(held.exchange, refusal);
}

/** Ends a request with a refusal because the gateway is shutting down. */
export function refuseAtShutdown(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  refusal: gateway.Refusal,
  fields: Record<string, unknown> = {},
): void {
  const phase = heldRequest.getPhase(held);
  task.metrics.recordShutdownEnd(phase, refusal.code);
  refuse(task, held, refusal, { ...fields, reason: 'shutdown', phase });
}

/** Ends a request that cannot be completed before the process exits. */
export function endUnfinished(task: taskState.TaskState, held: heldRequest.HeldRequest): void {
  if (held.done) {
    return;
  }
  const { serverId: server } = held.request;
  const mayHaveRun = abandon(task, held);
  const refusal = mayHaveRun
    ? { code: schema.ResultCode.GATEWAY_STOPPED, retryAfterMs: undefined }
    : gateway.buildShutdownRefusal(task.state, task.readClocks().steadyMs);
  refuseAtShutdown(task, held, refusal, { server, mayHaveRun });
}

/** Ends a request that has timed out. */
export function handleTimeout(task: taskState.TaskState, held: heldRequest.HeldRequest): void {
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

/** Cancels the running attempt of a request; returns whether the request may have run. */
function abandon(task: taskState.TaskState, held: heldRequest.HeldRequest): boolean {
  const mayHaveRun = held.request.runs > 0 || held.attempt?.mayHaveBeenSent() === true;
  held.attempt?.abort();
  gateway.abandonRequest(task.state, held.request, mayHaveRun, task.readClocks().steadyMs);
  return mayHaveRun;
}

/** Ends a request whose caller has disconnected; a running attempt is cancelled at once. */
export function handleCallerLeft(task: taskState.TaskState, held: heldRequest.HeldRequest): void {
  if (held.done) {
    return;
  }
  const { serverId: server } = held.request;
  const mayHaveRun = abandon(task, held);
  removeRequest(task, held);
  requestReports.reportEnd(task, held, schema.ResultCode.CLIENT_LEFT, { server, mayHaveRun });
  task.assign();
}
