/** Takes configurations from the store into force. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as callerServer from './caller-server.js';
import type * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as gatewaySettings from './gateway-settings.js';
import * as storeClient from './store-client.js';
import type * as storeCodec from './store-codec.js';
import * as storeReader from './store-reader.js';

export type ReaderParts = {
  state: gateway.GatewayState;
  settings: gatewaySettings.GatewaySettings;
  codec: storeCodec.StoreCodec;
  readClocks: clocks.ReadClocks;
  log: decisionLog.DecisionLog;
  /** Readers of the store whose last call failed. */
  storeLost: Set<string>;
  /** Called after what is known has changed. */
  assign: () => void;
};

/** How long a call waits for a new configuration at most, milliseconds. */
const LONGEST_WAIT_MS = 1000;
/**
 * The same as a part of the lease that each answer renews. A wait, a further one
 * that is lost, the second until it is given up and the next call fit in a lease.
 */
const WAIT_SHARE = 0.27;

/** Takes one reading of the configuration in; older versions are left out. */
function applyItem(
  parts: ReaderParts & { callers: callerServer.CallerServer },
  { value }: storeCodec.StoreItem,
): void {
  const { state, codec, log, callers } = parts;
  if (value === undefined) {
    log.writeAlways('configuration-deleted', {});
    return;
  }
  const given = codec.decodeConfiguration(value);
  const version = state.index?.configuration.version ?? -1;
  if (given.version <= version) {
    return;
  }
  state.index = gateway.buildConfigurationIndex(given);
  callers.applyBounds(given.callerBounds);
  log.writeAlways('configuration', { version: given.version, before: version });
}

/** Notes that the store does not answer a reader any more. */
export function reportLost(parts: ReaderParts, reader: string, reason: string): void {
  parts.storeLost.add(reader);
  parts.log.writeAlways('store-lost', { reader, reason });
}

/** Notes that the store answers a reader again. */
export function reportRegained(parts: ReaderParts, reader: string, awayMs: number): void {
  parts.storeLost.delete(reader);
  parts.log.writeAlways('store-regained', { reader, awayMs: Math.round(awayMs) });
}

/** Starts to follow the configuration. */
export function startConfigurationReader(
  parts: ReaderParts & { callers: callerServer.CallerServer },
): storeReader.StoreReader {
  const { state, settings, codec, readClocks, log, assign } = parts;
  const applyItems = (items: storeCodec.StoreItem[]) => {
    items
      .filter((item) => item.key === settings.configurationKey)
      .forEach((item) => {
        try {
          applyItem(parts, item);
        } catch (error) {
          // The version in force stays; a faulty one would take every route away.
          log.writeAlways('configuration-faulty', { reason: (error as Error).message });
        }
      });
    assign();
  };
  return storeReader.startStoreReader({
    name: 'configuration',
    client: storeClient.createStoreClient(settings.store),
    codec,
    prefix: settings.configurationKey,
    waitMs: Math.min(LONGEST_WAIT_MS, Math.floor(state.bounds.leaseMs * WAIT_SHARE)),
    pauseMs: 0,
    readClocks,
    drawRandom: state.drawRandom,
    applySnapshot: applyItems,
    applyChanges: applyItems,
    confirm: (sent) => gateway.noteConfirmed(state.belief, sent),
    reportLost: (name, reason) => reportLost(parts, name, reason),
    reportRegained: (name, awayMs) => reportRegained(parts, name, awayMs),
  });
}
