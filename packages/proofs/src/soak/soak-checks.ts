/** The promises of the pages, checked from what callers and backend servers saw. */
import * as soakRecords from './soak-records.js';
import * as soakStatementChecks from './soak-statement-checks.js';

/** What a deployment promises, and how much of it may be taken up. */
export type SoakBounds = {
  revocationMs: number;
  evacuationMs: number;
  retryRatio: number;
  retryExtra: number;
  /** Also checks times, which hold only where the machine is not too busy. */
  areTimesChecked: boolean;
};

export type Violation = { promise: string; detail: string };

type Context = {
  records: soakRecords.SoakRecords;
  bounds: SoakBounds;
  runsById: Map<string, soakRecords.RunRecord[]>;
  callById: Map<string, soakRecords.CallRecord>;
};

const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const RETRY_WINDOW_MS = 10_000;
/** In this time a gateway reads a change, one lost call included, milliseconds. */
const READING_MS = 2650;
/** Time over which a backend server with a rate limit counts, milliseconds. */
const LIMIT_WINDOW_MS = 4000;
/** A gateway keeps a limit this long after it was first named, and after it was told, ms. */
const LIMIT_LEARNING_MS = 3000;
const LIMIT_TOLD_MS = 500;
/** What a limited backend server may get: a multiple of its limit, and some requests. */
const LIMIT_FACTOR = 1.5;
const LIMIT_EXTRA = 5;
/** An answer that is due may come this late, milliseconds; the machine may be busy. */
const LATE_MS = 1000;

/** Tells whether a request may run more than once. */
function isRepeatable({ kind }: soakRecords.CallRecord): boolean {
  return kind === soakRecords.CallKind.SAFE || kind === soakRecords.CallKind.RESUMABLE;
}

/** Tells whether an answer is a success. */
function isSuccess(answer: soakRecords.CallAnswer): boolean {
  return answer.status >= 200 && answer.status < 300;
}

/** Lists the calls for which something does not hold. */
function listCalls(
  { records, runsById }: Context,
  promise: string,
  isBroken: (call: soakRecords.CallRecord, runs: soakRecords.RunRecord[]) => boolean,
): Violation[] {
  return records.calls
    .filter((call) => isBroken(call, runsById.get(call.id) ?? []))
    .map((call) => {
      const runs = runsById.get(call.id) ?? [];
      return { promise, detail: JSON.stringify({ ...call, body: call.body.length, runs }) };
    });
}

/** A request that must not be repeated runs once at most. */
function checkRunsOnce(context: Context): Violation[] {
  return listCalls(context, 'runs once', (call, runs) => !isRepeatable(call) && runs.length > 1);
}

/** A refusal that says "not run" is true for good. */
function checkNotRun(context: Context): Violation[] {
  return listCalls(
    context,
    'not run is true',
    (call, runs) =>
      !isRepeatable(call) &&
      call.answer !== undefined &&
      NOT_RUN_STATUSES.has(call.answer.status) &&
      runs.length > 0,
  );
}

/** A success is the whole answer of a backend server to this very request. */
function checkAnswers(context: Context): Violation[] {
  return listCalls(context, 'whole answer', (call, runs) => {
    const { answer } = call;
    if (answer === undefined || !isSuccess(answer)) {
      return false;
    }
    const expected = soakRecords.buildExpectedBody(call);
    const isPrefix = expected.startsWith(answer.body);
    return answer.isWhole
      ? answer.body !== expected || !answer.isSigned || runs.length === 0
      : !isPrefix;
  });
}

/** A backend server runs what a caller sent, under its workspace, without its key. */
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
    .map((run) => ({ promise: 'request as sent', detail: JSON.stringify(run) }));
}

/** Tells whether something that lasts a time is over a gateway within another time. */
function isMet(
  one: { gateway: number | undefined; fromMs: number; untilMs: number },
  gateway: number | undefined,
  fromMs: number,
  untilMs: number,
): boolean {
  const isItsOwn = one.gateway === undefined || one.gateway === gateway;
  return isItsOwn && one.fromMs <= untilMs && one.untilMs >= fromMs;
}

/**
 * Computes until when a gateway may not know of a change that the store has lost: it could
 * not read it before, or has started since and the store does not have it.
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
        storeFaults.some((one) => isMet(one, gateway, atMs, fromMs)) ||
        disturbances.some((one) => isMet(one, gateway, atMs, untilMs))),
  );
  return Math.max(atMs, ...gaps.map(({ untilMs }) => untilMs));
}

/** No request with a key that was taken away runs after the bound. */
function checkRevocations(context: Context): Violation[] {
  const { records, bounds, callById } = context;
  return records.revocations.flatMap(({ credential, atMs }) =>
    records.runs
      .filter((run) => {
        const call = callById.get(run.id);
        const sinceMs = computeUnawareUntil(context, call?.gateway, atMs);
        return call?.credential === credential && call.sentMs > sinceMs + bounds.revocationMs;
      })
      .map((run) => ({ promise: 'revoked key', detail: JSON.stringify(run) })),
  );
}

/** No request runs in a failure domain later than the bound after it was evacuated. */
function checkEvacuations(context: Context): Violation[] {
  const { records, bounds, callById } = context;
  return records.evacuations.flatMap(({ failureDomain, fromMs, untilMs }) =>
    records.runs
      .filter((run) => run.failureDomain === failureDomain)
      .filter(({ id, atMs }) => {
        const sinceMs = computeUnawareUntil(context, callById.get(id)?.gateway, fromMs);
        return atMs > sinceMs + bounds.evacuationMs && atMs < untilMs;
      })
      .map((run) => ({ promise: 'evacuated domain', detail: JSON.stringify(run) })),
  );
}

