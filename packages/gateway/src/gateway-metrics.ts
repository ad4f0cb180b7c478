/** The metrics of a gateway. */
import * as gateway from '@toucanproxy/core/gateway';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';

export type GatewayMetrics = {
  /** Records that a request has ended. */
  recordEnd: (route: string, service: string, code: schema.ResultCode, inTime: boolean) => void;
  /** Records that an attempt at a backend server has failed. */
  recordFault: (service: string, fault: gateway.AttemptFault) => void;
  /** Records the time from arrival to the first send, milliseconds. */
  recordWait: (urgency: number, ms: number) => void;
  /** Records the time from sending to the first event, milliseconds. */
  recordFirstEvent: (route: string, ms: number) => void;
  render: () => string;
};

/** Lists totals of the messages to schedulers and their grants, and queue lengths by cell. */
function listSchedulingValues(state: gateway.GatewayState): runtime.MetricSample[] {
  const { asks, grantsUsed, grantsUnused, schedulersLeft } = state.schedulingTotals;
  const queues = [...state.scheduler.cells.values()].map(({ name, queue }) => ({
    name: 'cell_requests_queued',
    labels: { cell: name },
    value: queue.items.length,
  }));
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
    ...queues,
    ...lateReturns,
  ];
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

/** Lists the current values of a gateway that are not recorded as they change. */
function listSamples(state: gateway.GatewayState, now: number): runtime.MetricSample[] {
  const version = state.index?.configuration.version ?? 0;
  return [
    { name: 'document_version', labels: {}, value: version },
    { name: 'requests_held', labels: {}, value: state.requests.size },
    { name: 'backend_servers', labels: {}, value: state.servers.byId.size },
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
    ...listStatementValues(state, now),
    ...listSchedulingValues(state),
  ];
}

/** Creates the metrics of one gateway. */
export function createGatewayMetrics(
  state: gateway.GatewayState,
  readSteadyMs: () => number,
): GatewayMetrics {
  const metrics = runtime.createMetrics();
  return {
    recordEnd: (route, service, code, inTime) =>
      runtime.recordObservation(metrics, { kind: 'outcome', service, tier: route, code, inTime }),
    recordFault: (service, fault) =>
      runtime.addCount(metrics, 'attempt_faults_total', { service, fault }),
    recordWait: (urgency, ms) =>
      runtime.recordObservation(metrics, { kind: 'queueWait', tier: String(urgency), ms }),
    recordFirstEvent: (route, ms) =>
      runtime.recordObservation(metrics, { kind: 'firstByte', service: '', tier: route, ms }),
    render: () => runtime.renderMetrics(metrics, Date.now(), listSamples(state, readSteadyMs())),
  };
}
