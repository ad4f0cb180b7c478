/** Test fixtures for gateway decisions: state, configuration, backend servers and requests. */
import * as configurationLease from '../configuration-lease.js';
import * as configurationIndex from '../configuration-index.js';
import * as configuration from '../configuration.js';
import type * as gatewayRequest from '../gateway-request.js';
import * as gatewayState from '../gateway-state.js';
import type * as backendServerEntry from '../../shared/backend-server-entry.js';
import type * as storeRevision from '../../shared/store-revision.js';
import * as scheduler from '../../scheduler/index.js';
import type * as serverHealth from '../../scheduler/server-health.js';
import * as peerView from '../peer-view.js';
import * as pendingAsks from '../pending-asks.js';
import * as assignment from '../assignment.js';
import * as serverEntries from '../server-entries.js';

export const KEY = 'key-1';
export const ADDRESS = '10.0.0.1:1';

/** Builds a clock reading in which all clocks show the same time. */
export function buildClocks(steadyMs: number): configurationLease.ClockReading {
  return { steadyMs, wallMs: steadyMs, uptimeMs: steadyMs };
}

/** Builds a route with the given changes to the defaults. */
export function buildRoute(changes: Partial<configuration.Route> = {}): configuration.Route {
  return {
    name: 'route',
    hostname: 'a.example',
    prefix: '/a/',
    kind: configuration.RouteKind.STREAM,
    timeoutMs: 15_000,
    targetMs: 800,
    patienceMs: 3200,
    maxPauseMs: undefined,
    urgency: 0,
    targets: [{ service: 'one', weight: 1 }],
    maxAttempts: 1,
    isPublic: false,
    resumable: false,
    regions: [],
    ...changes,
  };
}

/** Builds a configuration with one service and, by default, two workspaces. */
export function buildConfiguration(
  version: number,
  routes: configuration.Route[],
  workspaces: configuration.WorkspaceDeclaration[] = [
    { name: 'w1', credentials: [KEY], urgency: undefined, quota: undefined, regions: [] },
    { name: 'w2', credentials: ['key-2'], urgency: undefined, quota: undefined, regions: [] },
  ],
): configuration.Configuration {
  return {
    version,
    routes,
    services: [
      {
        name: 'one',
        maxConnections: 100,
        engine: { slots: 2, tokensPerEvent: 5 },
        warmUp: undefined,
      },
    ],
    workspaces,
    callerBounds: {
      maxHeaderBytes: 1000,
      maxBodyBytes: 1000,
      headerTimeoutMs: 1000,
      idleTimeoutMs: 1000,
    },
  };
}

/** Builds a store revision, by default of epoch 0. */
export function buildRevision(count: number, epoch = 0): storeRevision.StoreRevision {
  return { epoch, count };
}

/** Builds the store entry of a backend server with the given changes to the defaults. */
export function buildEntry(
  id: string,
  changes: Partial<backendServerEntry.BackendServerEntry> = {},
): backendServerEntry.BackendServerEntry {
  return {
    id,
    service: 'one',
    address: `10.0.1.${id.length}:80`,
    failureDomain: 'd1',
    slots: 2,
    leaving: false,
    bornMs: 1,
    revision: buildRevision(1),
    warmUpLeftMs: 0,
    ...changes,
  };
}

/** Creates a gateway with the given backend servers and a configuration confirmed at time 0. */
export function createTestGateway(
  ids: readonly string[],
  routes: configuration.Route[] = [buildRoute()],
): gatewayState.GatewayState {
  const bounds = {
    leaseMs: 3000,
    entryReturnMs: 2000,
    quotaTolerance: { overage: 0, slack: 0, windowMs: 0 },
    retryRatio: 0.2,
    retryExtra: 10,
    warmUpTolerance: { factor: 1.5, extra: 5 },
  };
  const identity = {
    address: ADDRESS,
    life: 'life',
    failureDomain: 'd1',
    processorPercent: 50,
    seeds: [],
    regionByDomain: new Map([['d1', 'r1']]),
    isFirstStart: true,
  };
  const state = gatewayState.createGatewayState(identity, bounds, () => 0.5, 0);
  state.index = configurationIndex.buildConfigurationIndex(buildConfiguration(1, routes));
  configurationLease.noteConfirmed(state.lease, buildClocks(0));
  ids.forEach((id) => serverEntries.applyEntry(state.servers, buildEntry(id), 0));
  return state;
}

/** Has a gateway receive a report of another one, which is too busy to schedule. */
export function receivePeerReport(
  state: gatewayState.GatewayState,
  address: string,
  now: number,
): void {
  const report = { life: 'other', sequence: now, leaving: false, used: new Map<string, number>() };
  const load = {
    processorPercent: 50,
    loadPercent: 100,
    configurationVersion: 1,
    workspaceCount: 0,
  };
  const place = { address, failureDomain: 'd1', peers: [] };
  peerView.applyReport(state.peers, { ...report, ...load, ...place }, now);
}

/** Runs all scheduling that is possible now and returns the assignments and refusals. */
export function assignWaiting(
  state: gatewayState.GatewayState,
  clocks: configurationLease.ClockReading,
): assignment.Assignment[] {
  return assignment.advance(state, clocks).assignments;
}

/** Returns the cell of the service, which the gateway schedules itself. */
export function getCell(state: gatewayState.GatewayState): scheduler.Cell {
  const name = scheduler.formatCellName('one', 0);
  const cell = state.scheduler.cells.get(name) ?? scheduler.createCell(name, 0);
  state.scheduler.cells.set(name, cell);
  return cell;
}

/** Returns the scheduler's record of a backend server's pace and failures. */
export function getServerHealth(
  state: gatewayState.GatewayState,
  id: string,
): serverHealth.ServerHealth {
  return scheduler.getServerHealth(getCell(state), id);
}

/** Sets the number of requests that the gateway has in flight at a backend server. */
export function setInFlight(state: gatewayState.GatewayState, id: string, requests: number): void {
  gatewayState.addInFlight(state, id, requests - (state.inFlight.get(id) ?? 0));
  pendingAsks.markLinkDirty(state, id, 'one');
}

/** Builds a caller's request with the given changes to the defaults. */
export function buildArrived(
  attemptId: string,
  changes: Partial<gatewayRequest.ArrivedRequest> = {},
): gatewayRequest.ArrivedRequest {
  return {
    attemptId,
    host: 'a.example',
    path: '/a/x',
    credential: KEY,
    deadlineMs: 15_000,
    tokens: { prompt: 1000, answer: 100 },
    answerGuess: undefined,
    hashContent: () => attemptId,
    ...changes,
  };
}
