/**
 * Follows everything that a gateway reads from the store: the configuration, the entries of
 * backend servers and the evacuations of failure domains.
 *
 * One call covers the prefix that all their keys share, because each call of a gateway is a load
 * on the store. Its response contains the changes of all three and renews the configuration lease.
 */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
import type * as gatewaySettings from './gateway-settings.js';
import * as configurationItems from './configuration-items.js';
import * as evacuationItems from './evacuation-items.js';
import * as serverItems from './server-items.js';
import type * as storeEpoch from './store-epoch.js';
import * as storeClient from './store-client.js';
import type * as storeCodec from './store-codec.js';
import * as storeReader from './store-reader.js';
import * as unknownNames from './unknown-names.js';

/** Whether the store can be reached. */
export type StoreStatus = {
  /** Whether the last call failed. */
  isLost: boolean;
};

export type FollowerDependencies = configurationItems.ConfigurationDependencies &
  serverItems.ServerDependencies &
  evacuationItems.EvacuationDependencies & {
    storeStatus: StoreStatus;
    unknown: unknownNames.UnknownNames;
    /** Schedules an assignment pass; called after changes have been applied. */
    assign: () => void;
  };

/**
 * Maximum interval between calls, milliseconds. With it new backend servers are used after 750 ms
 * on average, and the lease is renewed twice before it would expire.
 */
const MAX_INTERVAL_MS = 1500;
const MIN_INTERVAL_MS = 100;
/**
 * Interval between calls of a gateway that has requests in its scheduler queues, milliseconds. It
 * passes new backend servers on to the other gateways with its grants, so that these servers are
 * not idle until every gateway has read their entries. Only one or two gateways call this often.
 */
const SCHEDULING_INTERVAL_MS = 300;
/**
 * Delay caused by one lost call, milliseconds: its timeout of one second, a pause of at most
 * 100 ms, and the time until the next response.
 */
const LOST_CALL_MS = 1150;

/**
 * Computes the interval between calls, milliseconds. A change is read at most one interval after
 * it was made, plus the delay of a lost call if one occurs; the sum stays within the shortest time
 * that the settings allow for a change.
 */
export function computeIntervalMs({
  leavingMs,
  configurationMs,
  evacuationMs,
}: Pick<
  gatewaySettings.GatewaySettings,
  'leavingMs' | 'configurationMs' | 'evacuationMs'
>): number {
  const withinLimitsMs = Math.min(leavingMs, configurationMs, evacuationMs) - LOST_CALL_MS;
  return Math.max(Math.min(withinLimitsMs, MAX_INTERVAL_MS), MIN_INTERVAL_MS);
}

/** Chooses the interval between calls, ms; it is shorter while requests are queued here. */
function chooseIntervalMs({ scheduler }: gateway.GatewayState, usualMs: number): number {
  return gateway.hasQueuedRequests(scheduler) ? Math.min(SCHEDULING_INTERVAL_MS, usualMs) : usualMs;
}

/** Finds the longest common prefix; an empty string if there is none. */
export function findSharedPrefix(first: string, ...others: readonly string[]): string {
  const end = [...first].findIndex((letter, index) =>
    others.some((other) => letter !== other[index]),
  );
  return end === -1 ? first : first.slice(0, end);
}

/** Records that the store has become unreachable. */
function reportLost(
  { storeStatus, log }: FollowerDependencies,
  failure: storeReader.StoreCallFailure,
): void {
  storeStatus.isLost = true;
  log.writeAlways('store-lost', failure);
}

/** Records that the store is reachable again; entries that expired in the meantime may return. */
function reportRegained(
  { state, storeStatus, log, readClocks }: FollowerDependencies,
  awayMs: number,
): void {
  storeStatus.isLost = false;
  const { entryReturnMs } = state.bounds;
  gateway.noteStoreReturned(state.servers, entryReturnMs, readClocks().steadyMs);
  log.writeAlways('store-regained', { awayMs: Math.round(awayMs) });
}

