/** Checks the documented guarantees against what callers and backend servers recorded. */
import * as soakConnectionChecks from './soak-connection-checks.js';
import * as soakCrashChecks from './soak-crash-checks.js';
import * as soakLimitChecks from './soak-limit-checks.js';
import * as soakPartChecks from './soak-part-checks.js';
import * as soakRecords from './soak-records.js';
import * as soakStalls from './soak-stalls.js';
import * as soakStopChecks from './soak-stop-checks.js';
import * as soakStatementChecks from './soak-statement-checks.js';
import * as soakStreamChecks from './soak-stream-checks.js';
import * as soakVersionChecks from './soak-version-checks.js';

/** Limits that the deployment under test guarantees. */
export type SoakBounds = {
  revocationMs: number;
  evacuationMs: number;
  retryRatio: number;
  retryExtra: number;
  routeTimeoutMs: number;
  /** Also checks response times, which hold only on a machine with spare CPU. */
  areTimesChecked: boolean;
};

export type Violation = { guarantee: string; detail: string };

type Context = {
  records: soakRecords.SoakRecords;
  bounds: SoakBounds;
  runsById: Map<string, soakRecords.RunRecord[]>;
  callById: Map<string, soakRecords.CallRecord>;
};

const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const RETRY_WINDOW_MS = 10_000;
/** A gateway reads a store change within this time, one lost call included, milliseconds. */
const READING_MS = 2650;
/** Tolerance for a late response, milliseconds, as the machine may be busy. */
const LATE_MS = 1000;

/** Whether a request may run more than once. */
function isRepeatable({ kind }: soakRecords.CallRecord): boolean {
  return kind === soakRecords.CallKind.SAFE || kind === soakRecords.CallKind.RESUMABLE;
}

/** Whether a response has a 2xx status. */
function isSuccess(response: soakRecords.CallResponse): boolean {
  return response.status >= 200 && response.status < 300;
}

/** Lists a violation for each call that breaks a guarantee. */
function listViolations(
  { records, runsById }: Context,
  guarantee: string,
  isBroken: (call: soakRecords.CallRecord, runs: soakRecords.RunRecord[]) => boolean,
): Violation[] {
  return records.calls
    .filter((call) => isBroken(call, runsById.get(call.id) ?? []))
    .map((call) => {
      const runs = runsById.get(call.id) ?? [];
      return { guarantee, detail: JSON.stringify({ ...call, body: call.body.length, runs }) };
    });
}

/** Checks that a request that must not be retried runs at most once. */
function checkRunsOnce(context: Context): Violation[] {
  return listViolations(
    context,
    'runs at most once',
    (call, runs) => !isRepeatable(call) && runs.length > 1,
  );
}

/** Checks that a request refused as "not run" never runs, also not later. */
function checkNotRun(context: Context): Violation[] {
  return listViolations(
    context,
    'not run is true',
    (call, runs) =>
      !isRepeatable(call) &&
      call.response !== undefined &&
      NOT_RUN_STATUSES.has(call.response.status) &&
      runs.length > 0,
  );
}

/**
 * Checks that a successful response is the one that a backend server gave to this request:
 * complete and signed, or else a prefix of it that is visibly truncated.
 */
function checkAnswers(context: Context): Violation[] {
  return listViolations(context, 'complete response', (call, runs) => {
    const { response } = call;
    if (response === undefined || !isSuccess(response)) {
      return false;
    }
    const expected = soakRecords.buildExpectedBody(call);
    const body = soakRecords.dropVersions(response.body);
    const isPrefix = expected.startsWith(body);
    return response.isComplete
      ? body !== expected || !response.isSigned || runs.length === 0
      : !isPrefix;
  });
}

/** Checks that requests reach backend servers unchanged, with the workspace and without the key. */
function checkRequests({ records, callById }: Context): Violation[] {
  return records.runs
    .filter((run) => {
      const call = callById.get(run.id);
      return (
        call === undefined ||
        run.hasCredential ||
        run.method !== 'POST' ||
        run.path !== call.path ||
        run.body !== call.body ||
        run.workspace !== call.workspace
      );
    })
    .map((run) => ({ guarantee: 'request as sent', detail: JSON.stringify(run) }));
}

/** Whether a disturbance or store fault of a gateway overlaps a period. */
function isOverlapping(
  one: { gateway: number | undefined; fromMs: number; untilMs: number },
  gateway: number | undefined,
  fromMs: number,
  untilMs: number,
): boolean {
  const isItsOwn = one.gateway === undefined || one.gateway === gateway;
  return isItsOwn && one.fromMs <= untilMs && one.untilMs >= fromMs;
}

/**
 * Computes until when a gateway may be unaware of a change that a restored store has lost.
 * That holds if the gateway couldn't read the change before the restore, or restarted before
 * the change was written again.
 */
function computeUnawareUntil(
  { records: { storeGaps, disturbances, storeFaults } }: Context,
  gateway: number | undefined,
  atMs: number,
): number {
  const gaps = storeGaps.filter(
    ({ fromMs, untilMs }) =>
      fromMs >= atMs &&
      (fromMs - atMs < READING_MS ||
        storeFaults.some((one) => isOverlapping(one, gateway, atMs, fromMs)) ||
        disturbances.some((one) => isOverlapping(one, gateway, atMs, untilMs))),
  );
  return Math.max(atMs, ...gaps.map(({ untilMs }) => untilMs));
}

