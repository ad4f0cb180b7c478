/** Activates configurations that are read from the store. */
import * as gateway from '@toucanproxy/core/gateway';
import * as schema from '@toucanproxy/schema';
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

/** Maximum number of faults in one log line. */
const MAX_LOGGED_FAULTS = 20;
const FAULT_CODE = schema.ResultCode.CONFIGURATION_FAULT;
const FAULT_FIELDS = { code: FAULT_CODE, result: schema.ResultCode[FAULT_CODE] };

/** Logs the numbers of an active configuration that were replaced. */
function reportReplaced(
  log: decisionLog.DecisionLog,
  version: number,
  replaced: readonly schema.Fault[],
): void {
  if (replaced.length > 0) {
    const faults = replaced.slice(0, MAX_LOGGED_FAULTS).map(schema.formatFault);
    const fields = { ...FAULT_FIELDS, version, count: replaced.length, faults };
    log.writeAlways('configuration-replaced', fields);
  }
}

/** Activates a configuration if its version is newer than the active one; returns whether it is. */
function applyItem(
  dependencies: ConfigurationDependencies,
  { value }: storeCodec.StoreItem,
): boolean {
  const { state, codec, log, callers } = dependencies;
  if (value === undefined) {
    log.writeAlways('configuration-deleted', {});
    return false;
  }
  const { configuration, replaced } = codec.decodeConfiguration(value);
  const version = state.index?.configuration.version ?? -1;
  if (configuration.version <= version) {
    return false;
  }
  state.index = gateway.buildConfigurationIndex(configuration);
  callers.applyBounds(configuration.callerBounds);
  log.writeAlways('configuration', { version: configuration.version, before: version });
  reportReplaced(log, configuration.version, replaced);
  return true;
}

/** Applies an item; an invalid one is reported, and the active version is kept. */
function acceptItem(dependencies: ConfigurationDependencies, item: storeCodec.StoreItem): boolean {
  try {
    return applyItem(dependencies, item);
  } catch (error) {
    dependencies.log.writeAlways('configuration-faulty', {
      ...FAULT_FIELDS,
      reason: (error as Error).message,
    });
    return false;
  }
}

/**
 * Applies the newest valid configuration among items that are in the order of their revisions.
 * Earlier ones are not decoded: in a series of large configurations, that would take longer than
 * the series.
 */
export function applyConfigurations(
  dependencies: ConfigurationDependencies,
  items: readonly storeCodec.StoreItem[],
): void {
  items
    .filter((item) => item.key === dependencies.settings.configurationKey)
    .reverse()
    .some((item) => acceptItem(dependencies, item));
}
