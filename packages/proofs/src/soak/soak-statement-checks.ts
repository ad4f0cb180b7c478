/** Whether gateways of a soak kept to what backend servers had stated. */
import * as soakRecords from './soak-records.js';

export type BrokenStatement = { promise: string; detail: string };

/** A request was decided on before the answer was known where it is not older than this, ms. */
const LEAVING_SLACK_MS = 100;
/** Requests on their way when a refusal comes arrive within this time, milliseconds. */
const ON_WAY_MS = 500;
/** A backoff runs from the arrival of the refusal, some time after its sending, milliseconds. */
const ARRIVAL_MS = 50;
/** Requests that may reach a backend server within a backoff. */
const MOST_WITHIN_BACKOFF = 2;

/** A gateway that is known to have read a statement: when it was sent, and read at the latest. */
type KnownStatement = { gateway: number; toldMs: number; knownMs: number };

/** Lists the gateways that have passed an answer on, or have tried the request elsewhere. */
function listKnown(
  { told }: soakRecords.StatementRecord,
  callById: ReadonlyMap<string, soakRecords.CallRecord>,
): KnownStatement[] {
  return told.flatMap(({ id, atMs: toldMs }) => {
    const call = callById.get(id);
    const isRead = call?.answer?.status === 200 || call?.answer?.status === 503;
    return call !== undefined && isRead && call.endedMs > 0
      ? [{ gateway: call.gateway, toldMs, knownMs: call.endedMs }]
      : [];
  });
}

/** Tells whether something was done to a gateway within a time. */
function isExcused(
  { disturbances }: soakRecords.SoakRecords,
  gateway: number,
  fromMs: number,
  untilMs: number,
): boolean {
  return disturbances.some(
    (one) => one.gateway === gateway && one.fromMs <= untilMs && one.untilMs >= fromMs,
  );
}

/** Nothing new comes from a gateway that knows that a backend server leaves. */
function checkLeaving(
  records: soakRecords.SoakRecords,
  statement: soakRecords.StatementRecord,
  callById: ReadonlyMap<string, soakRecords.CallRecord>,
): BrokenStatement[] {
  const { server, arrivals } = statement;
  const allKnown = listKnown(statement, callById);
  return arrivals.flatMap(({ id, atMs }) => {
    const call = callById.get(id);
    const isBroken = allKnown.some(
      ({ gateway, toldMs, knownMs }) =>
        gateway === call?.gateway &&
        call.sentMs > knownMs + LEAVING_SLACK_MS &&
        !isExcused(records, gateway, toldMs, atMs),
    );
    const detail = JSON.stringify({ server, id, atMs, gateway: call?.gateway });
    return isBroken ? [{ promise: 'nothing to a server that leaves', detail }] : [];
  });
}

/** Hardly anything comes within a backoff from the gateway that was asked for it. */
function checkBackoff(
  records: soakRecords.SoakRecords,
  statement: soakRecords.StatementRecord,
  callById: ReadonlyMap<string, soakRecords.CallRecord>,
): BrokenStatement[] {
  const { server, backoffMs, arrivals } = statement;
  return listKnown(statement, callById).flatMap(({ gateway, toldMs, knownMs }) => {
    const untilMs = toldMs + backoffMs - ARRIVAL_MS;
    const isWithin = (atMs: number) => atMs > knownMs + ON_WAY_MS && atMs < untilMs;
    const count = arrivals.filter(
      ({ id, atMs }) => isWithin(atMs) && callById.get(id)?.gateway === gateway,
    ).length;
    const isBroken = count > MOST_WITHIN_BACKOFF && !isExcused(records, gateway, toldMs, untilMs);
    const detail = JSON.stringify({ server, gateway, toldMs, backoffMs, count });
    return isBroken ? [{ promise: 'nothing within a backoff', detail }] : [];
  });
}

/** Checks what came after each statement. */
export function checkStatements(
  records: soakRecords.SoakRecords,
  callById: ReadonlyMap<string, soakRecords.CallRecord>,
): BrokenStatement[] {
  return records.statements.flatMap((statement) =>
    statement.kind === soakRecords.StatementKind.LEAVING
      ? checkLeaving(records, statement, callById)
      : checkBackoff(records, statement, callById),
  );
}
