/**
 * What the places at backend servers are shared by among the gateways.
 *
 * Each gateway tells the others how many requests it was asked for lately, those
 * that it refused included, and the places are shared in proportion. Load pattern: a
 * burst at many gateways. Shared by what each has in hand, a gateway with few places
 * refuses most of what it is asked for, has little in hand for that, and keeps few
 * places after the burst is over: with 26 gateways some refused eight in ten requests
 * for the rest of the day while engines had places free. Shared by what is asked for,
 * a day with two bursts served 0.67 of its worth, 0.63 before.
 *
 * What is in hand counts where it is more: requests sent, and those that wait and can
 * still be on time. Where late requests counted, a gateway with many of them would
 * take the places that have others' on time.
 */
import * as decayingCount from '../shared/decaying-count.js';
import * as gatewayState from './gateway-state.js';
import * as waiting from './waiting.js';

/**
 * Time in which a request counts less and less, milliseconds: long enough for a
 * gateway that gets a few requests a second, short enough for callers that move.
 */
const OFFERED_MS = 1000;

/** Notes a request that was asked for, whatever becomes of it. */
export function noteOffered(state: gatewayState.GatewayState, service: string, now: number): void {
  decayingCount.addCount(gatewayState.getServiceWork(state, service).offered, 1, now, OFFERED_MS);
}

/**
 * Notes the demand for each service and lists it for a report.
 *
 * Shares are worked out from what was told, also here. With the present number
 * each gateway would take a larger share at once, while the others give theirs
 * up only with the next report.
 */
export function updateToldDemand(
  state: gatewayState.GatewayState,
  now: number,
): Map<string, number> {
  state.services.forEach((work) => {
    const offered = Math.round(decayingCount.getCount(work.offered, now, OFFERED_MS));
    const onTime = work.queue.items.filter(({ rank }) => !waiting.isLateRank(rank)).length;
    work.toldDemand = Math.max(offered, work.inFlight + onTime);
  });
  const all = [...state.services].map(([service, work]) => [service, work.toldDemand] as const);
  return new Map(all.filter(([, requests]) => requests > 0));
}
