/** Passes the usage that gateways of other groups report on to the gateways of the own group. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';

/** A report that waits to be passed on. */
type PendingReport = { report: schema.GatewayReport; receivedMs: number };

/** The latest report of each incarnation, by the hash of its key. */
export type RelayQueue = Map<number, PendingReport>;

/**
 * Reports that a process reads after a longer pause than this are not passed on, in milliseconds:
 * they may have arrived before the pause, and their senders would look alive for longer.
 */
const MAX_PAUSE_MS = 2 * gateway.REPORT_MS;
/** Limit for the reports in one datagram, bytes, so that it stays below 1,400. */
const MAX_PART_BYTES = 1300;
/** Bytes of a report besides its totals, of a total, and of a name besides its text, at most. */
const REPORT_BYTES = 32;
const AMOUNT_BYTES = 11;
const NAME_BYTES = 3;
/** Unit of the upper part of a total. */
const HIGH_UNIT = 2 ** 32;

/** Adds a report to the queue if its sender asks for that. */
export function enqueueReport(
  queue: RelayQueue,
  report: schema.GatewayReport,
  lastRoundMs: number,
  now: number,
): void {
  const key = gateway.hashLifeKey(report);
  const pending = queue.get(key);
  const isNewer = pending === undefined || pending.report.sequence < report.sequence;
  if (report.relay && isNewer && now - lastRoundMs <= MAX_PAUSE_MS) {
    queue.set(key, { report, receivedMs: now });
  }
}

/** Estimates the bytes that a report adds to a part, and the workspaces that it names first. */
function estimateBytes(
  { report }: PendingReport,
  named: ReadonlySet<string>,
): { bytes: number; names: string[] } {
  const names = report.used.map(({ workspace }) => workspace).filter((name) => !named.has(name));
  const nameBytes = names.reduce((sum, name) => sum + NAME_BYTES + Buffer.byteLength(name), 0);
  return { bytes: REPORT_BYTES + AMOUNT_BYTES * report.used.length + nameBytes, names };
}

/** Splits reports so that each part fits a datagram. */
function listParts(all: readonly PendingReport[]): PendingReport[][] {
  const parts: PendingReport[][] = [];
  let named = new Set<string>();
  let total = Infinity;
  all.forEach((pending) => {
    if (total + estimateBytes(pending, named).bytes > MAX_PART_BYTES) {
      parts.push([]);
      named = new Set();
      total = 0;
    }
    const { bytes, names } = estimateBytes(pending, named);
    names.forEach((name) => named.add(name));
    total += bytes;
    parts.at(-1)?.push(pending);
  });
  return parts;
}

/** Encodes totals; as numbers of variable length they take half the bytes of other numbers. */
function encodeAmounts(
  totals: readonly number[],
): Pick<schema.RelayedReport, 'amounts' | 'amountsHigh'> {
  const rounded = totals.map((total) => Math.max(Math.round(total), 0));
  const high = rounded.map((total) => Math.floor(total / HIGH_UNIT));
  return {
    amounts: rounded.map((total) => total % HIGH_UNIT),
    amountsHigh: high.some((one) => one > 0) ? high : [],
  };
}

/** Decodes one of the totals of a report. */
function decodeAmount({ amounts, amountsHigh }: schema.RelayedReport, at: number): number {
  return amounts[at] + (amountsHigh[at] ?? 0) * HIGH_UNIT;
}

/** Encodes the reports of one datagram. */
function buildPart(part: readonly PendingReport[], now: number): schema.RelayedReports {
  const workspaces = [
    ...new Set(part.flatMap(({ report }) => report.used.map(({ workspace }) => workspace))),
  ];
  const indexes = new Map(workspaces.map((workspace, index) => [workspace, index]));
  const reports = part.map(({ report, receivedMs }) =>
    schema.create(schema.RelayedReportSchema, {
      sender: gateway.hashLifeKey(report),
      sequence: report.sequence,
      leaving: report.leaving,
      ageMs: Math.round(now - receivedMs),
      workspaceCount: report.workspaceCount,
      workspaces: report.used.map(({ workspace }) => indexes.get(workspace) ?? 0),
      ...encodeAmounts(report.used.map(({ amount }) => amount)),
    }),
  );
  return schema.create(schema.RelayedReportsSchema, { workspaces, reports });
}

/** Removes all reports from the queue and encodes them for passing on. */
export function takeRelayed(queue: RelayQueue, now: number): schema.RelayedReports[] {
  const parts = listParts([...queue.values()]).map((part) => buildPart(part, now));
  queue.clear();
  return parts;
}

/** Applies reports that another gateway has passed on; charges quotas with what they add. */
export function applyRelayed(
  { peers, quotas }: gateway.GatewayState,
  { workspaces, reports }: schema.RelayedReports,
  now: number,
): void {
  reports.forEach((report) => {
    const used = new Map(
      report.workspaces.map((index, at) => [workspaces[index], decodeAmount(report, at)]),
    );
    gateway
      .applyRelayed(peers, { ...report, workspaceCount: report.workspaceCount, used }, now)
      .forEach(({ workspace, amount }) => gateway.applyPeerUse(quotas, workspace, amount, now));
  });
}
