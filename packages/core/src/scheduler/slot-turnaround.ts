/**
 * Keeps the slots of plain backend servers busy between two requests.
 *
 * After a request has ended, its slot stays idle until the gateway has asked the scheduler and has
 * sent the request that was granted the slot. Gateways with a fraction of a core take tens of
 * milliseconds for this. When more short requests arrive than a service processes, a quarter of its
 * capacity would be lost. The scheduler therefore grants as many requests beyond the slots as would
 * start in that time; the backend server queues them briefly.
 *
 * Engines get no requests beyond their slots: they run what they queue in order of arrival, so a
 * more urgent request that arrives later would have to wait for a long response.
 */
import type * as cells from './cell.js';

/**
 * Maximum number of requests beyond the slots, as a share of them. Servers queue a few requests
 * only, and an overestimated turnaround must not move the queue from the scheduler to the servers.
 */
const MAX_AHEAD_SHARE = 0.5;

/** Estimates the turnaround of a slot, ms: the mean reply time by requests in flight. */
export function estimateTurnaroundMs({ askers }: Pick<cells.Cell, 'askers'>): number {
  let requests = 0;
  let totalMs = 0;
  askers.forEach(({ inFlight, replyMs }) =>
    inFlight.forEach((count) => {
      requests += count;
      totalMs += count * replyMs;
    }),
  );
  return requests === 0 ? 0 : totalMs / requests;
}

/**
 * Counts the requests that a backend server may get beyond its slots.
 *
 * @param runMs time that it takes for one request, milliseconds; 0 if unknown
 */
export function countGrantsAhead(slots: number, turnaroundMs: number, runMs: number): number {
  return runMs <= 0
    ? 0
    : Math.min(Math.round((slots * turnaroundMs) / runMs), Math.floor(slots * MAX_AHEAD_SHARE));
}
