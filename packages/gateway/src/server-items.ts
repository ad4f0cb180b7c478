/** Applies the store entries of backend servers. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as backendConnections from './backend-connections.js';
import type * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as gatewaySettings from './gateway-settings.js';
import * as ignoredEntries from './ignored-entries.js';
import type * as storeCodec from './store-codec.js';

export type ServerDependencies = {
  state: gateway.GatewayState;
  settings: gatewaySettings.GatewaySettings;
  codec: storeCodec.StoreCodec;
  readClocks: clocks.ReadClocks;
  log: decisionLog.DecisionLog;
  connections: backendConnections.BackendConnections;
  /** Entries that are malformed; the other entries hold. */
  ignored: ignoredEntries.IgnoredEntries;
};

/** Filters the items that are entries of backend servers. */
function listEntries(
  { settings }: ServerDependencies,
  items: readonly storeCodec.StoreItem[],
): storeCodec.StoreItem[] {
  return items.filter(({ key }) => key.startsWith(settings.serversPrefix));
}

/** Decodes an item; undefined if it was deleted, or is malformed and therefore ignored. */
function decodeItem(
  { codec, ignored, log, readClocks }: ServerDependencies,
  item: storeCodec.StoreItem,
): gateway.BackendServerEntry | undefined {
  const parsed = item.value && codec.decodeBackendServer(item);
  if (parsed?.kind === 'faulty') {
    ignoredEntries.noteIgnored(ignored, log, item.key, parsed.faults, readClocks().steadyMs);
    return undefined;
  }
  ignored.delete(item.key);
  return parsed?.value;
}

/** Applies one changed entry; an item without a valid entry removes the backend server. */
function applyItem(
  dependencies: ServerDependencies,
  item: storeCodec.StoreItem,
): gateway.MembershipChange | undefined {
  const { state, codec, readClocks } = dependencies;
  const entry = decodeItem(dependencies, item);
  return entry === undefined
    ? gateway.removeEntry(state.servers, codec.parseServerId(item.key), readClocks().steadyMs)
    : gateway.applyEntry(state.servers, entry, readClocks().steadyMs);
}

/** Logs changes, expires missing entries, forgets ended servers and closes unused connections. */
function applyMembership(
  dependencies: ServerDependencies,
  changes: (gateway.MembershipChange | undefined)[],
): void {
  const { state, log, connections, readClocks } = dependencies;
  const actual = changes.filter((change) => change !== undefined);
  actual.forEach((change) => log.writeAlways('backend-server', change));
  const now = readClocks().steadyMs;
  const expired = gateway.expireMissing(state.servers, now);
  expired.forEach((change) => log.writeAlways('backend-server', change));
  [...actual, ...expired]
    .filter(({ change }) => change === 'restarted' || change === 'gone')
    .forEach(({ id, change }) => gateway.forgetServer(state, id, change === 'restarted', now));
  if (actual.length + expired.length > 0) {
    const addresses = [...state.servers.byId.values()].map(({ entry }) => entry.address);
    connections.closeOthers(new Set(addresses));
  }
}

/** Applies the complete list of entries; backend servers that are not in it count as missing. */
export function applyAllServers(
  dependencies: ServerDependencies,
  items: readonly storeCodec.StoreItem[],
  revision: gateway.StoreRevision,
): void {
  const listed = listEntries(dependencies, items);
  const entries = listed
    .map((item) => decodeItem(dependencies, item))
    .filter((entry) => entry !== undefined);
  ignoredEntries.forgetOthers(dependencies.ignored, new Set(listed.map(({ key }) => key)));
  const now = dependencies.readClocks().steadyMs;
  applyMembership(
    dependencies,
    gateway.applySnapshot(dependencies.state.servers, entries, revision, now),
  );
}

/** Applies the entries that have changed. */
export function applyServerChanges(
  dependencies: ServerDependencies,
  items: readonly storeCodec.StoreItem[],
  revision: gateway.StoreRevision,
): void {
  const changes = listEntries(dependencies, items).map((item) => applyItem(dependencies, item));
  gateway.noteReadRevision(dependencies.state.servers, revision);
  applyMembership(dependencies, changes);
}
