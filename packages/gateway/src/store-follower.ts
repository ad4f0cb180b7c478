/**
 * Follows everything that a gateway takes from the store: the configuration, the entries
 * of backend servers and evacuations of failure domains, with one call over the beginning that their keys share.
 *
 * Each call of a gateway costs the store. One answer tells of all of them, and renews the
 * lease of the configuration as well.
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

/** What is known of the way to the store. */
export type StoreLink = {
  /** The last call failed. */
  isLost: boolean;
};

export type FollowerParts = configurationItems.ConfigurationParts &
  serverItems.ServerParts &
  evacuationItems.EvacuationParts & {
    storeLink: StoreLink;
    unknown: unknownNames.UnknownNames;
    /** Called after what is known has changed. */
    assign: () => void;
  };

/**
 * Longest time between calls, milliseconds. With it new backend servers are used after
 * three quarters of a second on average, and an answer renews the lease twice before
 * it would run out.
 */
const LONGEST_INTERVAL_MS = 1500;
const SHORTEST_INTERVAL_MS = 100;
/**
 * Time between calls of a gateway that schedules while work waits, milliseconds. It tells
 * the others of new backend servers with its grants, so that these do not stand empty until
 * all have read of them; one or two gateways call this often.
 */
const SCHEDULING_INTERVAL_MS = 300;
/**
 * Time that one lost call takes, milliseconds: the second until it is given up, a
 * pause of at most 100 ms, and the way of the next answer.
 */
const LOST_CALL_MS = 1150;

/**
 * Computes the time between calls, milliseconds. A change is known one interval after
 * it was made, or with one lost call in between; both fit in the bounds that changes
 * have.
 */
export function computeIntervalMs({
  leavingMs,
  configurationMs,
  evacuationMs,
}: Pick<
  gatewaySettings.GatewaySettings,
  'leavingMs' | 'configurationMs' | 'evacuationMs'
>): number {
  const withinBounds = Math.min(leavingMs, configurationMs, evacuationMs) - LOST_CALL_MS;
  return Math.max(Math.min(withinBounds, LONGEST_INTERVAL_MS), SHORTEST_INTERVAL_MS);
}

/** Chooses the time between calls by what this gateway does now, milliseconds. */
function chooseIntervalMs({ scheduler }: gateway.GatewayState, usualMs: number): number {
  return gateway.isWorkWaiting(scheduler) ? Math.min(SCHEDULING_INTERVAL_MS, usualMs) : usualMs;
}

/** Gets the beginning that keys share; empty where they share none. */
export function findSharedPrefix(first: string, ...others: readonly string[]): string {
  const end = [...first].findIndex((letter, index) =>
    others.some((other) => letter !== other[index]),
  );
  return end === -1 ? first : first.slice(0, end);
}

/** Notes that the store does not answer any more. */
function reportLost({ storeLink, log }: FollowerParts, reason: string): void {
  storeLink.isLost = true;
  log.writeAlways('store-lost', { reason });
}

/** Notes that the store answers again: entries that lapsed meanwhile may come back. */
function reportRegained(
  { state, storeLink, log, readClocks }: FollowerParts,
  awayMs: number,
): void {
  storeLink.isLost = false;
  const { entryReturnMs } = state.bounds;
  gateway.noteStoreReturned(state.servers, entryReturnMs, readClocks().steadyMs);
  log.writeAlways('store-regained', { awayMs: Math.round(awayMs) });
}

/**
 * Notes that the store has been restored from an older backup: entries that were written since
 * that backup are missing until their backend servers have written them again.
 */
function applyEpoch(
  { state, log, readClocks }: FollowerParts,
  change: storeEpoch.EpochChange,
): void {
  const { entryReturnMs } = state.bounds;
  gateway.noteStoreReturned(state.servers, entryReturnMs, readClocks().steadyMs);
  log.writeAlways('store-epoch', change);
}

/** Tells of an epoch that does not follow the one that is known. */
function reportEpochFault({ log, readClocks }: FollowerParts, fault: storeEpoch.EpochFault): void {
  const code = schema.ResultCode.STORE_EPOCH_FAULT;
  const line = { ...fault, code, result: schema.ResultCode[code] };
  log.write('store-epoch-faulty', line, readClocks().steadyMs);
}

/** Takes in that the store has answered, and tells where it is behind other gateways. */
function noteAnswer(
  { state, log, readClocks }: FollowerParts,
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

/** Starts to follow the store. */
export function startStoreFollower(parts: FollowerParts): storeReader.StoreReader {
  const { state, settings, codec, readClocks, assign } = parts;
  const usualMs = computeIntervalMs(settings);
  const noteUnknown = (found: unknownNames.UnknownName[]) =>
    unknownNames.noteUnknownNames(parts.unknown, parts.log, found, readClocks().steadyMs);
  const applySnapshot = (items: storeCodec.StoreItem[], revision: gateway.StoreRevision) => {
    configurationItems.applyConfigurations(parts, items);
    evacuationItems.applyAllEvacuations(parts, items, revision);
    serverItems.applyAllServers(parts, items, revision);
    assign();
    noteUnknown(items.flatMap(codec.findUnknownFields));
  };
  const applyChanges = (items: storeCodec.StoreItem[], revision: gateway.StoreRevision) => {
    configurationItems.applyConfigurations(parts, items);
    evacuationItems.applyEvacuationChanges(parts, items);
    serverItems.applyServerChanges(parts, items, revision);
    assign();
    noteUnknown(items.flatMap(codec.findUnknownFields));
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
    confirm: (sent, isList) => noteAnswer(parts, sent, isList),
    reportLost: (reason) => reportLost(parts, reason),
    reportRegained: (awayMs) => reportRegained(parts, awayMs),
    applyEpoch: (change) => applyEpoch(parts, change),
    reportEpochFault: (fault) => reportEpochFault(parts, fault),
    reportUnknown: noteUnknown,
  });
}
