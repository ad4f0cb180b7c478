import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backendServers from './backend-servers.js';
import * as serverEntries from './server-entries.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const { buildEntry, buildRevision } = gatewayFixture;
const RETURN_MS = 2000;

/** Tells whether the one backend server may get new work. */
function isUsable(servers: backendServers.BackendServers, now = 0): boolean {
  return backendServers.listUsable(servers, 'one', now).length === 1;
}

/** Creates a register with one backend server. */
function createWithOne(): backendServers.BackendServers {
  const servers = backendServers.createBackendServers();
  serverEntries.applyEntry(servers, buildEntry('a'), 0);
  return servers;
}

test('removed entry is gone at once', () => {
  const servers = createWithOne();
  assert.equal(serverEntries.removeEntry(servers, 'a', 100)?.change, 'gone');
  assert.equal(isUsable(servers), false);
});

test('entry that lapsed in an outage', () => {
  // Entries lapse while the store is away, as nobody can renew them. Taken as
  // gone at its return, all living backend servers would be left out at once.
  const servers = createWithOne();
  backendServers.noteStoreReturned(servers, RETURN_MS, 1000);
  assert.equal(
    serverEntries.applySnapshot(servers, [], buildRevision(5), 1000)[0].change,
    'missing',
  );
  assert.equal(isUsable(servers), true);
  assert.deepEqual(serverEntries.expireMissing(servers, 2999), []);
  assert.equal(serverEntries.expireMissing(servers, 3000)[0].change, 'gone');
  assert.equal(isUsable(servers), false);
});

test('missing entry ends by the time, not by the next answer', () => {
  // A gateway's way to the store is back, and a backend server leaves. Its entry
  // counts as missing until its time is over. The store's next answer comes a
  // second later; work sent in between reaches a backend server that has left.
  const servers = createWithOne();
  backendServers.noteStoreReturned(servers, RETURN_MS, 1000);
  serverEntries.removeEntry(servers, 'a', 1500);
  assert.equal(isUsable(servers, 2999), true);
  assert.equal(isUsable(servers, 3000), false);
});

test('leaving entry that lapsed does not stay', () => {
  const servers = createWithOne();
  serverEntries.applyEntry(servers, buildEntry('a', { leaving: true }), 0);
  backendServers.noteStoreReturned(servers, RETURN_MS, 1000);
  assert.equal(serverEntries.removeEntry(servers, 'a', 1001)?.change, 'gone');
});

test('started again under its id', () => {
  // A backend server crashed and is back under the same id, with a later start.
  // What was held against its earlier life does not hold any more.
  const servers = createWithOne();
  backendServers.noteDisplaced(servers, 'a');
  assert.equal(isUsable(servers), false);
  serverEntries.applyEntry(servers, buildEntry('a'), 0);
  assert.equal(isUsable(servers), false);
  const change = serverEntries.applyEntry(servers, buildEntry('a', { bornMs: 2 }), 0);
  assert.equal(change?.change, 'restarted');
  assert.equal(isUsable(servers), true);
});

test('told of a backend server before it was read', () => {
  const servers = backendServers.createBackendServers();
  serverEntries.noteReadRevision(servers, buildRevision(10));
  serverEntries.applyGrantedEntry(servers, buildEntry('a', { revision: buildRevision(11) }), 0);
  assert.equal(isUsable(servers), true);
});

test('told of a backend server that was removed', () => {
  // This gateway has read that a backend server is gone; the scheduler, which has not,
  // grants a place there. Taken in again, it would get work that nobody answers.
  const servers = createWithOne();
  serverEntries.noteReadRevision(servers, buildRevision(10));
  serverEntries.removeEntry(servers, 'a', 0);
  serverEntries.applyGrantedEntry(servers, buildEntry('a', { revision: buildRevision(7) }), 0);
  assert.equal(isUsable(servers), false);
});

test('what was told does not change what was read', () => {
  const servers = createWithOne();
  serverEntries.applyEntry(
    servers,
    buildEntry('a', { leaving: true, revision: buildRevision(20) }),
    0,
  );
  serverEntries.applyGrantedEntry(servers, buildEntry('a', { revision: buildRevision(30) }), 0);
  assert.equal(isUsable(servers), false);
});

test('list that is older than what was told', () => {
  // The store's list was read just before a backend server came, of which a scheduler tells
  // meanwhile. Taken as gone, its connections would be closed with what runs on them.
  const servers = backendServers.createBackendServers();
  serverEntries.applyGrantedEntry(servers, buildEntry('a', { revision: buildRevision(11) }), 0);
  assert.deepEqual(serverEntries.applySnapshot(servers, [], buildRevision(10), 0), []);
  assert.equal(isUsable(servers), true);
  assert.equal(serverEntries.applySnapshot(servers, [], buildRevision(11), 0)[0].change, 'gone');
});
