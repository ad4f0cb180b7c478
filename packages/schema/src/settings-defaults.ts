/** Default values for settings. */
import * as protobuf from '@bufbuild/protobuf';
import * as settingsPb from './generated/toucanproxy/v1/settings_pb.js';

const DEFAULT_HOST = '127.0.0.1';
const DEFAULT_WATCH_WAIT_MS = 30_000;

export const DEFAULT_CALLER_LIMITS = {
  maxConnections: 10_000,
  maxHeaderBytes: 16_384,
  headersTimeoutMs: 10_000,
  bodyTimeoutMs: 60_000,
  maxAnswerBufferBytes: 4 * 1024 * 1024,
  readTimeoutMs: 30_000,
  maxPipelined: 16,
};

export type EffectiveCallerLimits = typeof DEFAULT_CALLER_LIMITS;

/** Returns the limits on callers, with defaults for what the settings leave out. */
export function getCallerLimits(
  limits: settingsPb.CallerLimits | undefined,
): EffectiveCallerLimits {
  const entries = Object.entries(DEFAULT_CALLER_LIMITS).map(([name, value]) => {
    const given = limits?.[name as keyof EffectiveCallerLimits];
    return [name, given || value];
  });
  return Object.fromEntries(entries) as EffectiveCallerLimits;
}

/** Applies defaults to an address to listen on. */
function applyListenDefaults(
  listen: settingsPb.ListenAddress | undefined,
): settingsPb.ListenAddress {
  const { host = '', port = 0 } = listen ?? {};
  return protobuf.create(settingsPb.ListenAddressSchema, { host: host || DEFAULT_HOST, port });
}

/** Applies defaults to the settings for reading from the platform. */
function applyPlatformDefaults(
  platform: settingsPb.PlatformSettings | undefined,
): settingsPb.PlatformSettings {
  const { configurationUrl = '', vmListUrl = '', watchWaitMs = 0 } = platform ?? {};
  return protobuf.create(settingsPb.PlatformSettingsSchema, {
    configurationUrl,
    vmListUrl,
    watchWaitMs: watchWaitMs || DEFAULT_WATCH_WAIT_MS,
  });
}

/** Applies defaults to the settings of an entry. */
export function applyEntryDefaults(settings: settingsPb.EntrySettings): settingsPb.EntrySettings {
  return protobuf.create(settingsPb.EntrySettingsSchema, {
    ...settings,
    callers: applyListenDefaults(settings.callers),
    operators: applyListenDefaults(settings.operators),
    platform: applyPlatformDefaults(settings.platform),
    callerLimits: protobuf.create(
      settingsPb.CallerLimitsSchema,
      getCallerLimits(settings.callerLimits),
    ),
  });
}

/** Applies defaults to the settings of an agent. */
export function applyAgentDefaults(settings: settingsPb.AgentSettings): settingsPb.AgentSettings {
  return protobuf.create(settingsPb.AgentSettingsSchema, {
    ...settings,
    links: applyListenDefaults(settings.links),
    operators: applyListenDefaults(settings.operators),
    platform: applyPlatformDefaults(settings.platform),
  });
}
