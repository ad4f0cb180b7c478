/** Checks of a service document beyond its structure and types. */
import * as address from './address.js';
import * as documentDefaults from './document-defaults.js';
import * as fault from './fault.js';
import * as documentPb from './generated/toucanproxy/v1/document_pb.js';

type DocumentCheck = fault.Check<documentPb.ServiceDocument>;
type Ranges = Record<string, [least: number, most: number]>;

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const NAME_RULE = 'up to 63 letters, digits, ".", "_" and "-", the first a letter or digit';
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const DIGEST_RULE = 'the SHA-256 of the token as 64 lower-case hexadecimal digits';

/** Upper bound on the `maxBodyBytes` that a document may set, bytes. */
export const HARD_BODY_LIMIT = 64 * 1024 * 1024;

const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;
const DAY_MS = 24 * 60 * MINUTE_MS;

/** Allowed ranges of the timing fields, milliseconds; 0 always stands for the default. */
const TIMING_RANGES: Ranges = {
  defaultDeadlineMs: [1, DAY_MS],
  maxDeadlineMs: [1, DAY_MS],
  keyWindowMs: [1, DAY_MS],
  clockSkewMs: [1, MINUTE_MS],
  heartbeatIntervalMs: [10, MINUTE_MS],
  heartbeatTimeoutMs: [20, 10 * MINUTE_MS],
};

/** Allowed ranges of the limits; 0 always stands for the default. */
const LIMIT_RANGES: Ranges = {
  maxBodyBytes: [1, HARD_BODY_LIMIT],
  maxWaiting: [1, 1_000_000],
  maxRequestsPerWorkspace: [1, 1_000_000],
  maxQueued: [1, 100_000],
  maxRunning: [1, 10_000],
  maxRunningTokens: [1, 100_000_000],
  urgentHeadroomPercent: [1, 90],
  retryBudgetPercent: [1, 100],
};

const checkIdentity: DocumentCheck = (document) => [
  ...fault.expectThat(
    NAME_PATTERN.test(document.service),
    '$.service',
    document.service,
    NAME_RULE,
  ),
  ...fault.expectThat(document.version > 0, '$.version', document.version, 'a whole number from 1'),
  ...fault.expectThat(
    document.kind !== documentPb.ServiceKind.UNSPECIFIED,
    '$.kind',
    documentPb.ServiceKind[document.kind],
    'SERVICE_KIND_MODEL or SERVICE_KIND_PLAIN',
  ),
];

const checkTiers: DocumentCheck = ({ tiers }) => [
  ...fault.expectThat(
    tiers.length > 0,
    '$.tiers',
    tiers,
    'at least one tier, the most urgent first',
  ),
  ...tiers.flatMap((tier, index) =>
    fault.expectThat(NAME_PATTERN.test(tier), `$.tiers[${index}]`, tier, NAME_RULE),
  ),
  ...fault.listRepeated(tiers, (index) => `$.tiers[${index}]`),
];

const checkRoutes: DocumentCheck = ({ routes }) => {
  const prefixes = routes.map((route) => route.pathPrefix);
  const toPath = (index: number) => `$.routes[${index}].pathPrefix`;
  return [
    ...fault.expectThat(routes.length > 0, '$.routes', routes, 'at least one route'),
    ...prefixes.flatMap((prefix, index) =>
      fault.expectThat(
        prefix.startsWith('/'),
        toPath(index),
        prefix,
        'a path that begins with "/"',
      ),
    ),
    ...fault.listRepeated(prefixes, toPath),
  ];
};

const checkWorkspaces: DocumentCheck = ({ workspaces }) => {
  const names = workspaces.map((workspace) => workspace.name);
  const toPath = (index: number) => `$.workspaces[${index}].name`;
  return [
    ...names.flatMap((name, index) =>
      fault.expectThat(NAME_PATTERN.test(name), toPath(index), name, NAME_RULE),
    ),
    ...fault.listRepeated(names, toPath),
  ];
};

/** Describes a token digest without showing it, as it may be the token itself by mistake. */
function describeDigest(value: string): string {
  return `${value.length} characters, not shown`;
}

const checkTokens: DocumentCheck = ({ credentials }) => {
  const digests = credentials.map((credential) => credential.tokenSha256);
  const toPath = (index: number) => `$.credentials[${index}].tokenSha256`;
  const malformed = digests.flatMap((digest, index) =>
    DIGEST_PATTERN.test(digest)
      ? []
      : [{ path: toPath(index), found: describeDigest(digest), allowed: DIGEST_RULE }],
  );
  return [...malformed, ...fault.listRepeated(digests, toPath, describeDigest)];
};

const checkCredentials: DocumentCheck = ({ credentials, workspaces, tiers }) => {
  const names = workspaces.map((workspace) => workspace.name);
  return credentials.flatMap(({ workspace, tier }, index) => {
    const path = `$.credentials[${index}]`;
    return [
      ...fault.expectThat(
        names.includes(workspace),
        `${path}.workspace`,
        workspace,
        `a name of $.workspaces: ${names.join(', ')}`,
      ),
      ...fault.expectThat(
        tiers.includes(tier),
        `${path}.tier`,
        tier,
        `a name of $.tiers: ${tiers.join(', ')}`,
      ),
    ];
  });
};

