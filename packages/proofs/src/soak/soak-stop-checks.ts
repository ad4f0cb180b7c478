/** Checks that a planned stop of a gateway of the soak test loses no request. */
import type * as soakRecords from './soak-records.js';
import * as soakStalls from './soak-stalls.js';

export type StopViolation = { guarantee: string; detail: string };

/**
 * A request whose connection closes within this time after it was sent crossed the close,
 * milliseconds. Stalls of the callers' own event loop do not count.
 */
const CROSSING_MS = 25;
/**
 * Time that a request may be unread at a gateway without processor time, milliseconds. A connection
 * that is closed then is reset.
 */
const UNREAD_MS = 1500;
/** A gateway may still send requests to backend servers for this long after SIGTERM, ms. */
const SENDING_MS = 3000;
/** A run that goes on in the last part of the grace period need not have ended, as a share. */
const LAST_PART = 1 / 6;

/** What the checks of one call need. */
export type StopContext = {
  records: soakRecords.SoakRecords;
  routeTimeoutMs: number;
  runsById: ReadonlyMap<string, readonly soakRecords.RunRecord[]>;
};

/** Whether a call was in progress in a period. */
function isDuring(
  { sentMs, endedMs }: soakRecords.CallRecord,
  { fromMs, untilMs }: { fromMs: number; untilMs: number },
): boolean {
  return sentMs <= untilMs && endedMs >= fromMs;
}

/** Whether a call got no complete response although its caller waited for one. */
function isLost({ response, disconnectedMs }: soakRecords.CallRecord): boolean {
  return disconnectedMs === 0 && response?.isComplete !== true;
}

/** Whether a fault other than a planned stop disturbed the gateway or a backend server of a call. */
function isDisturbed(
  { disturbances, serverFaults, arrivals }: soakRecords.SoakRecords,
  call: soakRecords.CallRecord,
  runs: readonly soakRecords.RunRecord[],
): boolean {
  const isUnseen = !arrivals.has(call.id);
  return (
    disturbances.some(
      (one) => one.isPlanned !== true && one.gateway === call.gateway && isDuring(call, one),
    ) ||
    serverFaults.some(
      (one) => isDuring(call, one) && (isUnseen || runs.some((run) => run.server === one.server)),
    )
  );
}

/** Whether a run was sent in time and still went on in the last part of the grace period. */
export function isUnfinished(
  { atMs, endedMs }: soakRecords.RunRecord,
  { fromMs, graceMs }: soakRecords.StopRecord,
): boolean {
  const lastPartMs = fromMs + graceMs * (1 - LAST_PART);
  return atMs <= fromMs + SENDING_MS && (endedMs === 0 || endedMs >= lastPartMs);
}

/** Whether a call that no backend server saw was sent so late that it crossed the close. */
function isCrossing(
  { records }: StopContext,
  call: soakRecords.CallRecord,
  { closedMs }: soakRecords.StopRecord,
): boolean {
  const { id, sentMs: fromMs, endedMs: untilMs, isReused, isReset } = call;
  return (
    !records.arrivals.has(id) &&
    ((!isReused && fromMs > closedMs) ||
      (isReset && untilMs - fromMs <= UNREAD_MS) ||
      soakStalls.computeAwakeMs(records, { fromMs, untilMs }) <= CROSSING_MS)
  );
}

/** Whether a lost call is allowed at a stop. */
function isAllowed(
  context: StopContext,
  call: soakRecords.CallRecord,
  stop: soakRecords.StopRecord,
): boolean {
  const { records, routeTimeoutMs, runsById } = context;
  const runs = runsById.get(call.id) ?? [];
  return (
    isCrossing(context, call, stop) ||
    call.endedMs - call.sentMs >= Math.min(call.deadlineMs, routeTimeoutMs) ||
    runs.some((run) => run.isBrokenOff || run.isMixedUp || isUnfinished(run, stop)) ||
    isDisturbed(records, call, runs)
  );
}

/** Checks that each request in progress at a planned stop gets a complete response. */
export function checkStops(context: StopContext): StopViolation[] {
  const { records, runsById } = context;
  const lost = records.calls.filter(isLost);
  return records.stops.flatMap((stop) =>
    lost
      .filter((call) => call.gateway === stop.gateway && isDuring(call, stop))
      .filter((call) => !isAllowed(context, call, stop))
      .map(({ id, sentMs, endedMs, response, isReset }) => ({
        guarantee: 'planned stop loses nothing',
        detail: JSON.stringify({
          id,
          gateway: stop.gateway,
          stopMs: stop.fromMs,
          sentMs: sentMs - stop.fromMs,
          endedMs: endedMs - stop.fromMs,
          isReset,
          awakeMs: soakStalls.computeAwakeMs(records, { fromMs: sentMs, untilMs: endedMs }),
          exitMs: stop.untilMs - stop.fromMs,
          status: response?.status,
          runs: (runsById.get(id) ?? []).map((run) => ({
            server: run.server,
            atMs: run.atMs - stop.fromMs,
            endedMs: run.endedMs - stop.fromMs,
          })),
        }),
      })),
  );
}
