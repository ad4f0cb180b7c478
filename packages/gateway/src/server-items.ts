/** Takes the entries of backend servers from the store in. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as backendConnections from './backend-connections.js';
import type * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as gatewaySettings from './gateway-settings.js';
import type * as storeCodec from './store-codec.js';

export type ServerParts = {
  state: gateway.GatewayState;
  settings: gatewaySettings.GatewaySettings;
  codec: storeCodec.StoreCodec;
  readClocks: clocks.ReadClocks;
  log: decisionLog.DecisionLog;
  connections: backendConnections.BackendConnections;
};

/** Lists those of some items that are entries of backend servers. */
function listEntries(
  { settings }: ServerParts,
  items: readonly storeCodec.StoreItem[],
): storeCodec.StoreItem[] {
  return items.filter(({ key }) => key.startsWith(settings.serversPrefix));
}

/** Takes one entry in. */
function applyItem(
  { state, codec, readClocks }: ServerParts,
  item: storeCodec.StoreItem,
): gateway.MembershipChange | undefined {
  const entry = item.value && codec.decodeBackendServer(item);
  return entry === undefined
    ? gateway.removeEntry(state.servers, codec.parseServerId(item.key), readClocks().steadyMs)
    : gateway.applyEntry(state.servers, entry, readClocks().steadyMs);
}

/** Logs changes and brings connections in line. */
function applyMembership(
  parts: ServerParts,
  changes: (gateway.MembershipChange | undefined)[],
): void {
  const { state, log, connections, readClocks } = parts;
  const real = changes.filter((change) => change !== undefined);
  real.forEach((change) => log.writeAlways('backend-server', change));
  const now = readClocks().steadyMs;
  const expired = gateway.expireMissing(state.servers, now);
  expired.forEach((change) => log.writeAlways('backend-server', change));
  [...real, ...expired]
    .filter(({ change }) => change === 'restarted' || change === 'gone')
    .forEach(({ id }) => {
      gateway.forgetServer(state, id);
      const suspects = gateway.applyCrash(state, id, readClocks());
      if (suspects.length > 0) {
        log.writeAlways('content-suspect', { server: id, suspects });
      }
    });
  if (real.length + expired.length > 0) {
    const known = [...state.servers.byId.values()].map(({ entry }) => entry.address);
    connections.closeOthers(new Set(known));
  }
}

/** Takes in all entries of the store; those that are not among them are gone. */
export function applyAllServers(
  parts: ServerParts,
  items: readonly storeCodec.StoreItem[],
  revision: gateway.StoreRevision,
): void {
  const entries = listEntries(parts, items)
    .map((item) => parts.codec.decodeBackendServer(item))
    .filter((entry) => entry !== undefined);
  const now = parts.readClocks().steadyMs;
  applyMembership(parts, gateway.applySnapshot(parts.state.servers, entries, revision, now));
}

/** Takes in the entries that have changed. */
export function applyServerChanges(
  parts: ServerParts,
  items: readonly storeCodec.StoreItem[],
  revision: gateway.StoreRevision,
): void {
  const changes = listEntries(parts, items).map((item) => applyItem(parts, item));
  gateway.noteReadRevision(parts.state.servers, revision);
  applyMembership(parts, changes);
}
