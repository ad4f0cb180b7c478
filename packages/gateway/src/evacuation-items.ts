/** Applies the evacuations of failure domains that operators have set in the store. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as clocks from './clocks.js';
import type * as decisionLog from './decision-log.js';
import type * as gatewaySettings from './gateway-settings.js';
import type * as storeCodec from './store-codec.js';

export type EvacuationDependencies = {
  state: gateway.GatewayState;
  settings: gatewaySettings.GatewaySettings;
  codec: storeCodec.StoreCodec;
  readClocks: clocks.ReadClocks;
  log: decisionLog.DecisionLog;
};

/** Converts the items that are evacuations to changes. */
function listChanges(
  { settings, codec }: EvacuationDependencies,
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

/** Logs changes. */
function reportChanges(
  { log }: EvacuationDependencies,
  changes: readonly gateway.EvacuationChange[],
): void {
  changes.forEach(({ isEvacuated, ...change }) =>
    log.writeAlways(isEvacuated ? 'domain-evacuated' : 'domain-returned', change),
  );
}

/** Applies the complete list of evacuations; a failure domain that is not in it is in use. */
export function applyAllEvacuations(
  dependencies: EvacuationDependencies,
  items: readonly storeCodec.StoreItem[],
  revision: gateway.StoreRevision,
): void {
  const evacuated = listChanges(dependencies, items);
  const now = dependencies.readClocks().steadyMs;
  const { servers } = dependencies.state;
  reportChanges(dependencies, gateway.applyEvacuationList(servers, evacuated, revision, now));
}

/** Applies the evacuations that have changed. */
export function applyEvacuationChanges(
  dependencies: EvacuationDependencies,
  items: readonly storeCodec.StoreItem[],
): void {
  const changes = listChanges(dependencies, items);
  const now = dependencies.readClocks().steadyMs;
  const { servers } = dependencies.state;
  reportChanges(dependencies, gateway.applyEvacuations(servers, changes, now));
  reportChanges(dependencies, gateway.expireEvacuations(servers, now));
}
