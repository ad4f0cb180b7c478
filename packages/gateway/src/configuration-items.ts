/** Activates configurations that are read from the store. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as callerServer from './caller-server.js';
import type * as decisionLog from './decision-log.js';
import type * as gatewaySettings from './gateway-settings.js';
import type * as storeCodec from './store-codec.js';

export type ConfigurationDependencies = {
  state: gateway.GatewayState;
  settings: gatewaySettings.GatewaySettings;
  codec: storeCodec.StoreCodec;
  log: decisionLog.DecisionLog;
  callers: callerServer.CallerServer;
};

/** Activates a configuration unless its version is not newer than the active one. */
function applyItem(dependencies: ConfigurationDependencies, { value }: storeCodec.StoreItem): void {
  const { state, codec, log, callers } = dependencies;
  if (value === undefined) {
    log.writeAlways('configuration-deleted', {});
    return;
  }
  const configuration = codec.decodeConfiguration(value);
  const version = state.index?.configuration.version ?? -1;
  if (configuration.version <= version) {
    return;
  }
  state.index = gateway.buildConfigurationIndex(configuration);
  callers.applyBounds(configuration.callerBounds);
  log.writeAlways('configuration', { version: configuration.version, before: version });
}

/** Applies the items that are the configuration. */
export function applyConfigurations(
  dependencies: ConfigurationDependencies,
  items: readonly storeCodec.StoreItem[],
): void {
  items
    .filter((item) => item.key === dependencies.settings.configurationKey)
    .forEach((item) => {
      try {
        applyItem(dependencies, item);
      } catch (error) {
        // The active version is kept, since an invalid one would remove every route.
        dependencies.log.writeAlways('configuration-faulty', { reason: (error as Error).message });
      }
    });
}
