/** Writes log lines and metrics for what happens to requests. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import type * as callerExchange from './caller-exchange.js';
import type * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import * as gatewayMetrics from './gateway-metrics.js';
import type * as heldRequest from './held-request.js';

/** Limit of the parts of a prompt that a line of the log names. */
const MAX_LOGGED_PARTS = 8;

export type ReportDependencies = {
  state: gateway.GatewayState;
  readClocks: clocks.ReadClocks;
  log: decisionLog.DecisionLog;
  metrics: gatewayMetrics.GatewayMetrics;
};

/** Lists the parts of a request's prompt for the log; undefined if there are none. */
function listLoggedParts({ promptParts = [] }: gateway.ArrivedRequest): string[] | undefined {
  return promptParts.length > 0 ? promptParts.slice(0, MAX_LOGGED_PARTS) : undefined;
}

/** Reports that a request was refused on arrival, with the state that the decision was based on. */
export function reportRefused(
  { state, readClocks, log, metrics }: ReportDependencies,
  exchange: callerExchange.CallerExchange,
  attemptId: string,
  { code, retryAfterMs, quota, part }: gateway.Refusal,
): void {
  const now = readClocks();
  const beliefAgeMs = Math.round(gateway.computeConfirmationAge(state.lease, now));
  const version = state.index?.configuration.version;
  const line = {
    request: attemptId,
    path: exchange.target,
    retryAfterMs,
    version,
    beliefAgeMs,
    quota,
    part,
  };
  log.write('refused', { ...line, result: schema.ResultCode[code] }, now.steadyMs);
  metrics.recordEnd('', '', code, false);
  if (code === schema.ResultCode.GATEWAY_OVERLOADED) {
    metrics.recordShed();
  }
}

/** Reports that the caller of a request had left before the request was admitted. */
export function reportLeftUnread(
  { readClocks, log, metrics }: ReportDependencies,
  { target, unreadMs }: callerExchange.CallerExchange,
): void {
  const code = schema.ResultCode.CLIENT_LEFT;
  const line = { path: target, unreadMs: Math.round(unreadMs), result: schema.ResultCode[code] };
  log.write('refused', line, readClocks().steadyMs);
  metrics.recordEnd('', '', code, false);
  metrics.recordWithdrawal(gatewayMetrics.WithdrawalReason.CALLER_LEFT);
}

/** Reports that a request was sent, and which gateway scheduled it. */
export function reportSent(
  { state, log }: ReportDependencies,
  { request }: heldRequest.HeldRequest,
  server: gateway.BackendServerEntry,
  scheduler: string,
): void {
  const { arrived, service, urgency, version, sentMs, sends, cell } = request;
  const line = {
    request: arrived.attemptId,
    resumes: arrived.resumption?.firstAttemptId,
    server: server.id,
    service,
    cell,
    scheduler,
    urgency,
    waitMs: Math.round(sentMs - request.arrivedMs),
    isBelated: request.isBelated,
    promptTokens: arrived.tokens?.prompt,
    promptParts: listLoggedParts(arrived),
    predictedFirstMs: Math.round(request.predictedFirstMs),
    sends,
    version,
    isOtherDomain: server.failureDomain !== state.failureDomain,
    serverVersion: server.softwareVersion,
    serverBornMs: server.bornMs,
  };
  log.write('sent', line, sentMs);
}

/**
 * Reports that a grant was not used because the request could not be sent to that backend server.
 */
export function reportUnused(
  { readClocks, log }: ReportDependencies,
  { request, serverId, reason }: Extract<gateway.Assignment, { kind: 'waitOn' }>,
): void {
  const { arrived, cell } = request;
  const line = { request: arrived.attemptId, server: serverId, cell, reason };
  log.write('grant-unused', line, readClocks().steadyMs);
}

/** Reports what this gateway decided as the scheduler of a cell. */
export function reportScheduled(
  { readClocks, log }: ReportDependencies,
  notes: readonly gateway.SchedulingDecision[],
): void {
  if (notes.length === 0) {
    return;
  }
  const now = readClocks().steadyMs;
  notes.forEach((note) => {
    const { kind, cell, request, queued, weighed, leftOut, full, heldBack } = note;
    const predictedFirstMs = note.predictedFirstMs && Math.round(note.predictedFirstMs);
    const { attemptId, asker, workspace, share, urgency, isBelated, arrivedMs, targetMs } = request;
    const line = {
      request: attemptId,
      asker,
      cell,
      workspace,
      urgency,
      isBelated,
      waitMs: Math.round(now - arrivedMs),
      targetLeftMs: Math.round(targetMs - now),
      queued,
      predictedFirstMs,
      // Id, requests in flight and slowness in percent: of the chosen backend server, then of the
      // next two candidates.
      weighed: weighed.map((server) => [
        server.id,
        server.inFlight,
        Math.round(server.slowness * 100),
      ]),
      leftOut,
      full,
      isOtherDomain: weighed.some(
        ({ failureDomain }, rank) => rank === 0 && failureDomain !== request.failureDomain,
      ),
      // Backend servers that are warming up and cannot be given a request yet.
      heldBack,
      ...(kind === 'declined'
        ? { share, recentUseTokens: Math.round(note.recentUseTokens ?? 0) }
        : {}),
    };
    log.write(kind, line, now);
  });
}

