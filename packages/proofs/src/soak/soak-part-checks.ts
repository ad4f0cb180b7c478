/** Checks that gateways of the soak test stop requests with a part that ends backend servers. */
import * as soakCrashChecks from './soak-crash-checks.js';
import * as soakRecords from './soak-records.js';

/** Lost backend servers after which the requests must stop, and the time for that, milliseconds. */
const LOST_SERVERS = 5;
const STOP_MS = 3000;
/** Requests that may reach backend servers all the same. */
const MAX_LATE = 3;
/** Time after which sound requests must be served again, milliseconds, and how often. */
const SERVED_MS = 6000;
const MIN_SERVED_SHARE = 0.5;
const MIN_CALLS = 20;

/** Computes the share of calls that were served. */
function computeServedShare(calls: readonly soakRecords.CallRecord[]): number {
  const served = calls.filter(
    ({ response }) => response?.status === 200 && response.isComplete,
  ).length;
  return served / calls.length;
}

/** Checks that hardly any request with the part reaches a backend server once five were lost. */
function checkLate(
  records: soakRecords.SoakRecords,
  calls: readonly soakRecords.CallRecord[],
  fifthMs: number,
): soakCrashChecks.CrashViolation[] {
  const late = calls
    .filter(soakRecords.hasCrashingPart)
    .flatMap(({ id, gateway }) =>
      (records.arrivals.get(id) ?? []).map((atMs) => ({ id, gateway, atMs })),
    )
    .filter(({ atMs }) => atMs > fifthMs + STOP_MS)
    .filter(({ gateway, atMs }) => soakCrashChecks.isInTouch(records, gateway, atMs));
  const detail = JSON.stringify({ fifthMs, crashes: records.partCrashes.length, late });
  return late.length > MAX_LATE ? [{ guarantee: 'crashing part stops', detail }] : [];
}

/** Checks that sound requests are served while requests with the part still come. */
function checkSound(
  records: soakRecords.SoakRecords,
  calls: readonly soakRecords.CallRecord[],
  fifthMs: number,
): soakCrashChecks.CrashViolation[] {
  const firstMs = records.partCrashes[0]?.atMs ?? Infinity;
  const crashing = calls.filter(soakRecords.hasCrashingPart);
  const lastMs = Math.max(...crashing.map(({ sentMs }) => sentMs));
  const sound = calls.filter(
    (call) =>
      !soakRecords.hasCrashingPart(call) &&
      soakCrashChecks.isInTouch(records, call.gateway, call.endedMs),
  );
  const before = sound.filter(({ endedMs }) => endedMs < firstMs);
  const after = sound.filter(({ sentMs }) => sentMs > fifthMs + SERVED_MS && sentMs < lastMs);
  const [usual, share] = [computeServedShare(before), computeServedShare(after)];
  const isChecked = before.length >= MIN_CALLS && after.length >= MIN_CALLS;
  const detail = JSON.stringify({ fifthMs, calls: [before.length, after.length], usual, share });
  return isChecked && share < MIN_SERVED_SHARE * usual
    ? [{ guarantee: 'sound requests beside a crashing part', detail }]
    : [];
}

/** Checks requests with and without a part of the prompt that ends backend servers. */
export function checkParts(records: soakRecords.SoakRecords): soakCrashChecks.CrashViolation[] {
  const fifthMs = records.partCrashes[LOST_SERVERS - 1]?.atMs ?? Infinity;
  const calls = records.calls.filter(({ parts }) => parts !== undefined);
  return [...checkLate(records, calls, fifthMs), ...checkSound(records, calls, fifthMs)];
}
