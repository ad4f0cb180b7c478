/** Checks of settings beyond their structure and types. */
import * as net from 'node:net';
import * as address from './address.js';
import * as fault from './fault.js';
import * as settingsPb from './generated/toucanproxy/v1/settings_pb.js';
import * as settingsDefaults from './settings-defaults.js';

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const NAME_RULE = 'up to 63 letters, digits, ".", "_" and "-", the first a letter or digit';
const MAX_WATCH_WAIT_MS = 600_000;

/** Allowed ranges of the limits on callers; 0 always stands for the default. */
const CALLER_LIMIT_RANGES: Record<
  keyof settingsDefaults.EffectiveCallerLimits,
  [least: number, most: number]
> = {
  maxConnections: [1, 1_000_000],
  maxHeaderBytes: [1024, 1_048_576],
  headersTimeoutMs: [100, 600_000],
  bodyTimeoutMs: [100, 3_600_000],
  maxAnswerBufferBytes: [65_536, 1_073_741_824],
  readTimeoutMs: [100, 3_600_000],
  maxPipelined: [1, 1000],
};

/** Checks the name of a process, service or failure domain. */
function checkName(path: string, name: string): fault.Fault[] {
  return fault.expectThat(NAME_PATTERN.test(name), path, name, NAME_RULE);
}

/** Checks an address to listen on; fields that are left out have defaults. */
function checkListen(path: string, listen: settingsPb.ListenAddress | undefined): fault.Fault[] {
  const { host = '', port = 0 } = listen ?? {};
  return [
    ...fault.expectThat(host === '' || net.isIP(host) > 0, `${path}.host`, host, 'an IP number'),
    ...fault.expectThat(port === 0 || address.isPort(port), `${path}.port`, port, '0 to 65535'),
  ];
}

/** Checks the URLs of the platform and the wait time of its watch calls. */
function checkPlatform(platform: settingsPb.PlatformSettings | undefined): fault.Fault[] {
  const { configurationUrl = '', vmListUrl = '', watchWaitMs = 0 } = platform ?? {};
  return [
    ...fault.expectThat(
      address.isHttpUrl(configurationUrl),
      '$.platform.configurationUrl',
      configurationUrl,
      address.URL_RULE,
    ),
    ...fault.expectThat(
      vmListUrl === '' || address.isHttpUrl(vmListUrl),
      '$.platform.vmListUrl',
      vmListUrl,
      `${address.URL_RULE}, or empty`,
    ),
    ...fault.expectThat(
      watchWaitMs <= MAX_WATCH_WAIT_MS,
      '$.platform.watchWaitMs',
      watchWaitMs,
      `0 to ${MAX_WATCH_WAIT_MS}, 0 for the default`,
    ),
  ];
}

/** Checks the limits on callers. */
function checkCallerLimits(limits: settingsPb.CallerLimits | undefined): fault.Fault[] {
  return Object.entries(CALLER_LIMIT_RANGES).flatMap(([name, [least, most]]) => {
    const value = limits?.[name as keyof settingsDefaults.EffectiveCallerLimits] ?? 0;
    const isValid = value === 0 || (value >= least && value <= most);
    const allowed = `${least} to ${most}, 0 for the default`;
    return fault.expectThat(isValid, `$.callerLimits.${name}`, value, allowed);
  });
}

/** Checks the list of services that an entry accepts requests for. */
function checkServices(services: string[]): fault.Fault[] {
  const toPath = (index: number) => `$.services[${index}]`;
  return [
    ...fault.expectThat(services.length > 0, '$.services', services, 'at least one service'),
    ...services.flatMap((service, index) => checkName(toPath(index), service)),
    ...fault.listRepeated(services, toPath),
  ];
}

/** The rules for the settings of an entry. */
export const ENTRY_RULES: fault.Rule<settingsPb.EntrySettings>[] = [
  { reads: ['entryId'], check: (one) => checkName('$.entryId', one.entryId) },
  { reads: ['failureDomain'], check: (one) => checkName('$.failureDomain', one.failureDomain) },
  { reads: ['callers'], check: (one) => checkListen('$.callers', one.callers) },
  { reads: ['operators'], check: (one) => checkListen('$.operators', one.operators) },
  { reads: ['platform'], check: (one) => checkPlatform(one.platform) },
  { reads: ['services'], check: (one) => checkServices(one.services) },
  { reads: ['callerLimits'], check: (one) => checkCallerLimits(one.callerLimits) },
];

/** The rules for the settings of an agent. */
export const AGENT_RULES: fault.Rule<settingsPb.AgentSettings>[] = [
  {
    reads: ['backendServerId'],
    check: (one) => checkName('$.backendServerId', one.backendServerId),
  },
  { reads: ['service'], check: (one) => checkName('$.service', one.service) },
  { reads: ['failureDomain'], check: (one) => checkName('$.failureDomain', one.failureDomain) },
  { reads: ['links'], check: (one) => checkListen('$.links', one.links) },
  { reads: ['operators'], check: (one) => checkListen('$.operators', one.operators) },
  { reads: ['platform'], check: (one) => checkPlatform(one.platform) },
  {
    reads: ['engineUrl'],
    check: ({ engineUrl }) =>
      fault.expectThat(address.isHttpUrl(engineUrl), '$.engineUrl', engineUrl, address.URL_RULE),
  },
  {
    reads: ['firstTrafficMs'],
    check: ({ firstTrafficMs }) =>
      fault.expectThat(
        Number.isInteger(firstTrafficMs) && firstTrafficMs >= 0,
        '$.firstTrafficMs',
        firstTrafficMs,
        'a whole number of milliseconds since 1970, or 0',
      ),
  },
];
