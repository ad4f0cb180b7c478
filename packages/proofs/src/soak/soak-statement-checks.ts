/** Checks that gateways of the soak test respected what backend servers stated. */
import * as soakRecords from './soak-records.js';

export type StatementViolation = { guarantee: string; detail: string };

/**
 * A call sent within this time after a gateway learned of a statement may still have been
 * scheduled without it, milliseconds.
 */
const LEAVING_SLACK_MS = 100;
/** Requests in transit when a gateway receives a refusal arrive within this time, milliseconds. */
const IN_TRANSIT_MS = 500;
/**
 * Tolerance at the end of a backoff, milliseconds. The gateway counts the backoff from the arrival
 * of the refusal, but the records have the time at the backend server, and the refusal arrives some
 * time after it was sent.
 */
const ARRIVAL_MS = 50;
/** Requests that may reach a backend server from one gateway within a backoff. */
const MAX_WITHIN_BACKOFF = 2;

/** A gateway that has read a statement: when that was sent, and by when it was read. */
type InformedGateway = { gateway: number; announcedMs: number; informedMs: number };

/**
 * Lists the gateways that must have read a statement, as the call whose response carried it
 * has ended with 200 or 503.
 */
function listInformedGateways(
  { announced }: soakRecords.StatementRecord,
  callById: ReadonlyMap<string, soakRecords.CallRecord>,
): InformedGateway[] {
  return announced.flatMap(({ id, atMs: announcedMs }) => {
    const call = callById.get(id);
    const isRead = call?.response?.status === 200 || call?.response?.status === 503;
    return call !== undefined && isRead && call.endedMs > 0
      ? [{ gateway: call.gateway, announcedMs, informedMs: call.endedMs }]
      : [];
  });
}

/** Whether a gateway was disturbed within a period. */
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

/** Checks that a gateway that knows a backend server is leaving sends it no new requests. */
function checkLeaving(
  records: soakRecords.SoakRecords,
  statement: soakRecords.StatementRecord,
  callById: ReadonlyMap<string, soakRecords.CallRecord>,
): StatementViolation[] {
  const { server, arrivals } = statement;
  const informed = listInformedGateways(statement, callById);
  return arrivals.flatMap(({ id, atMs }) => {
    const call = callById.get(id);
    const isBroken = informed.some(
      ({ gateway, announcedMs, informedMs }) =>
        gateway === call?.gateway &&
        call.sentMs > informedMs + LEAVING_SLACK_MS &&
        !isExcused(records, gateway, announcedMs, atMs),
    );
    const detail = JSON.stringify({ server, id, atMs, gateway: call?.gateway });
    return isBroken ? [{ guarantee: 'no requests to a leaving server', detail }] : [];
  });
}

/** Checks that a gateway asked for a backoff sends at most a few requests within it. */
function checkBackoff(
  records: soakRecords.SoakRecords,
  statement: soakRecords.StatementRecord,
  callById: ReadonlyMap<string, soakRecords.CallRecord>,
): StatementViolation[] {
  const { server, backoffMs, arrivals } = statement;
  return listInformedGateways(statement, callById).flatMap(
    ({ gateway, announcedMs, informedMs }) => {
      const untilMs = announcedMs + backoffMs - ARRIVAL_MS;
      const isWithin = (atMs: number) => atMs > informedMs + IN_TRANSIT_MS && atMs < untilMs;
      const count = arrivals.filter(
        ({ id, atMs }) => isWithin(atMs) && callById.get(id)?.gateway === gateway,
      ).length;
      const isBroken =
        count > MAX_WITHIN_BACKOFF && !isExcused(records, gateway, announcedMs, untilMs);
      const detail = JSON.stringify({ server, gateway, announcedMs, backoffMs, count });
      return isBroken ? [{ guarantee: 'no requests within a backoff', detail }] : [];
    },
  );
}

/** Checks the requests that followed each statement. */
export function checkStatements(
  records: soakRecords.SoakRecords,
  callById: ReadonlyMap<string, soakRecords.CallRecord>,
): StatementViolation[] {
  return records.statements.flatMap((statement) =>
    statement.kind === soakRecords.StatementKind.LEAVING
      ? checkLeaving(records, statement, callById)
      : checkBackoff(records, statement, callById),
  );
}
