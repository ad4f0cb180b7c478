/** Follows the entries of backend servers in the store. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as backendConnections from './backend-connections.js';
import * as configurationReader from './configuration-reader.js';
import * as storeClient from './store-client.js';
import type * as storeCodec from './store-codec.js';
import * as storeReader from './store-reader.js';

type ServerReaderParts = configurationReader.ReaderParts & {
  connections: backendConnections.BackendConnections;
};

/** How long a call waits for changes, milliseconds. */
const WAIT_MS = 1000;
/**
 * Pause between calls, milliseconds. Entries change with each heartbeat, so that
 * a call without a pause returns at once; with it a backend server that leaves
 * is known to leave within half a second, at two calls a second. With 950 ms one
 * got work 2.5 s after it had left, where 2 s were allowed.
 */
const PAUSE_MS = 450;

/** Takes one item in. */
function applyItem(
  { state, codec, readClocks }: ServerReaderParts,
  item: storeCodec.StoreItem,
): gateway.MembershipChange | undefined {
  const entry = item.value && codec.decodeBackendServer(item);
  return entry === undefined
    ? gateway.removeEntry(state.servers, codec.parseServerId(item.key), readClocks().steadyMs)
    : gateway.applyEntry(state.servers, entry);
}

/** Logs changes and brings connections in line. */
function applyMembership(
  parts: ServerReaderParts,
  changes: (gateway.MembershipChange | undefined)[],
): void {
  const { state, log, connections, assign, readClocks } = parts;
  const real = changes.filter((change) => change !== undefined);
  real.forEach((change) => log.writeAlways('backend-server', change));
  const now = readClocks().steadyMs;
  const expired = gateway.expireMissing(state.servers, now);
  expired.forEach((change) => log.writeAlways('backend-server', change));
  [...real, ...expired]
    .filter(({ change }) => change === 'restarted' || change === 'gone')
    .forEach(({ id }) => {
      gateway.forgetLoad(state, id);
      const suspects = gateway.applyCrash(state, id, readClocks());
      if (suspects.length > 0) {
        log.writeAlways('content-suspect', { server: id, suspects });
      }
    });
  if (real.length + expired.length > 0) {
    const known = [...state.servers.byId.values()].map(({ entry }) => entry.address);
    connections.closeOthers(new Set(known));
    assign();
  }
}

/** Starts to follow the entries. */
export function startServerReader(parts: ServerReaderParts): storeReader.StoreReader {
  const { state, settings, codec, readClocks } = parts;
  return storeReader.startStoreReader({
    name: 'backend-servers',
    client: storeClient.createStoreClient(settings.store),
    codec,
    prefix: settings.serversPrefix,
    waitMs: WAIT_MS,
    pauseMs: PAUSE_MS,
    readClocks,
    drawRandom: state.drawRandom,
    applySnapshot: (items) => {
      const entries = items
        .map((item) => codec.decodeBackendServer(item))
        .filter((entry) => entry !== undefined);
      const now = readClocks().steadyMs;
      applyMembership(parts, gateway.applySnapshot(state.servers, entries, now));
    },
    applyChanges: (items) =>
      applyMembership(
        parts,
        items.map((item) => applyItem(parts, item)),
      ),
    confirm: () => {},
    reportLost: (name, reason) => configurationReader.reportLost(parts, name, reason),
    reportRegained: (name, awayMs) => {
      const { entryReturnMs } = state.bounds;
      gateway.noteStoreReturned(state.servers, entryReturnMs, readClocks().steadyMs);
      configurationReader.reportRegained(parts, name, awayMs);
    },
  });
}
