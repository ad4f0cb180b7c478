/**
 * Checks that no whole request of the soak test goes without a byte of a response at a planned
 * stop once its connection is established.
 */
import type * as soakRecords from './soak-records.js';
import * as soakStalls from './soak-stalls.js';
import * as soakStopChecks from './soak-stop-checks.js';

/**
 * Time from the last byte of a request to the sight of a close that it crossed on loopback,
 * milliseconds. Stalls of the callers' own event loop do not count.
 */
const CROSSING_MS = 7;

type Unanswered = {
  call: soakRecords.CallRecord;
  connection: soakRecords.ConnectionRecord;
  stop: soakRecords.StopRecord;
};

/** Lists the calls at planned stops whose connection was established and ended without a byte. */
function listUnanswered({ calls, stops }: soakRecords.SoakRecords): Unanswered[] {
  return calls.flatMap((call) => {
    const { connection, disconnectedMs, endedMs, sentMs, deadlineMs, gateway } = call;
    const stop = stops.findLast(
      (one) => one.gateway === gateway && endedMs >= one.fromMs && sentMs <= one.untilMs,
    );
    const isWaiting = disconnectedMs === 0 && endedMs > 0 && endedMs - sentMs < deadlineMs;
    const isUnanswered = connection !== undefined && connection.sentMs > 0;
    return stop !== undefined && isWaiting && isUnanswered && connection.responseBytes === 0
      ? [{ call, connection, stop }]
      : [];
  });
}

/** Computes the time from the last byte of a request to the end of its connection, milliseconds. */
function computeAgeMs(records: soakRecords.SoakRecords, { call, connection }: Unanswered): number {
  return soakStalls.computeAwakeMs(records, { fromMs: connection.sentMs, untilMs: call.endedMs });
}

/**
 * Whether a request crossed the close of its connection. An orderly end does not show that the
 * request was read: it may precede the close with unread bytes.
 */
function isCrossing({ records }: soakStopChecks.StopContext, one: Unanswered): boolean {
  return !records.arrivals.has(one.call.id) && computeAgeMs(records, one) <= CROSSING_MS;
}

/** Whether the end is due to its backend server, or to another fault of its gateway. */
function isExcused(
  { records, runsById }: soakStopChecks.StopContext,
  { call, stop }: Unanswered,
): boolean {
  const runs = runsById.get(call.id) ?? [];
  const isDisturbed = records.disturbances.some(
    ({ gateway, fromMs, untilMs, isPlanned }) =>
      isPlanned !== true &&
      gateway === call.gateway &&
      fromMs <= call.endedMs &&
      untilMs >= call.sentMs,
  );
  return (
    isDisturbed ||
    runs.some((run) => run.isBrokenOff || run.isMixedUp || soakStopChecks.isUnfinished(run, stop))
  );
}

/** Describes a lost request. */
function describeLoss(context: soakStopChecks.StopContext, one: Unanswered): string {
  const { call, connection, stop } = one;
  return JSON.stringify({
    id: call.id,
    gateway: call.gateway,
    isNew: connection.isNew,
    isReset: call.isReset,
    sentMs: Math.round(connection.sentMs - stop.fromMs),
    endedMs: Math.round(call.endedMs - stop.fromMs),
    ageMs: Math.round(computeAgeMs(context.records, one) * 10) / 10,
    closedMs: Math.round(stop.closedMs - stop.fromMs),
    exitMs: Math.round(stop.untilMs - stop.fromMs),
    runs: (context.runsById.get(call.id) ?? []).length,
  });
}

/** Counts the requests without a byte that crossed the close of their connection. */
export function countCrossings(records: soakRecords.SoakRecords): number {
  const context = { records, runsById: new Map(), routeTimeoutMs: Infinity };
  return listUnanswered(records).filter((one) => isCrossing(context, one)).length;
}

/** Checks that each request on an established connection gets a byte of a response. */
export function checkConnections(
  context: soakStopChecks.StopContext,
): soakStopChecks.StopViolation[] {
  return listUnanswered(context.records)
    .filter((one) => !isCrossing(context, one) && !isExcused(context, one))
    .map((one) => ({
      guarantee: 'a request at a planned stop is answered or refused',
      detail: describeLoss(context, one),
    }));
}
