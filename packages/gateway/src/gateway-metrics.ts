/** The metrics of a gateway. */
import * as gateway from '@toucanproxy/core/gateway';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';
import * as domainTraffic from './domain-traffic.js';
import type * as heldRequest from './held-request.js';

/** Why a request was withdrawn before its first byte was sent. */
export enum WithdrawalReason {
  CALLER_LEFT = 'caller-left',
  DEADLINE = 'deadline',
  /** The backend server may no longer be used. */
  SERVER = 'server',
}

export type GatewayMetrics = {
  /** Records that a request has ended. */
  recordEnd: (route: string, service: string, code: schema.ResultCode, inTime: boolean) => void;
  /** Records that an attempt at a backend server has failed. */
  recordFault: (service: string, fault: gateway.AttemptFault) => void;
  /** Records that a backend server responded to a request a second time. */
  recordExtraResponse: (service: string) => void;
  /** Records whether a backend server had outlived the connection that ended a response. */
  recordServerCheck: (service: string, isPresent: boolean) => void;
  /** Records the time from arrival to the first send, milliseconds. */
  recordWait: (urgency: number, ms: number) => void;
  /** Records the time from sending to the first event, milliseconds. */
  recordFirstEvent: (route: string, ms: number) => void;
  /** Records the duration of a turn of the event loop, milliseconds. */
  recordLoopDelay: (ms: number) => void;
  /** Records that a request was refused because this gateway is overloaded. */
  recordShed: () => void;
  /** Records that a request was withdrawn before its first byte was sent. */
  recordWithdrawal: (reason: WithdrawalReason) => void;
  /** Records that a shutdown ended a request. */
  recordShutdownEnd: (phase: heldRequest.HeldPhase, code: schema.ResultCode) => void;
  /** Records that an exception has ended a unit of work. */
  recordInternalError: (unit: string) => void;
  /** Records that a new connection was closed unread. */
  /** Records a new connection that was refused without reading from it. */
  recordRefusedUnread: () => void;
  /** Records one that was closed before its caller may have received the refusal. */
  recordClosedUnread: () => void;
  /** Records by how much a first event came later than predicted, milliseconds. */
  recordFirstEventError: (service: string, ms: number) => void;
  render: () => string;
};

/** Lists totals of the messages to schedulers and their grants, and queue lengths by cell. */
function listSchedulingValues(state: gateway.GatewayState): runtime.MetricSample[] {
  const { asks, grantsUsed, grantsUnused, schedulersLeft, useReports } = state.schedulingTotals;
  const queues = [...state.scheduler.cells.values()].flatMap((cell) => {
    const labels = { cell: cell.name };
    const turnaroundMs = gateway.estimateTurnaroundMs(cell);
    return [
      { name: 'cell_requests_queued', labels, value: cell.queue.items.length },
      { name: 'cell_requests_deferred', labels, value: cell.requestsDeferred },
      { name: 'cell_slot_turnaround_ms', labels, value: turnaroundMs },
    ];
  });
  const lateReturns = [...state.scheduler.cells.values()].flatMap(({ name, lateReturns: totals }) =>
    Object.entries(totals).map(([outcome, value]) => ({
      name: 'late_returns_total',
      labels: { cell: name, outcome },
      value,
    })),
  );
  return [
    { name: 'schedule_asks_total', labels: {}, value: asks },
    { name: 'schedule_grants_total', labels: { used: 'true' }, value: grantsUsed },
    { name: 'schedule_grants_total', labels: { used: 'false' }, value: grantsUnused },
    { name: 'schedulers_left_total', labels: {}, value: schedulersLeft },
    { name: 'fair_use_reports_total', labels: {}, value: useReports },
    ...queues,
    ...lateReturns,
  ];
}

/** Lists how many retries the retry budget allowed and denied, by service. */
function listRetryValues({ services }: gateway.GatewayState): runtime.MetricSample[] {
  return [...services].flatMap(([service, { retryTotals }]) =>
    Object.entries(retryTotals).map(([decision, value]) => ({
      name: 'retries_total',
      labels: { service, decision },
      value,
    })),
  );
}

/** Lists what is known of the streams that callers take up again. */
function listOriginValues({ origins }: gateway.GatewayState): runtime.MetricSample[] {
  return [
    { name: 'stream_origins', labels: {}, value: origins.byAttempt.size },
    ...Object.entries(origins.totals).map(([origin, value]) => ({
      name: 'stream_resumptions_total',
      labels: { origin },
      value,
    })),
  ];
}

/** Lists the shares of the workspaces that had requests recently. */
function listShareValues(state: gateway.GatewayState, now: number): runtime.MetricSample[] {
  return gateway.listActiveShares(state, now).map(({ workspace, share }) => ({
    name: 'workspace_share',
    labels: { workspace },
    value: share,
  }));
}

/** Lists what the schedulers of this gateway's cells know of prompts. */
function listWorkValues({ scheduler }: gateway.GatewayState): runtime.MetricSample[] {
  return [...scheduler.cells.values()].flatMap((cell) => {
    const work = gateway.countWork(cell);
    const ids = new Set([...cell.healthByServer.keys(), ...work.keys()]);
    const service = gateway.parseCellService(cell.name);
    const speed = gateway.estimateTokensPerMs(cell.promptSpeed);
    return [
      { name: 'prompt_tokens_per_ms', labels: { service }, value: speed },
      ...[...ids].map((server) => ({
        name: 'server_unread_tokens',
        labels: { server },
        value: work.get(server)?.unreadTokens ?? 0,
      })),
    ];
  });
}

