import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backendServers from './backend-servers.js';
import * as evacuationChanges from './evacuation-changes.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as serverEntries from './server-entries.js';
import * as warmUpTimes from './warm-up-times.js';

const { test } = nodeTest;
const { buildEntry, buildRevision } = gatewayFixture;
const RETURN_MS = 2000;
const HELD_MS = 6000;
const DOMAIN = 'd1';

/** Reads entries of the first epoch, up to a count. */
function createRead(
  entries: Parameters<typeof serverEntries.applySnapshot>[1],
  count = 100,
): backendServers.BackendServers {
  const servers = backendServers.createBackendServers();
  serverEntries.applySnapshot(servers, entries, buildRevision(count, 1), 0);
  return servers;
}

/** Lists all entries of a store that has been restored from an older backup. */
function readBackup(
  servers: backendServers.BackendServers,
  entries: Parameters<typeof serverEntries.applySnapshot>[1],
  count: number,
  now: number,
): void {
  backendServers.noteStoreReturned(servers, RETURN_MS, now);
  serverEntries.applySnapshot(servers, entries, buildRevision(count, 2), now);
}

/** Builds the word that a failure domain is evacuated, or taken back. */
function buildWord(count: number, epoch: number, isEvacuated: boolean) {
  return { failureDomain: DOMAIN, isEvacuated, revision: buildRevision(count, epoch) };
}

/** Tells whether a backend server may get new work. */
function isUsable(servers: backendServers.BackendServers, id: string, now: number): boolean {
  return backendServers.findUsable(servers, id, now) !== undefined;
}

test('server that the backup does not name is dropped', () => {
  // Guards against a server that stays for ever: its count is above that of the list.
  const servers = createRead([buildEntry('a', { revision: buildRevision(98, 1) })]);
  readBackup(servers, [], 90, 1000);
  assert.equal(isUsable(servers, 'a', 2999), true);
  assert.equal(serverEntries.expireMissing(servers, 3000)[0].change, 'gone');
});

test('living server writes its entry again', () => {
  const servers = createRead([buildEntry('a', { revision: buildRevision(98, 1) })]);
  readBackup(servers, [], 90, 1000);
  serverEntries.applyEntry(servers, buildEntry('a', { revision: buildRevision(91, 2) }), 1500);
  assert.deepEqual(serverEntries.expireMissing(servers, 9000), []);
  assert.equal(isUsable(servers, 'a', 9000), true);
});

test('evacuated again under a lower count', () => {
  // Guards against an operator's new word that is left out as an older one.
  const servers = createRead([]);
  evacuationChanges.applyEvacuations(servers, [buildWord(100, 1, true)], 0);
  evacuationChanges.applyEvacuations(servers, [buildWord(110, 1, false)], 1);
  assert.equal(evacuationChanges.applyEvacuations(servers, [buildWord(95, 2, true)], 2).length, 1);
  assert.equal(
    evacuationChanges.applyEvacuations(servers, [buildWord(130, 1, false)], 3).length,
    0,
  );
});

test('evacuation that the backup does not name is held', () => {
  // Guards against work in a domain whose evacuation was lost, until it is written again.
  const servers = createRead([buildEntry('a', { failureDomain: DOMAIN })]);
  evacuationChanges.applyEvacuations(servers, [buildWord(100, 1, true)], 0);
  const revision = buildRevision(90, 2);
  assert.deepEqual(evacuationChanges.applyEvacuationList(servers, [], revision, 1000), []);
  serverEntries.noteReadRevision(servers, revision);
  assert.deepEqual(evacuationChanges.expireEvacuations(servers, 1000 + HELD_MS - 1), []);
  assert.equal(isUsable(servers, 'a', 1000 + HELD_MS - 1), false);
  assert.equal(evacuationChanges.expireEvacuations(servers, 1000 + HELD_MS).length, 1);
  assert.equal(isUsable(servers, 'a', 1000 + HELD_MS), true);
});

