/** Ends requests: by refusal, by timeout, or because the caller has disconnected. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import * as callerExchange from './caller-exchange.js';
import * as failureGuard from './failure-guard.js';
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

/**
 * Ends a request whose handling has thrown an exception. A caller that has a part of the response
 * sees it broken off.
 */
function fail(task: taskState.TaskState, held: heldRequest.HeldRequest): void {
  if (held.done) {
    if (!held.exchange.response.writableEnded) {
      callerExchange.abortResponse(held.exchange);
    }
    return;
  }
  const { serverId: server } = held.request;
  const mayHaveRun = abandon(task, held);
  const refusal = { code: schema.ResultCode.INTERNAL, retryAfterMs: undefined };
  refuse(task, held, refusal, { server, mayHaveRun });
  task.assign();
}

/** Gives up a request that cannot even be ended in order. */
function dropFailed(task: taskState.TaskState, held: heldRequest.HeldRequest): void {
  removeRequest(task, held);
  task.state.requests.delete(held.request.serial);
  held.exchange.response.destroy();
}

/** Runs a step of one request; an exception ends this request and no other. */
export function runForRequest<T>(
  task: taskState.TaskState,
  held: heldRequest.HeldRequest,
  step: () => T,
  resultOfFailure: T,
): T {
  const { REQUEST } = failureGuard.WorkUnit;
  const endFailed = () =>
    task.runGuarded(
      REQUEST,
      () => fail(task, held),
      () => dropFailed(task, held),
    );
  return task.runGuarded(REQUEST, step, () => {
    endFailed();
    return resultOfFailure;
  });
}