/** Counts the backend servers whose statements are in effect, by kind of statement. */
function listStatementValues(
  { servers }: gateway.GatewayState,
  now: number,
): runtime.MetricSample[] {
  const all = [...servers.statements.values()];
  const leaving = all.filter(({ leavingSinceMs }) => leavingSinceMs !== undefined);
  const limited = all.filter(({ rateLimit }) => rateLimit?.perSecond !== undefined);
  const backingOff = all.filter(({ backoffUntilMs }) => backoffUntilMs > now);
  return [
    { name: 'backend_servers_stating', labels: { state: 'leaving' }, value: leaving.length },
    { name: 'backend_servers_stating', labels: { state: 'backoff' }, value: backingOff.length },
    { name: 'backend_servers_stating', labels: { state: 'rate-limit' }, value: limited.length },
  ];
}

/** Lists the use of the budget for the bytes of requests, and the decisions about it. */
function listBodyValues({ bodies }: gateway.GatewayState): runtime.MetricSample[] {
  const { capacityBytes, smallBytes, largeBytes, totals } = bodies;
  const budgetBytes = Number.isFinite(capacityBytes) ? capacityBytes : 0;
  return [
    { name: 'body_budget_bytes', labels: {}, value: budgetBytes },
    { name: 'body_bytes_held', labels: { size: 'small' }, value: smallBytes },
    { name: 'body_bytes_held', labels: { size: 'large' }, value: largeBytes },
    ...Object.entries(totals).map(([decision, value]) => ({
      name: 'body_decisions_total',
      labels: { decision },
      value,
    })),
  ];
}

/** Lists the current values of a gateway that are not recorded as they change. */
function listSamples(state: gateway.GatewayState, now: number): runtime.MetricSample[] {
  const version = state.index?.configuration.version ?? 0;
  return [
    { name: 'document_version', labels: {}, value: version },
    { name: 'requests_held', labels: {}, value: state.requests.size },
    { name: 'backend_servers', labels: {}, value: state.servers.byId.size },
    {
      name: 'suspended_contents',
      labels: {},
      value: gateway.listSuspendedContents(state, now).length,
    },
    {
      name: 'suspended_prompt_parts',
      labels: {},
      value: gateway.listSuspendedParts(state, now).length,
    },
    {
      name: 'backend_servers_warming',
      labels: {},
      value: gateway.listWarming(state.servers, state.servers.byId.values(), state.index, now).size,
    },
    {
      name: 'evacuated_domains',
      labels: {},
      value: gateway.listEvacuated(state.servers.evacuations).length,
    },
    { name: 'store_epoch', labels: {}, value: Math.max(state.servers.readRevision.epoch, 0) },
    { name: 'peers', labels: {}, value: state.peers.byAddress.size },
    { name: 'load_percent', labels: {}, value: gateway.computeLoadPercent(state.load) },
    { name: 'admitted_share', labels: {}, value: state.load.admittedShare },
    ...listOriginValues(state),
    ...listBodyValues(state),
    ...listStatementValues(state, now),
    ...listSchedulingValues(state),
    ...listRetryValues(state),
    ...listShareValues(state, now),
    ...listWorkValues(state),
  ];
}

/** Creates the metrics of one gateway. */
export function createGatewayMetrics(
  state: gateway.GatewayState,
  readSteadyMs: () => number,
  traffic: domainTraffic.DomainTraffic,
): GatewayMetrics {
  const metrics = runtime.createMetrics();
  return {
    recordEnd: (route, service, code, inTime) =>
      runtime.recordObservation(metrics, { kind: 'outcome', service, tier: route, code, inTime }),
    recordFault: (service, fault) =>
      runtime.addCount(metrics, 'attempt_faults_total', { service, fault }),
    recordExtraResponse: (service) =>
      runtime.addCount(metrics, 'extra_responses_total', { service }),
    recordServerCheck: (service, isPresent) =>
      runtime.addCount(metrics, 'server_checks_total', {
        service,
        server: isPresent ? 'present' : 'gone',
      }),
    recordWait: (urgency, ms) =>
      runtime.recordObservation(metrics, { kind: 'queueWait', tier: String(urgency), ms }),
    recordFirstEvent: (route, ms) =>
      runtime.recordObservation(metrics, { kind: 'firstByte', service: '', tier: route, ms }),
    recordLoopDelay: (ms) => runtime.recordDuration(metrics, 'event_loop_delay_ms', {}, ms),
    recordShed: () =>
      runtime.addCount(metrics, 'requests_shed_total', { reason: 'gateway-overloaded' }),
    recordWithdrawal: (reason) => runtime.addCount(metrics, 'requests_withdrawn_total', { reason }),
    recordShutdownEnd: (phase, code) =>
      runtime.addCount(metrics, 'requests_ended_by_shutdown_total', {
        phase,
        result: schema.ResultCode[code],
      }),
    recordInternalError: (unit) => runtime.addCount(metrics, 'internal_errors_total', { unit }),
    recordRefusedUnread: () => runtime.addCount(metrics, 'connections_refused_total', {}),
    recordClosedUnread: () => runtime.addCount(metrics, 'connections_closed_total', {}),
    recordFirstEventError: (service, ms) => {
      const labels = { service, sign: ms < 0 ? 'early' : 'late' };
      runtime.recordDuration(metrics, 'first_event_error_ms', labels, Math.abs(ms));
    },
    render: () =>
      runtime.renderMetrics(metrics, Date.now(), [
        ...listSamples(state, readSteadyMs()),
        ...domainTraffic.listTrafficSamples(traffic),
      ]),
  };
}
