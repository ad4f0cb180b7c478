/** Checks the change from the active service document to a new version. */
import * as fault from './fault.js';
import * as documentPb from './generated/toucanproxy/v1/document_pb.js';

type ChangeCheck = (
  before: documentPb.ServiceDocument,
  after: documentPb.ServiceDocument,
) => fault.Fault[];

const { GONE } = documentPb.BackendServerState;

const checkService: ChangeCheck = (before, after) =>
  fault.expectThat(after.service === before.service, '$.service', after.service, before.service);

const checkVersion: ChangeCheck = (before, after) => [
  ...fault.expectThat(
    after.version > before.version,
    '$.version',
    after.version,
    `more than ${before.version}`,
  ),
  ...fault.expectThat(
    after.settledVersion >= before.settledVersion,
    '$.settledVersion',
    after.settledVersion,
    `${before.settledVersion} or more`,
  ),
];

// The agent of a backend server that is left out is no longer a home agent of keys, although its
// process may still hold their bindings and run requests. So it must be declared gone first.
const checkRemoved: ChangeCheck = (before, after) => {
  const named = new Set(after.backendServers.map((server) => server.id));
  return before.backendServers
    .filter((server) => server.state !== GONE && !named.has(server.id))
    .map((server) => ({
      path: '$.backendServers',
      found: `no ${server.id}`,
      allowed: `${server.id} with BACKEND_SERVER_STATE_GONE before it is left out`,
    }));
};

const checkServers: ChangeCheck = (before, after) =>
  after.backendServers.flatMap((server, index) => {
    const path = `$.backendServers[${index}]`;
    const old = before.backendServers.find((one) => one.id === server.id);
    if (old === undefined) {
      const allowed = `a version from ${before.version + 1} to ${after.version}`;
      const isNew = server.addedInVersion > before.version;
      return fault.expectThat(isNew, `${path}.addedInVersion`, server.addedInVersion, allowed);
    }
    return [
      ...fault.expectThat(
        server.addedInVersion === old.addedInVersion,
        `${path}.addedInVersion`,
        server.addedInVersion,
        `${old.addedInVersion}, as before`,
      ),
      ...fault.expectThat(
        old.state !== GONE || server.state === GONE,
        `${path}.state`,
        documentPb.BackendServerState[server.state],
        'BACKEND_SERVER_STATE_GONE for good; a new backend server takes a new id',
      ),
      ...fault.expectThat(
        old.state !== GONE || server.goneInVersion === old.goneInVersion,
        `${path}.goneInVersion`,
        server.goneInVersion,
        `${old.goneInVersion}, as before`,
      ),
      ...fault.expectThat(
        old.state === GONE || server.state !== GONE || server.goneInVersion > before.version,
        `${path}.goneInVersion`,
        server.goneInVersion,
        `a version from ${before.version + 1} to ${after.version}`,
      ),
    ];
  });

const CHANGE_CHECKS: ChangeCheck[] = [checkService, checkVersion, checkRemoved, checkServers];

/** Lists all faults of the change from one version of a document to the next. */
export function checkChange(
  before: documentPb.ServiceDocument,
  after: documentPb.ServiceDocument,
): fault.Fault[] {
  return CHANGE_CHECKS.flatMap((check) => check(before, after));
}
