/** Checks that backend servers of the soak test get no more than the rate limits they announce. */
import type * as soakRecords from './soak-records.js';

export type LimitViolation = { guarantee: string; detail: string };

/** Window over which requests to a rate-limited backend server are counted, milliseconds. */
const LIMIT_WINDOW_MS = 4000;
/**
 * A limit is checked only this long after its first announcement, and for each gateway only
 * this long after an announcement that went through it, milliseconds.
 */
const LIMIT_LEARNING_MS = 3000;
const LIMIT_ANNOUNCED_MS = 500;
/** A limited backend server may get this multiple of its limit plus this many requests. */
const LIMIT_FACTOR = 1.5;
const LIMIT_EXTRA = 5;

/**
 * Lists the arrival times of requests from gateways that knew the rate limit and weren't
 * disturbed meanwhile.
 */
function listInformedArrivals(
  records: soakRecords.SoakRecords,
  callById: ReadonlyMap<string, soakRecords.CallRecord>,
  limit: soakRecords.LimitRecord,
): number[] {
  const findGateway = (id: string) => callById.get(id)?.gateway;
  const firstMs = limit.announced[0]?.atMs ?? Infinity;
  return limit.arrivals
    .filter(({ id, atMs }) => {
      const gateway = findGateway(id);
      const announcedBeforeMs = atMs - LIMIT_ANNOUNCED_MS;
      const isExcused = records.disturbances.some(
        (one) =>
          one.gateway === gateway && one.fromMs <= atMs && one.untilMs >= atMs - LIMIT_WINDOW_MS,
      );
      const isInformed = limit.announced.some(
        (one) => findGateway(one.id) === gateway && one.atMs <= announcedBeforeMs,
      );
      return atMs >= firstMs + LIMIT_LEARNING_MS && isInformed && !isExcused;
    })
    .map(({ atMs }) => atMs);
}

/** Checks that a backend server that announces a rate limit isn't sent more than it allows. */
export function checkLimits(
  records: soakRecords.SoakRecords,
  callById: ReadonlyMap<string, soakRecords.CallRecord>,
): LimitViolation[] {
  return records.limits.flatMap((limit) => {
    const times = listInformedArrivals(records, callById, limit);
    const { server, perSecond } = limit;
    const allowed = LIMIT_FACTOR * perSecond * (LIMIT_WINDOW_MS / 1000) + LIMIT_EXTRA;
    return times.flatMap((fromMs) => {
      const untilMs = fromMs + LIMIT_WINDOW_MS;
      const count = times.filter((at) => at >= fromMs && at < untilMs).length;
      const detail = JSON.stringify({ server, perSecond, fromMs, count, allowed });
      return count > allowed ? [{ guarantee: 'rate limit', detail }] : [];
    });
  });
}
