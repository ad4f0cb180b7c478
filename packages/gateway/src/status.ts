/** Describes the current state of a gateway for operators. */
import * as gateway from '@toucanproxy/core/gateway';
import * as ignoredEntries from './ignored-entries.js';
import type * as storeFollower from './store-follower.js';
import * as unknownNames from './unknown-names.js';

/** Describes the prompts in a cell, if this gateway schedules it. */
function describeWork(
  { scheduler }: gateway.GatewayState,
  cellName: string,
): Record<string, unknown> {
  const cell = scheduler.cells.get(cellName);
  if (cell === undefined) {
    return {};
  }
  const work = [...gateway.countWork(cell)].map(([id, tokens]) => ({ id, ...tokens }));
  return { promptTokensPerMs: gateway.estimateTokensPerMs(cell.promptSpeed), work };
}

/** Describes the cells: which gateway schedules each, and the queue of those scheduled here. */
function describeCells(state: gateway.GatewayState): Record<string, unknown>[] {
  return [...state.links.values()].map(({ cell, address, asks, places, load }) => ({
    cell,
    scheduler: address,
    waitingHere: asks.size,
    places,
    requestsInCell: load,
    queued: state.scheduler.cells.get(cell)?.queue.items.length,
    lateReturns: state.scheduler.cells.get(cell)?.lateReturns,
    ...describeWork(state, cell),
  }));
}

/** Describes the backend servers that are warming up and the time left for each. */
function describeWarming(
  { servers, index }: gateway.GatewayState,
  now: number,
): { id: string; warmUpLeftMs: number }[] {
  const warming = gateway.listWarming(servers, servers.byId.values(), index, now);
  return [...warming].map(([id, untilMs]) => ({ id, warmUpLeftMs: Math.round(untilMs - now) }));
}

/** Describes what backend servers have stated in their responses. */
function describeStatements(
  { servers }: gateway.GatewayState,
  now: number,
): Record<string, unknown>[] {
  return [...servers.statements].map(([id, { leavingSinceMs, backoffUntilMs, rateLimit }]) => ({
    id,
    leavingSinceMs,
    backoffLeftMs: Math.round(Math.max(backoffUntilMs - now, 0)),
    perSecond: rateLimit?.perSecond,
  }));
}

/** Describes the retry budgets of the services that had requests. */
function describeRetries({ services }: gateway.GatewayState): Record<string, unknown>[] {
  return [...services].map(([service, { retryTotals }]) => ({ service, ...retryTotals }));
}

/** Describes the memory that requests hold; the budget is null if there is no limit. */
function describeBodies({ bodies }: gateway.GatewayState): Record<string, unknown> {
  const { capacityBytes: budgetBytes, smallBytes, largeBytes, byWorkspace, waiting } = bodies;
  return {
    budgetBytes,
    smallBytes,
    largeBytes,
    waiting: waiting.size,
    holdMs: Math.round(bodies.holdMs),
    workspaces: [...byWorkspace].map(([workspace, bytes]) => ({ workspace, bytes })),
    totals: bodies.totals,
  };
}

/** Describes the load of this process. */
function describeLoad({ load }: gateway.GatewayState): Record<string, unknown> {
  return {
    eventLoopDelayMs: Math.round(load.delayMs),
    admittedShare: load.admittedShare,
    loadPercent: gateway.computeLoadPercent(load),
  };
}

/** Describes the state of a gateway. */
export function describeStatus(
  state: gateway.GatewayState,
  storeStatus: storeFollower.StoreStatus,
  unknown: unknownNames.UnknownNames,
  ignored: ignoredEntries.IgnoredEntries,
  now: gateway.ClockReading,
): Record<string, unknown> {
  return {
    version: state.index?.configuration.version,
    configuration: gateway.getConfigurationStatus(state, now),
    beliefAgeMs: gateway.computeConfirmationAge(state.lease, now),
    storeLost: storeStatus.isLost,
    storeBehind: state.lease.behindSinceMs !== undefined,
    storeRevision: state.servers.readRevision,
    requestsHeld: state.requests.size,
    load: describeLoad(state),
    bodies: describeBodies(state),
    backendServers: [...state.servers.byId.values()],
    ignoredEntries: ignoredEntries.listIgnored(ignored),
    evacuatedDomains: gateway.listEvacuated(state.servers.evacuations),
    warming: describeWarming(state, now.steadyMs),
    statements: describeStatements(state, now.steadyMs),
    cells: describeCells(state),
    retries: describeRetries(state),
    suspendedContents: gateway.listSuspendedContents(state, now.steadyMs),
    suspendedParts: gateway.listSuspendedParts(state, now.steadyMs),
    workspaceShares: gateway.listActiveShares(state, now.steadyMs),
    unknownNames: unknownNames.listUnknownNames(unknown),
    peers: gateway.listKnownAddresses(state.peers),
  };
}