test('evacuation that is written again stays', () => {
  const servers = createRead([]);
  evacuationChanges.applyEvacuations(servers, [buildWord(100, 1, true)], 0);
  evacuationChanges.applyEvacuationList(servers, [], buildRevision(90, 2), 1000);
  evacuationChanges.applyEvacuations(servers, [buildWord(92, 2, true)], 1500);
  assert.deepEqual(evacuationChanges.expireEvacuations(servers, 60_000), []);
});

test('server told with a grant after the return', () => {
  // Guards against news that is refused as older than all that was read before.
  const servers = createRead([]);
  readBackup(servers, [], 90, 1000);
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

test('leaving server that the backup tells is in service', () => {
  // Guards against work for a server that shuts down: the backup is from before its word.
  const servers = createRead([buildEntry('a', { revision: buildRevision(40, 1) })]);
  const leaving = buildEntry('a', { leaving: true, revision: buildRevision(98, 1) });
  serverEntries.applyEntry(servers, leaving, 10);
  readBackup(servers, [buildEntry('a', { revision: buildRevision(40, 2) })], 90, 1000);
  assert.equal(isUsable(servers, 'a', 1000 + HELD_MS - 1), false);
  assert.equal(isUsable(servers, 'a', 1000 + HELD_MS), true);
  serverEntries.applyEntry(servers, { ...leaving, revision: buildRevision(91, 2) }, 1500);
  assert.equal(isUsable(servers, 'a', 1000 + HELD_MS), false);
});

test('server that went and is in the backup', () => {
  // Guards against work for a server that has left: its entry is there until it lapses.
  const entry = buildEntry('a', { revision: buildRevision(40, 1) });
  const servers = createRead([entry]);
  assert.equal(serverEntries.removeEntry(servers, 'a', 500)?.change, 'gone');
  readBackup(servers, [{ ...entry, revision: buildRevision(40, 2) }], 90, 1000);
  assert.equal(isUsable(servers, 'a', 1001), false);
  serverEntries.applyEntry(servers, { ...entry, revision: buildRevision(93, 2) }, 1500);
  assert.equal(isUsable(servers, 'a', 1500), true);
});

test('new life of a server that went is used at once', () => {
  const entry = buildEntry('a', { revision: buildRevision(40, 1) });
  const servers = createRead([entry]);
  serverEntries.removeEntry(servers, 'a', 500);
  readBackup(servers, [{ ...entry, bornMs: 2, revision: buildRevision(91, 2) }], 92, 1000);
  assert.equal(isUsable(servers, 'a', 1001), true);
});

test('lapsed server that is told with a grant is not held', () => {
  const entry = buildEntry('a', { revision: buildRevision(40, 1) });
  const servers = createRead([entry]);
  serverEntries.removeEntry(servers, 'a', 500);
  serverEntries.applyGrantedEntry(servers, { ...entry, revision: buildRevision(101, 1) }, 600);
  assert.equal(isUsable(servers, 'a', 600), true);
});

test('server that warms up and is warm in the backup', () => {
  // Guards against a burst for a server whose word that it warms up was lost.
  const servers = createRead([buildEntry('a', { revision: buildRevision(40, 1) })]);
  const warming = { warmUpLeftMs: 3000, revision: buildRevision(98, 1) };
  serverEntries.applyEntry(servers, buildEntry('a', warming), 900);
  readBackup(servers, [buildEntry('a', { revision: buildRevision(40, 2) })], 90, 1000);
  const known = servers.byId.get('a');
  assert.ok(known !== undefined && warmUpTimes.computeWarmUntil(servers, known, 3000) > 3000);
});

test('restored entry is older than the return of its domain', () => {
  // Guards against entries that look newer as they were read in a later epoch.
  const entry = buildEntry('a', { failureDomain: DOMAIN, revision: buildRevision(40, 1) });
  const servers = createRead([entry]);
  evacuationChanges.applyEvacuations(servers, [buildWord(50, 1, true)], 0);
  evacuationChanges.applyEvacuations(servers, [buildWord(80, 1, false)], 900);
  readBackup(servers, [{ ...entry, revision: buildRevision(40, 2) }], 90, 1000);
  const known = servers.byId.get('a');
  assert.ok(known !== undefined && warmUpTimes.computeWarmUntil(servers, known, 3000) === 3900);
});
