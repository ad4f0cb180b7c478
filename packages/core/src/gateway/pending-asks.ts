/**
 * Collects what this gateway will send to the schedulers of cells: requests that need a slot,
 * withdrawals, and observations of backend servers.
 *
 * The backend servers of a service are divided into cells, each with one gateway as its scheduler.
 * A slot is one request's share of the concurrency of a backend server; identifiers call it a
 * place. The scheduler of its cell grants it.
 */
import * as schema from '@toucanproxy/schema';
import * as softwareVersions from '../shared/software-version.js';
import * as cellMap from './cell-map.js';
import * as gatewayLoad from './gateway-load.js';
import * as gatewayRequest from './gateway-request.js';
import * as gatewayState from './gateway-state.js';
import * as schedulerLink from './scheduler-link.js';
import * as schedulerRanking from './scheduler-ranking.js';

/** Maximum number of unsent observations per link; older ones are of little use and dropped. */
const MAX_KEPT_OBSERVATIONS = 48;

/** Returns the cells of a service. */
export function getServiceCells(
  state: gatewayState.GatewayState,
  service: string,
  now: number,
): cellMap.ServiceCells {
  return cellMap.getServiceCells(state.cellMap, state.servers, service, now);
}

/** Chooses the gateway that schedules a cell. */
export function chooseScheduler(
  state: gatewayState.GatewayState,
  cellName: string,
  now: number,
): schedulerRanking.ChosenScheduler {
  const { address, processorPercent } = state;
  const loadPercent = gatewayLoad.computeLoadPercent(state.load);
  const own = { address, processorPercent, loadPercent, isLeaving: state.shutdownMs > 0 };
  return schedulerRanking.chooseScheduler(state.ranking, state.peers, own, cellName, now);
}

/** Returns the link to the scheduler of a cell and creates it if there is none. */
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

/**
 * Estimates the load of a cell: its running and queued requests as last reported, plus the pending
 * asks of this gateway, divided by the slots of the cell.
 */
function estimateLoad(state: gatewayState.GatewayState, cellName: string): number {
  const link = state.links.get(cellName);
  return link === undefined || link.places === 0 ? 0 : (link.load + link.asks.size) / link.places;
}

/**
 * Chooses the cell that a request asks for a slot: the less loaded of two random cells. The
 * reported loads are slightly old; if every gateway chose the least loaded cell of all, they
 * would all choose the same one.
 */
function chooseCell(
  state: gatewayState.GatewayState,
  request: gatewayRequest.GatewayRequest,
  now: number,
): string | undefined {
  const { cellNames, usableByCell } = getServiceCells(state, request.service, now);
  const { streamVersion, declinedCells } = request;
  const canContinue = (name: string) =>
    streamVersion === undefined ||
    usableByCell.get(name)?.some((one) => softwareVersions.isOfVersion(streamVersion, one));
  const left = cellNames.filter((name) => !declinedCells.has(name) && canContinue(name));
  const drawOne = () => left.splice(Math.floor(state.drawRandom() * left.length), 1)[0];
  const first = left.length > 0 ? drawOne() : undefined;
  const second = left.length > 0 ? drawOne() : undefined;
  return second !== undefined &&
    first !== undefined &&
    estimateLoad(state, second) < estimateLoad(state, first)
    ? second
    : first;
}

/** Asks a cell for a slot for a request. Returns false if no cell is left that may serve it. */
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
 * Asks for a slot again, after a short delay, for a request whose grant could not be used.
 *
 * The scheduler may not know yet that a backend server is leaving and regards the returned
 * slot as free. If asked immediately, it would grant the same slot hundreds of times a second
 * until it is informed.
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

/** Withdraws the ask of a request that no longer needs a slot. */
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

/**
 * Marks the link to the scheduler of a backend server as dirty, so that the scheduler is informed
 * at once, for instance of a slot that has become free.
 */
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

/** What the time to a first event depended on. */
export type PromptObservation = { promptTokens: number; aheadMs: number; totalMs: number };

/** Records an observation of a backend server; the next ask carries it to the scheduler. */
export function noteObservation(
  state: gatewayState.GatewayState,
  { serverId, service }: { serverId: string; service: string },
  kind: schema.ServerObservation_Kind,
  ms: number,
  now: number,
  prompt?: PromptObservation,
): void {
  const cellName = getServiceCells(state, service, now).cellByServer.get(serverId);
  if (cellName === undefined) {
    return;
  }
  const { observations } = getLink(state, cellName, service, now);
  observations.push(
    schema.create(schema.ServerObservationSchema, { serverId, kind, ms, ...prompt }),
  );
  observations.splice(0, Math.max(observations.length - MAX_KEPT_OBSERVATIONS, 0));
}
