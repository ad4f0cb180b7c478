/** What a gateway wants to ask the schedulers of cells for, and to tell them. */
import * as schema from '@toucanproxy/schema';
import * as cellMap from './cell-map.js';
import * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as schedulerLink from './scheduler-link.js';
import * as schedulerRanking from './scheduler-ranking.js';

/** Observations that wait to be told, by link; older ones say little. */
const MAX_KEPT_OBSERVATIONS = 48;

/** Gets the cells of a service. */
export function getServiceCells(
  state: gatewayState.GatewayState,
  service: string,
  now: number,
): cellMap.ServiceCells {
  return cellMap.getServiceCells(state.cellMap, state.servers, service, now);
}

/** Chooses who schedules a cell. */
export function chooseScheduler(
  state: gatewayState.GatewayState,
  cellName: string,
  now: number,
): schedulerRanking.ChosenScheduler {
  const { address, processorPercent } = state;
  const own = { address, processorPercent };
  return schedulerRanking.chooseScheduler(state.ranking, state.peers, own, cellName, now);
}

/** Gets the link to the scheduler of a cell, made where there is none. */
function getLink(
  state: gatewayState.GatewayState,
  cellName: string,
  service: string,
  now: number,
): schedulerLink.SchedulerLink {
  const known = state.links.get(cellName);
  if (known !== undefined) {
    return known;
  }
  const { address } = chooseScheduler(state, cellName, now);
  const link = schedulerLink.createLink(cellName, service, address);
  state.links.set(cellName, link);
  return link;
}

/** Estimates how full a cell is: requests at its places and before them, by places. */
function estimateFullness(state: gatewayState.GatewayState, cellName: string): number {
  const link = state.links.get(cellName);
  return link === undefined || link.places === 0 ? 0 : (link.load + link.asks.size) / link.places;
}

/**
 * Chooses the cell that a request asks: the emptier of two that are drawn. With the
 * emptiest of all by what was last told, all gateways would ask the same one.
 */
function chooseCell(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): string | undefined {
  const { cellNames } = getServiceCells(state, request.service, now);
  const left = cellNames.filter((name) => !request.declinedCells.has(name));
  const drawOne = () => left.splice(Math.floor(state.drawRandom() * left.length), 1)[0];
  const first = left.length > 0 ? drawOne() : undefined;
  const second = left.length > 0 ? drawOne() : undefined;
  return second !== undefined &&
    first !== undefined &&
    estimateFullness(state, second) < estimateFullness(state, first)
    ? second
    : first;
}

/** Asks for a place for a request; false where no cell is left that may have one. */
export function askPlace(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): boolean {
  const cellName = chooseCell(state, request, now);
  if (cellName === undefined) {
    return false;
  }
  const link = getLink(state, cellName, request.service, now);
  request.cell = cellName;
  link.asks.set(request.serial, { askedMs: -Infinity, isAccepted: false });
  link.isDirty = true;
  return true;
}

/**
 * Asks for a place once more for a request whose grant could not be used, a moment later.
 *
 * The scheduler has not heard yet that a backend server leaves, and takes the place that
 * is given back as free. Asked at once, it would grant the same place again, hundreds of
 * times a second until it has heard.
 */
export function askPlaceLater(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): void {
  if (askPlace(state, request, now)) {
    const ask = state.links.get(request.cell ?? '')?.asks.get(request.serial);
    if (ask !== undefined) {
      ask.askedMs = now;
    }
  }
}

/** Takes back the ask of a request that needs no place any more. */
export function withdrawAsk(
  state: gatewayState.GatewayState,
  { cell, serial }: gatewayRequest.GatewayRequest,
): void {
  const link = state.links.get(cell ?? '');
  if (link?.asks.delete(serial) === true) {
    link.withdrawn.push(serial);
    link.isDirty = true;
  }
}

/** Notes that a place was left, or other news, so that its scheduler hears of it at once. */
export function markLinkDirty(
  state: gatewayState.GatewayState,
  serverId: string,
  service: string,
): void {
  const cellName = cellMap.findServerCell(state.cellMap, service, serverId);
  const link = state.links.get(cellName ?? '');
  if (link !== undefined) {
    link.isDirty = true;
  }
}

/** Notes what was seen of a backend server; its scheduler is told with the next ask. */
export function noteObservation(
  state: gatewayState.GatewayState,
  { serverId, service }: { serverId: string; service: string },
  kind: schema.ServerObservation_Kind,
  ms: number,
  now: number,
): void {
  const cellName = getServiceCells(state, service, now).cellByServer.get(serverId);
  if (cellName === undefined) {
    return;
  }
  const { observations } = getLink(state, cellName, service, now);
  observations.push(schema.create(schema.ServerObservationSchema, { serverId, kind, ms }));
  observations.splice(0, Math.max(observations.length - MAX_KEPT_OBSERVATIONS, 0));
}