/**
 * Handles a restore of the store from an older backup. Entries that were written after that backup
 * are missing until their backend servers write them again.
 */
function applyEpoch(
  { state, log, readClocks }: FollowerDependencies,
  change: storeEpoch.EpochChange,
): void {
  const { entryReturnMs } = state.bounds;
  gateway.noteStoreReturned(state.servers, entryReturnMs, readClocks().steadyMs);
  log.writeAlways('store-epoch', change);
}

/** Reports an epoch that does not follow the last known one. */
function reportEpochFault(
  { log, readClocks }: FollowerDependencies,
  fault: storeEpoch.EpochFault,
): void {
  const code = schema.ResultCode.STORE_EPOCH_FAULT;
  const line = { ...fault, code, result: schema.ResultCode[code] };
  log.write('store-epoch-faulty', line, readClocks().steadyMs);
}

/** Records a response; logs when the store falls behind other gateways or catches up. */
function recordResponse(
  { state, log, readClocks }: FollowerDependencies,
  sent: gateway.ClockReading,
  isList: boolean,
): gateway.StoreResponseOutcome {
  const outcome = gateway.noteStoreResponse(state, sent, isList, readClocks().steadyMs);
  if (outcome.logEvent !== undefined) {
    const version = state.index?.configuration.version;
    const newest = gateway.findNewestVersion(state.peers, Infinity);
    log.writeAlways(outcome.logEvent, { version, newest });
  }
  return outcome;
}

/** Returns the last item of each key. */
function listLatest(items: readonly storeCodec.StoreItem[]): storeCodec.StoreItem[] {
  return [...new Map(items.map((item) => [item.key, item])).values()];
}

/** Starts following the store. */
export function startStoreFollower(dependencies: FollowerDependencies): storeReader.StoreReader {
  const { state, settings, codec, readClocks, assign } = dependencies;
  const usualMs = computeIntervalMs(settings);
  const recordNames = (found: unknownNames.UnknownName[]) =>
    unknownNames.recordUnknownNames(
      dependencies.unknown,
      dependencies.log,
      found,
      readClocks().steadyMs,
    );
  const recordUnknown = (items: readonly storeCodec.StoreItem[]) =>
    recordNames(listLatest(items).flatMap(codec.findUnknownFields));
  const applySnapshot = (items: storeCodec.StoreItem[], revision: gateway.StoreRevision) => {
    configurationItems.applyConfigurations(dependencies, items);
    evacuationItems.applyAllEvacuations(dependencies, items, revision);
    serverItems.applyAllServers(dependencies, items, revision);
    assign();
    recordUnknown(items);
  };
  const applyChanges = (items: storeCodec.StoreItem[], revision: gateway.StoreRevision) => {
    configurationItems.applyConfigurations(dependencies, items);
    evacuationItems.applyEvacuationChanges(dependencies, items);
    serverItems.applyServerChanges(dependencies, items, revision);
    assign();
    recordUnknown(items);
  };
  return storeReader.startStoreReader({
    client: storeClient.createStoreClient(settings.store),
    codec,
    prefix: findSharedPrefix(
      settings.configurationKey,
      settings.serversPrefix,
      settings.evacuationsPrefix,
    ),
    chooseIntervalMs: () => chooseIntervalMs(state, usualMs),
    readClocks,
    drawRandom: state.drawRandom,
    applySnapshot,
    applyChanges,
    confirm: (sent, isList) => recordResponse(dependencies, sent, isList),
    reportLost: (failure) => reportLost(dependencies, failure),
    reportRegained: (awayMs) => reportRegained(dependencies, awayMs),
    applyEpoch: (change) => applyEpoch(dependencies, change),
    reportEpochFault: (fault) => reportEpochFault(dependencies, fault),
    reportUnknown: recordNames,
  });
}
