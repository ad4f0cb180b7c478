/** Takes configurations from the store into force. */
import * as gateway from '@toucanproxy/core/gateway';
import type * as callerServer from './caller-server.js';
import type * as decisionLog from './decision-log.js';
import type * as gatewaySettings from './gateway-settings.js';
import type * as storeCodec from './store-codec.js';

export type ConfigurationParts = {
  state: gateway.GatewayState;
  settings: gatewaySettings.GatewaySettings;
  codec: storeCodec.StoreCodec;
  log: decisionLog.DecisionLog;
  callers: callerServer.CallerServer;
};

/** Takes one reading of the configuration in; older versions are left out. */
function applyItem(parts: ConfigurationParts, { value }: storeCodec.StoreItem): void {
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

/** Takes in those of some items that are the configuration. */
export function applyConfigurations(
  parts: ConfigurationParts,
  items: readonly storeCodec.StoreItem[],
): void {
  items
    .filter((item) => item.key === parts.settings.configurationKey)
    .forEach((item) => {
      try {
        applyItem(parts, item);
      } catch (error) {
        // The version in force stays; a faulty one would take every route away.
        parts.log.writeAlways('configuration-faulty', { reason: (error as Error).message });
      }
    });
}