/** Checks that no request with a revoked key runs later than the bound after the revocation. */
function checkRevocations(context: Context): Violation[] {
  const { records, bounds, callById } = context;
  return records.revocations.flatMap(({ credential, atMs }) =>
    records.runs
      .filter((run) => {
        const call = callById.get(run.id);
        const sinceMs = computeUnawareUntil(context, call?.gateway, atMs);
        return call?.credential === credential && call.sentMs > sinceMs + bounds.revocationMs;
      })
      .map((run) => ({ guarantee: 'revoked key', detail: JSON.stringify(run) })),
  );
}

/** Checks that no request runs in a failure domain later than the bound after its evacuation. */
function checkEvacuations(context: Context): Violation[] {
  const { records, bounds, callById } = context;
  return records.evacuations.flatMap(({ failureDomain, fromMs, untilMs }) =>
    records.runs
      .filter((run) => run.failureDomain === failureDomain)
      .filter(({ id, atMs }) => {
        const sinceMs = computeUnawareUntil(context, callById.get(id)?.gateway, fromMs);
        return atMs > sinceMs + bounds.evacuationMs && atMs < untilMs;
      })
      .map((run) => ({ guarantee: 'evacuated domain', detail: JSON.stringify(run) })),
  );
}

/** Sorts times in place, ascending. */
function sortTimes(times: number[]): number[] {
  return times.sort((a, b) => a - b);
}

/** Returns the index of the first of the sorted times that is not before `atMs`. */
function findFrom(times: readonly number[], atMs: number): number {
  let [low, high] = [0, times.length];
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    [low, high] = times[middle] < atMs ? [middle + 1, high] : [low, middle];
  }
  return low;
}

/** Counts the sorted times within a window that starts at `fromMs`. */
function countWithin(times: readonly number[], fromMs: number, windowMs: number): number {
  return findFrom(times, fromMs + windowMs) - findFrom(times, fromMs);
}

/** Checks that retries stay within the retry budget that all gateways share. */
function checkRetries({ records, bounds }: Context): Violation[] {
  const retries = sortTimes([...records.arrivals.values()].flatMap((times) => times.slice(1)));
  const calls = sortTimes(records.calls.map(({ sentMs }) => sentMs));
  return retries.flatMap((fromMs) => {
    const count = countWithin(retries, fromMs, RETRY_WINDOW_MS);
    const allowed =
      bounds.retryRatio * countWithin(calls, fromMs, RETRY_WINDOW_MS) + bounds.retryExtra;
    return count > allowed
      ? [{ guarantee: 'retry budget', detail: JSON.stringify({ fromMs, count, allowed }) }]
      : [];
  });
}

/** Checks that no gateway process exited by itself. */
function checkProcesses({ records }: Context): Violation[] {
  return records.unexpectedExits.map((one) => ({
    guarantee: 'no unexpected exit',
    detail: JSON.stringify(one),
  }));
}

/** Whether the gateway of a call was disturbed during the call. */
function isDisturbed({ records }: Context, call: soakRecords.CallRecord): boolean {
  return records.disturbances.some(
    ({ gateway, fromMs, untilMs }) =>
      gateway === call.gateway && fromMs <= call.endedMs && untilMs >= call.sentMs,
  );
}

/** Checks that a call through an undisturbed gateway gets a response within its deadline. */
function checkAnswered(context: Context): Violation[] {
  return listViolations(context, 'response in time', (call) => {
    const isExpected = call.disconnectedMs === 0 && !isDisturbed(context, call);
    const isLate = call.endedMs - call.sentMs > call.deadlineMs + LATE_MS;
    return isExpected && (call.response === undefined || isLate);
  });
}

/** Checks that no request starts on a backend server after its caller disconnected. */
function checkDisconnected(context: Context): Violation[] {
  return listViolations(context, 'no work after a caller disconnects', (call, runs) => {
    const isOver = call.disconnectedMs > 0 && !isDisturbed(context, call);
    const computeAfterMs = (untilMs: number) =>
      soakStalls.computeAwakeMs(context.records, { fromMs: call.disconnectedMs, untilMs });
    return isOver && runs.some(({ atMs }) => computeAfterMs(atMs) > LATE_MS);
  });
}

/** Checks all guarantees. */
export function checkRecords(records: soakRecords.SoakRecords, bounds: SoakBounds): Violation[] {
  const runsById = new Map<string, soakRecords.RunRecord[]>();
  records.runs.forEach((run) => runsById.set(run.id, [...(runsById.get(run.id) ?? []), run]));
  const callById = new Map(records.calls.map((call) => [call.id, call]));
  const context = { records, bounds, runsById, callById };
  const stopContext = { records, runsById, routeTimeoutMs: bounds.routeTimeoutMs };
  const always = [
    checkRunsOnce,
    checkNotRun,
    checkAnswers,
    checkRequests,
    checkRevocations,
    checkEvacuations,
    checkRetries,
    checkProcesses,
  ];
  const timed = bounds.areTimesChecked ? [checkAnswered, checkDisconnected] : [];
  return [
    ...[...always, ...timed].flatMap((check) => check(context)),
    ...soakCrashChecks.checkCrashes(records, callById),
    ...soakLimitChecks.checkLimits(records, callById),
    ...soakStatementChecks.checkStatements(records, callById),
    ...soakPartChecks.checkParts(records),
    ...soakStopChecks.checkStops(stopContext),
    ...soakConnectionChecks.checkConnections(stopContext),
    ...soakStreamChecks.checkRunAgain(records, runsById),
    ...soakVersionChecks.checkVersions(records),
  ];
}