type FaultFields = {
  serverId: string | undefined;
  fault: gateway.AttemptFault;
  reason: string;
  verdict: gateway.AttemptVerdict['kind'];
};

/** Reports that an attempt failed, and what was decided as a result. */
export function reportFault(
  { log, metrics }: ReportDependencies,
  { request, exchange }: heldRequest.HeldRequest,
  { serverId, ...fields }: FaultFields,
  now: number,
): void {
  const { arrived, service, sends, runs, isBudgetSpent } = request;
  const hasBegun = exchange.response.headersSent;
  const isBroken = fields.fault === gateway.AttemptFault.BROKEN;
  const content = isBroken ? arrived.hashContent(request.workspace) : undefined;
  const promptParts = listLoggedParts(arrived);
  const attempt = { request: arrived.attemptId, server: serverId, content, promptParts };
  const line = { ...attempt, ...fields, sends, runs, hasBegun, isBudgetSpent };
  log.write('fault', line, now);
  metrics.recordFault(service, fields.fault);
}

/** Reports whether a backend server was found to have outlived the end of a response. */
export function reportServerCheck(
  { log }: ReportDependencies,
  { arrived, serverBornMs }: gateway.GatewayRequest,
  { server, finding, ms }: { server: string; finding: string; ms: number },
  now: number,
): void {
  const line = { request: arrived.attemptId, server, serverBornMs, finding, ms: Math.round(ms) };
  log.write('server-check', line, now);
}

/** Reports that a backend server sent a further response behind that to a request. */
export function reportExtraResponse(
  { log, metrics }: ReportDependencies,
  { arrived, service }: gateway.GatewayRequest,
  server: string,
  now: number,
): void {
  log.write('extra-response', { request: arrived.attemptId, server }, now);
  metrics.recordExtraResponse(service);
}

/** Reports that content is refused from now on, as its runs have ended backend servers. */
export function reportSuspended(
  { log }: ReportDependencies,
  { arrived, workspace, isTrial }: gateway.GatewayRequest,
  server: string | undefined,
): void {
  const content = arrived.hashContent(workspace);
  const fields = { request: arrived.attemptId, workspace, server, isTrial, content };
  log.writeAlways('content-suspended', fields);
}

/** Reports that a complete response has cleared the lost runs of its content. */
export function reportCleared(
  { log }: ReportDependencies,
  { arrived, workspace, serverId }: gateway.GatewayRequest,
  now: number,
): void {
  const content = arrived.hashContent(workspace);
  const fields = { request: arrived.attemptId, workspace, server: serverId, content };
  log.write('content-cleared', fields, now);
}

/** Reports that a part of prompts is refused from now on. */
export function reportPartSuspended(
  { log }: ReportDependencies,
  { arrived, workspace, isTrial }: gateway.GatewayRequest,
  server: string | undefined,
  { part, losses }: Pick<gateway.SuspendedPart, 'part' | 'losses'>,
): void {
  const fields = { request: arrived.attemptId, workspace, server, isTrial, part, losses };
  log.writeAlways('part-suspended', fields);
}

/** Reports that a run has cleared the lost runs of parts of its prompt. */
export function reportPartsCleared(
  { log }: ReportDependencies,
  { arrived, workspace, serverId }: gateway.GatewayRequest,
  now: number,
): void {
  const promptParts = listLoggedParts(arrived);
  const fields = { request: arrived.attemptId, workspace, server: serverId, promptParts };
  log.write('parts-cleared', fields, now);
}

/** Reports how a request ended. */
export function reportEnd(
  { readClocks, log, metrics }: ReportDependencies,
  { request, firstEventMs }: heldRequest.HeldRequest,
  code: schema.ResultCode,
  fields: Record<string, unknown>,
): void {
  const now = readClocks().steadyMs;
  const ms = Math.round(now - request.arrivedMs);
  const { route, workspace, urgency, service, sends, runs, version } = request;
  const line = {
    request: request.arrived.attemptId,
    resumes: request.arrived.resumption?.firstAttemptId,
    route: route.name,
    service,
    workspace,
    urgency,
    ms,
    firstEventMs,
    ...fields,
    sends,
    runs,
    version,
    result: schema.ResultCode[code],
  };
  metrics.recordEnd(route.name, service, code, (firstEventMs ?? ms) <= route.targetMs);
  log.write('end', line, now);
}