/** Sorts times. */
function sortTimes(times: number[]): number[] {
  return times.sort((a, b) => a - b);
}

/** Finds where in sorted times the first is that is not before another. */
function findFrom(times: readonly number[], atMs: number): number {
  let [low, high] = [0, times.length];
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    [low, high] = times[middle] < atMs ? [middle + 1, high] : [low, middle];
  }
  return low;
}

/** Counts the sorted times within a window. */
function countWithin(times: readonly number[], fromMs: number, windowMs: number): number {
  return findFrom(times, fromMs + windowMs) - findFrom(times, fromMs);
}

/** Repeats stay within the budget that all gateways share. */
function checkRetries({ records, bounds }: Context): Violation[] {
  const repeats = sortTimes([...records.arrivals.values()].flatMap((times) => times.slice(1)));
  const calls = sortTimes(records.calls.map(({ sentMs }) => sentMs));
  return repeats.flatMap((fromMs) => {
    const count = countWithin(repeats, fromMs, RETRY_WINDOW_MS);
    const allowed =
      bounds.retryRatio * countWithin(calls, fromMs, RETRY_WINDOW_MS) + bounds.retryExtra;
    return count > allowed
      ? [{ promise: 'retry budget', detail: JSON.stringify({ fromMs, count, allowed }) }]
      : [];
  });
}

/** Lists when requests came that a gateway sent though it had been told and is not excused. */
function listToldArrivals(
  { records, callById }: Context,
  limit: soakRecords.LimitRecord,
): number[] {
  const findGateway = (id: string) => callById.get(id)?.gateway;
  const firstMs = limit.told[0]?.atMs ?? Infinity;
  return limit.arrivals
    .filter(({ id, atMs }) => {
      const gateway = findGateway(id);
      const toldBeforeMs = atMs - LIMIT_TOLD_MS;
      const isExcused = records.disturbances.some(
        (one) =>
          one.gateway === gateway && one.fromMs <= atMs && one.untilMs >= atMs - LIMIT_WINDOW_MS,
      );
      const isTold = limit.told.some(
        (one) => findGateway(one.id) === gateway && one.atMs <= toldBeforeMs,
      );
      return atMs >= firstMs + LIMIT_LEARNING_MS && isTold && !isExcused;
    })
    .map(({ atMs }) => atMs);
}

/** A backend server that names a rate limit gets no more than it may. */
function checkLimits(context: Context): Violation[] {
  return context.records.limits.flatMap((limit) => {
    const times = listToldArrivals(context, limit);
    const { server, perSecond } = limit;
    const allowed = LIMIT_FACTOR * perSecond * (LIMIT_WINDOW_MS / 1000) + LIMIT_EXTRA;
    return times.flatMap((fromMs) => {
      const untilMs = fromMs + LIMIT_WINDOW_MS;
      const count = times.filter((at) => at >= fromMs && at < untilMs).length;
      const detail = JSON.stringify({ server, perSecond, fromMs, count, allowed });
      return count > allowed ? [{ promise: 'rate limit', detail }] : [];
    });
  });
}

/** Gateways do not end by themselves. */
function checkProcesses({ records }: Context): Violation[] {
  return records.unexpectedEnds.map((one) => ({
    promise: 'process stays up',
    detail: JSON.stringify(one),
  }));
}

/** Tells whether something was done to the gateway of a call while it lasted. */
function isDisturbed({ records }: Context, call: soakRecords.CallRecord): boolean {
  return records.disturbances.some(
    ({ gateway, fromMs, untilMs }) =>
      gateway === call.gateway && fromMs <= call.endedMs && untilMs >= call.sentMs,
  );
}

/** A call through a gateway that nothing is done to is answered within its deadline. */
function checkAnswered(context: Context): Violation[] {
  return listCalls(context, 'answered in time', (call) => {
    const isOwed = call.leftMs === 0 && !isDisturbed(context, call);
    const isLate = call.endedMs - call.sentMs > call.deadlineMs + LATE_MS;
    return isOwed && (call.answer === undefined || isLate);
  });
}

/** Nothing is sent to a backend server after its caller has left. */
function checkLeft(context: Context): Violation[] {
  return listCalls(context, 'work of a caller that left', (call, runs) => {
    const isOver = call.leftMs > 0 && !isDisturbed(context, call);
    return isOver && runs.some((run) => run.atMs > call.leftMs + LATE_MS);
  });
}

/** Checks all promises. */
export function checkRecords(records: soakRecords.SoakRecords, bounds: SoakBounds): Violation[] {
  const runsById = new Map<string, soakRecords.RunRecord[]>();
  records.runs.forEach((run) => runsById.set(run.id, [...(runsById.get(run.id) ?? []), run]));
  const callById = new Map(records.calls.map((call) => [call.id, call]));
  const context = { records, bounds, runsById, callById };
  const always = [
    checkRunsOnce,
    checkNotRun,
    checkAnswers,
    checkRequests,
    checkRevocations,
    checkEvacuations,
    checkRetries,
    checkLimits,
    checkProcesses,
  ];
  const timed = bounds.areTimesChecked ? [checkAnswered, checkLeft] : [];
  return [
    ...[...always, ...timed].flatMap((check) => check(context)),
    ...soakStatementChecks.checkStatements(records, callById),
  ];
}
