/** Checks that gateways of the soak test recognise where a response ends. */
import type * as soakRecords from './soak-records.js';

export type StreamViolation = { guarantee: string; detail: string };

/** Whether a fault disturbed the gateway of a call, or a backend server that ran it. */
function isDisturbed(
  { disturbances, serverFaults }: soakRecords.SoakRecords,
  { gateway, sentMs, endedMs }: soakRecords.CallRecord,
  runs: readonly soakRecords.RunRecord[],
): boolean {
  const isDuring = ({ fromMs, untilMs }: { fromMs: number; untilMs: number }) =>
    fromMs <= endedMs && untilMs >= sentMs;
  return (
    disturbances.some((one) => one.gateway === gateway && isDuring(one)) ||
    serverFaults.some((one) => runs.some((run) => run.server === one.server) && isDuring(one))
  );
}

/** Describes a run without its body. */
function describeRun(run: soakRecords.RunRecord) {
  const { server, atMs, endedMs, isWhole, isBrokenOff, isMixedUp } = run;
  return { server, atMs, endedMs, isWhole, isBrokenOff, isMixedUp };
}

/** Checks that a request is not run again once a backend server has sent its whole response. */
export function checkRunAgain(
  records: soakRecords.SoakRecords,
  runsById: ReadonlyMap<string, readonly soakRecords.RunRecord[]>,
): StreamViolation[] {
  return records.calls.flatMap((call) => {
    const runs = runsById.get(call.id) ?? [];
    const whole = runs.find(({ isWhole, isMixedUp }) => isWhole && !isMixedUp);
    const again = runs.find(({ atMs }) => whole !== undefined && atMs > whole.endedMs);
    const isBroken = again !== undefined && !isDisturbed(records, call, runs);
    const { id, path, gateway } = call;
    const detail = JSON.stringify({ id, path, gateway, runs: runs.map(describeRun) });
    return isBroken ? [{ guarantee: 'a complete response is not run again', detail }] : [];
  });
}
