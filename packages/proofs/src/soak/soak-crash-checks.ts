/** Checks that gateways of the soak test stop a request that ends backend servers. */
import * as soakRecords from './soak-records.js';

export type CrashViolation = { guarantee: string; detail: string };

/** Lost backend servers after which the request must stop, and the time for that, milliseconds. */
const LOST_SERVERS = 3;
const STOP_MS = 3000;
/** Requests that may reach backend servers all the same. */
const MAX_LATE = 3;

/** Returns whether a gateway has been undisturbed for long enough. */
export function isInTouch(
  { disturbances }: soakRecords.SoakRecords,
  gateway: number,
  atMs: number,
): boolean {
  return !disturbances.some(
    (one) => one.gateway === gateway && one.fromMs <= atMs && one.untilMs >= atMs - STOP_MS,
  );
}

/** Checks that hardly any crashing request reaches a backend server once it has ended three. */
export function checkCrashes(
  records: soakRecords.SoakRecords,
  callById: ReadonlyMap<string, soakRecords.CallRecord>,
): CrashViolation[] {
  const thirdMs = records.crashes[LOST_SERVERS - 1]?.atMs ?? Infinity;
  const late = records.runs.filter(soakRecords.isCrashing).filter(({ id, atMs }) => {
    const gateway = callById.get(id)?.gateway ?? -1;
    return atMs > thirdMs + STOP_MS && isInTouch(records, gateway, atMs);
  });
  const detail = JSON.stringify({ crashes: records.crashes, late });
  return late.length > MAX_LATE ? [{ guarantee: 'crashing request stops', detail }] : [];
}
