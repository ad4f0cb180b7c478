import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backendServers from './backend-servers.js';
import * as evacuationChanges from './evacuation-changes.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as serverEntries from './server-entries.js';
import * as serverStatements from './server-statements.js';
import * as warmUpTimes from './warm-up-times.js';

const { test } = nodeTest;
const { buildEntry, buildRevision } = gatewayFixture;
const RETURN_MS = 2000;
const HELD_MS = 6000;
const DOMAIN = 'd1';

/** Creates a registry from a snapshot of the store's first epoch. */
function createServers(
  entries: Parameters<typeof serverEntries.applySnapshot>[1],
  count = 100,
): backendServers.BackendServers {
  const servers = backendServers.createBackendServers();
  serverEntries.applySnapshot(servers, entries, buildRevision(count, 1), 0);
  return servers;
}

/** Applies a snapshot of a store that has been restored from an older backup. */
function applyRestoredSnapshot(
  servers: backendServers.BackendServers,
  entries: Parameters<typeof serverEntries.applySnapshot>[1],
  count: number,
  now: number,
): serverEntries.MembershipChange[] {
  backendServers.noteStoreReturned(servers, RETURN_MS, now);
  return serverEntries.applySnapshot(servers, entries, buildRevision(count, 2), now);
}

/** Builds a change that starts or ends the evacuation of the failure domain. */
function buildEvacuation(count: number, epoch: number, isEvacuated: boolean) {
  return { failureDomain: DOMAIN, isEvacuated, revision: buildRevision(count, epoch) };
}

/** Returns whether a backend server may receive new work. */
function isUsable(servers: backendServers.BackendServers, id: string, now: number): boolean {
  return backendServers.findUsable(servers, id, now) !== undefined;
}

test('server missing from the backup is removed', () => {
  // Its entry has a higher write count than the restored snapshot, so it could look newer
  // than the snapshot and never be removed.
  const servers = createServers([buildEntry('a', { revision: buildRevision(98, 1) })]);
  applyRestoredSnapshot(servers, [], 90, 1000);
  assert.equal(isUsable(servers, 'a', 2999), true);
  assert.equal(serverEntries.expireMissing(servers, 3000)[0].change, 'gone');
});

test('running server writes its entry again', () => {
  const servers = createServers([buildEntry('a', { revision: buildRevision(98, 1) })]);
  applyRestoredSnapshot(servers, [], 90, 1000);
  serverEntries.applyEntry(servers, buildEntry('a', { revision: buildRevision(91, 2) }), 1500);
  assert.deepEqual(serverEntries.expireMissing(servers, 9000), []);
  assert.equal(isUsable(servers, 'a', 9000), true);
});

test('domain evacuated again with a lower write count', () => {
  // A new change by an operator must not be ignored because its count is lower than that of a
  // change before the restore.
  const servers = createServers([]);
  evacuationChanges.applyEvacuations(servers, [buildEvacuation(100, 1, true)], 0);
  evacuationChanges.applyEvacuations(servers, [buildEvacuation(110, 1, false)], 1);
  assert.equal(
    evacuationChanges.applyEvacuations(servers, [buildEvacuation(95, 2, true)], 2).length,
    1,
  );
  assert.equal(
    evacuationChanges.applyEvacuations(servers, [buildEvacuation(130, 1, false)], 3).length,
    0,
  );
});

test('evacuation missing from the backup is held', () => {
  // The restore lost the evacuation of a domain: no requests may go there until operators
  // have had time to write it again.
  const servers = createServers([buildEntry('a', { failureDomain: DOMAIN })]);
  evacuationChanges.applyEvacuations(servers, [buildEvacuation(100, 1, true)], 0);
  const revision = buildRevision(90, 2);
  assert.deepEqual(evacuationChanges.applyEvacuationList(servers, [], revision, 1000), []);
  serverEntries.noteReadRevision(servers, revision);
  assert.deepEqual(evacuationChanges.expireEvacuations(servers, 1000 + HELD_MS - 1), []);
  assert.equal(isUsable(servers, 'a', 1000 + HELD_MS - 1), false);
  assert.equal(evacuationChanges.expireEvacuations(servers, 1000 + HELD_MS).length, 1);
  assert.equal(isUsable(servers, 'a', 1000 + HELD_MS), true);
});

test('evacuation that is written again stays active', () => {
  const servers = createServers([]);
  evacuationChanges.applyEvacuations(servers, [buildEvacuation(100, 1, true)], 0);
  evacuationChanges.applyEvacuationList(servers, [], buildRevision(90, 2), 1000);
  evacuationChanges.applyEvacuations(servers, [buildEvacuation(92, 2, true)], 1500);
  assert.deepEqual(evacuationChanges.expireEvacuations(servers, 60_000), []);
});

test('entry received with a grant after a restore', () => {
  // An entry of the new epoch must not be ignored as older than what was read before.
  const servers = createServers([]);
  applyRestoredSnapshot(servers, [], 90, 1000);
  serverEntries.applyGrantedEntry(
    servers,
    buildEntry('a', { revision: buildRevision(120, 1) }),
    1001,
  );
  assert.equal(isUsable(servers, 'a', 1001), false);
  serverEntries.applyGrantedEntry(
    servers,
    buildEntry('a', { revision: buildRevision(91, 2) }),
    1002,
  );
  assert.equal(isUsable(servers, 'a', 1002), true);
});