const checkServerNames: DocumentCheck = ({ backendServers }) => {
  const toPath = (index: number) => `$.backendServers[${index}].id`;
  const ids = backendServers.map((server) => server.id);
  return [
    ...ids.flatMap((id, index) =>
      fault.expectThat(NAME_PATTERN.test(id), toPath(index), id, NAME_RULE),
    ),
    ...fault.listRepeated(ids, toPath),
  ];
};

const checkServerAddresses: DocumentCheck = ({ backendServers }) =>
  backendServers.flatMap((server, index) => {
    const path = `$.backendServers[${index}].address`;
    const first = backendServers.findIndex(
      (one) => one.address === server.address && one.state !== documentPb.BackendServerState.GONE,
    );
    const taken = server.state !== documentPb.BackendServerState.GONE && first < index;
    return [
      ...fault.expectThat(
        address.isAddress(server.address),
        path,
        server.address,
        address.ADDRESS_RULE,
      ),
      ...fault.expectThat(!taken, path, server.address, `an address other than that of [${first}]`),
    ];
  });

const checkServerDomains: DocumentCheck = ({ backendServers }) =>
  backendServers.flatMap((server, index) =>
    fault.expectThat(
      server.failureDomain !== '',
      `$.backendServers[${index}].failureDomain`,
      server.failureDomain,
      'the name of a failure domain',
    ),
  );

const checkServerVersions: DocumentCheck = ({ backendServers, version }) =>
  backendServers.flatMap((server, index) => {
    const { addedInVersion: added, goneInVersion: gone } = server;
    const path = `$.backendServers[${index}]`;
    const isGone = server.state === documentPb.BackendServerState.GONE;
    const goneRule = isGone
      ? `BACKEND_SERVER_STATE_GONE needs a version from ${added} to ${version}`
      : '0, or the state BACKEND_SERVER_STATE_GONE';
    return [
      ...fault.expectThat(
        added >= 1 && added <= version,
        `${path}.addedInVersion`,
        added,
        `a version from 1 to ${version}`,
      ),
      ...fault.expectThat(
        isGone ? gone >= added && gone <= version && gone > 0 : gone === 0,
        `${path}.goneInVersion`,
        gone,
        goneRule,
      ),
    ];
  });

const checkSettled: DocumentCheck = ({ settledVersion, version }) =>
  fault.expectThat(
    settledVersion <= version,
    '$.settledVersion',
    settledVersion,
    `a version from 0 to ${version}`,
  );

/** Checks that each number that is set is within its range. */
function checkRanges(path: string, given: object | undefined, ranges: Ranges): fault.Fault[] {
  return Object.entries(ranges).flatMap(([name, [least, most]]) => {
    const value = (given as Record<string, number> | undefined)?.[name] ?? 0;
    const isValid = value === 0 || (value >= least && value <= most);
    return fault.expectThat(
      isValid,
      `${path}.${name}`,
      value,
      `${least} to ${most}, 0 for the default`,
    );
  });
}

const checkTimingRanges: DocumentCheck = (document) =>
  checkRanges('$.timing', document.timing, TIMING_RANGES);

const checkLimitRanges: DocumentCheck = (document) =>
  checkRanges('$.limits', document.limits, LIMIT_RANGES);

const checkDeadlines: DocumentCheck = (document) => {
  const { defaultDeadlineMs, maxDeadlineMs } = documentDefaults.getTiming(document);
  return fault.expectThat(
    defaultDeadlineMs <= maxDeadlineMs,
    '$.timing.defaultDeadlineMs',
    defaultDeadlineMs,
    `at most maxDeadlineMs, which is ${maxDeadlineMs}`,
  );
};

// With a timeout of two intervals or less, a single late heartbeat would close a link.
const checkHeartbeats: DocumentCheck = (document) => {
  const { heartbeatIntervalMs, heartbeatTimeoutMs } = documentDefaults.getTiming(document);
  return fault.expectThat(
    heartbeatTimeoutMs > 2 * heartbeatIntervalMs,
    '$.timing.heartbeatTimeoutMs',
    heartbeatTimeoutMs,
    `more than twice heartbeatIntervalMs, which is ${heartbeatIntervalMs}`,
  );
};

/** The rules for a document. */
export const DOCUMENT_RULES: fault.Rule<documentPb.ServiceDocument>[] = [
  { reads: ['service', 'version', 'kind'], check: checkIdentity },
  { reads: ['tiers'], check: checkTiers },
  { reads: ['routes'], check: checkRoutes },
  { reads: ['workspaces'], check: checkWorkspaces },
  { reads: ['credentials'], check: checkTokens },
  { reads: ['credentials', 'workspaces', 'tiers'], check: checkCredentials },
  { reads: ['backendServers'], check: checkServerNames },
  { reads: ['backendServers'], check: checkServerAddresses },
  { reads: ['backendServers'], check: checkServerDomains },
  { reads: ['backendServers', 'version'], check: checkServerVersions },
  { reads: ['settledVersion', 'version'], check: checkSettled },
  { reads: ['timing'], check: checkTimingRanges },
  { reads: ['limits'], check: checkLimitRanges },
  { reads: ['timing'], check: checkDeadlines },
  { reads: ['timing'], check: checkHeartbeats },
];
