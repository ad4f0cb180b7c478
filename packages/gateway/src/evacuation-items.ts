/** Takes what operators have had evacuated from the store in. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as gatewaySettings from './gateway-settings.js';
import type * as storeCodec from './store-codec.js';

export type EvacuationParts = {
  state: gateway.GatewayState;
  settings: gatewaySettings.GatewaySettings;
  codec: storeCodec.StoreCodec;
  readClocks: clocks.ReadClocks;
  log: decisionLog.DecisionLog;
};

/** Lists those of some items that tell of evacuations. */
function listChanges(
  { settings, codec }: EvacuationParts,
  items: readonly storeCodec.StoreItem[],
): gateway.EvacuationChange[] {
  return items
    .filter(({ key }) => key.startsWith(settings.evacuationsPrefix))
    .map(({ key, value, revision }) => ({
      failureDomain: codec.parseEvacuatedDomain(key),
      isEvacuated: value !== undefined,
      revision,
    }));
}

/** Logs what has changed. */
function reportChanges(
  { log }: EvacuationParts,
  changes: readonly gateway.EvacuationChange[],
): void {
  changes.forEach(({ isEvacuated, ...change }) =>
    log.writeAlways(isEvacuated ? 'domain-evacuated' : 'domain-returned', change),
  );
}

/** Takes in all evacuations of the store; a domain without one is in use. */
export function applyAllEvacuations(
  parts: EvacuationParts,
  items: readonly storeCodec.StoreItem[],
  revision: gateway.StoreRevision,
): void {
  const named = listChanges(parts, items);
  const now = parts.readClocks().steadyMs;
  const { servers } = parts.state;
  reportChanges(parts, gateway.applyEvacuationList(servers, named, revision, now));
}

/** Takes in the evacuations that have changed. */
export function applyEvacuationChanges(
  parts: EvacuationParts,
  items: readonly storeCodec.StoreItem[],
): void {
  const changes = listChanges(parts, items);
  const now = parts.readClocks().steadyMs;
  const { servers } = parts.state;
  reportChanges(parts, gateway.applyEvacuations(servers, changes, now));
  reportChanges(parts, gateway.expireEvacuations(servers, now));
}