test('leaving server that is in service in the backup', () => {
  // The backup is from before the server announced that it is leaving: requests must not go to
  // a server that is shutting down.
  const servers = createServers([buildEntry('a', { revision: buildRevision(40, 1) })]);
  const leaving = buildEntry('a', { leaving: true, revision: buildRevision(98, 1) });
  serverEntries.applyEntry(servers, leaving, 10);
  applyRestoredSnapshot(servers, [buildEntry('a', { revision: buildRevision(40, 2) })], 90, 1000);
  assert.equal(isUsable(servers, 'a', 1000 + HELD_MS - 1), false);
  assert.equal(isUsable(servers, 'a', 1000 + HELD_MS), true);
  serverEntries.applyEntry(servers, { ...leaving, revision: buildRevision(91, 2) }, 1500);
  assert.equal(isUsable(servers, 'a', 1000 + HELD_MS), false);
});

test('removed server that is in the backup', () => {
  // Requests must not go to a server that has left, although its restored entry remains until
  // it expires.
  const entry = buildEntry('a', { revision: buildRevision(40, 1) });
  const servers = createServers([entry]);
  assert.equal(serverEntries.removeEntry(servers, 'a', 500)?.change, 'gone');
  applyRestoredSnapshot(servers, [{ ...entry, revision: buildRevision(40, 2) }], 90, 1000);
  assert.equal(isUsable(servers, 'a', 1001), false);
  serverEntries.applyEntry(servers, { ...entry, revision: buildRevision(93, 2) }, 1500);
  assert.equal(isUsable(servers, 'a', 1500), true);
});

test('new incarnation of a removed server is used at once', () => {
  const entry = buildEntry('a', { revision: buildRevision(40, 1) });
  const servers = createServers([entry]);
  serverEntries.removeEntry(servers, 'a', 500);
  applyRestoredSnapshot(
    servers,
    [{ ...entry, bornMs: 2, revision: buildRevision(91, 2) }],
    92,
    1000,
  );
  assert.equal(isUsable(servers, 'a', 1001), true);
});

test('removed server whose entry arrives with a grant is not held', () => {
  const entry = buildEntry('a', { revision: buildRevision(40, 1) });
  const servers = createServers([entry]);
  serverEntries.removeEntry(servers, 'a', 500);
  serverEntries.applyGrantedEntry(servers, { ...entry, revision: buildRevision(101, 1) }, 600);
  assert.equal(isUsable(servers, 'a', 600), true);
});

test('server that is warming up and is warm in the backup', () => {
  // The restore lost the entry of a server that is warming up: the server must not receive a
  // burst of requests.
  const servers = createServers([buildEntry('a', { revision: buildRevision(40, 1) })]);
  const warming = { warmUpLeftMs: 3000, revision: buildRevision(98, 1) };
  serverEntries.applyEntry(servers, buildEntry('a', warming), 900);
  applyRestoredSnapshot(servers, [buildEntry('a', { revision: buildRevision(40, 2) })], 90, 1000);
  const known = servers.byId.get('a');
  assert.ok(known !== undefined && warmUpTimes.computeWarmUpEnd(servers, known, 3000) > 3000);
});

test('restored entry is older than the return of its domain', () => {
  // An entry that was read in a later epoch must not look newer than it is.
  const entry = buildEntry('a', { failureDomain: DOMAIN, revision: buildRevision(40, 1) });
  const servers = createServers([entry]);
  evacuationChanges.applyEvacuations(servers, [buildEvacuation(50, 1, true)], 0);
  evacuationChanges.applyEvacuations(servers, [buildEvacuation(80, 1, false)], 900);
  applyRestoredSnapshot(servers, [{ ...entry, revision: buildRevision(40, 2) }], 90, 1000);
  const known = servers.byId.get('a');
  assert.ok(known !== undefined && warmUpTimes.computeWarmUpEnd(servers, known, 3000) === 3900);
});

// Guards against requests to a server in backoff, or leaving, as the backup is from before its restart.
test('backup with an earlier incarnation keeps the later one', () => {
  const early = { bornMs: 1, revision: buildRevision(40, 1) };
  const servers = createServers([buildEntry('a', early)]);
  const late = buildEntry('a', { bornMs: 2, revision: buildRevision(98, 1) });
  serverEntries.applyEntry(servers, late, 10);
  const statement = { ...serverStatements.EMPTY_STATEMENT, sentWallMs: 3, backoffMs: 3000 };
  backendServers.applyStatement(servers, late, statement, 20);
  const restored = { ...early, revision: buildRevision(40, 2) };
  const changes = applyRestoredSnapshot(servers, [buildEntry('a', restored)], 90, 1000);
  const entry = backendServers.findUsable(servers, 'a', 1001);
  assert.deepEqual(changes, []);
  assert.ok(entry !== undefined);
  assert.equal(serverStatements.computeBackoffLeft(servers.statements, entry, 1020), 2000);
  const later = { bornMs: 5, revision: buildRevision(93, 2) };
  serverEntries.applyEntry(servers, buildEntry('a', later), 1500);
  assert.equal(backendServers.findUsable(servers, 'a', 1500)?.bornMs, 5);
});

// Guards against requests to a removed server whose backup is from before its last restart.
test('removed server with an earlier incarnation in the backup', () => {
  const late = buildEntry('a', { bornMs: 2, revision: buildRevision(80, 1) });
  const servers = createServers([late]);
  serverEntries.removeEntry(servers, 'a', 500);
  const restored = { bornMs: 1, revision: buildRevision(40, 2) };
  applyRestoredSnapshot(servers, [buildEntry('a', restored)], 90, 1000);
  assert.equal(isUsable(servers, 'a', 1001), false);
});
