import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backendServers from './backend-servers.js';
import * as serverEntries from './server-entries.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';

const { test } = nodeTest;
const { buildEntry, buildRevision } = gatewayFixture;
const RETURN_MS = 2000;

/** Returns whether the only backend server may receive new work. */
function isUsable(servers: backendServers.BackendServers, now = 0): boolean {
  return backendServers.listUsable(servers, 'one', now).length === 1;
}

/** Creates a registry with one backend server. */
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

test('entry that expired during a store outage', () => {
  // Store entries expire during an outage, because backend servers cannot renew them. If they
  // counted as gone once the store is back, all running backend servers would be excluded at
  // once.
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

test('missing entry expires by time, not with the next store response', () => {
  // A gateway can reach the store again, and then a backend server leaves. Its entry counts
  // as missing until the grace period ends. The store's next response arrives a second
  // later; work sent in between would go to a backend server that has left.
  const servers = createWithOne();
  backendServers.noteStoreReturned(servers, RETURN_MS, 1000);
  serverEntries.removeEntry(servers, 'a', 1500);
  assert.equal(isUsable(servers, 2999), true);
  assert.equal(isUsable(servers, 3000), false);
});

test('expired entry of a leaving server is not kept', () => {
  const servers = createWithOne();
  serverEntries.applyEntry(servers, buildEntry('a', { leaving: true }), 0);
  backendServers.noteStoreReturned(servers, RETURN_MS, 1000);
  assert.equal(serverEntries.removeEntry(servers, 'a', 1001)?.change, 'gone');
});

test('server restarted under the same id', () => {
  // A backend server crashed and is back under the same id with a later start time. It must be
  // usable although its previous incarnation was displaced.
  const servers = createWithOne();
  backendServers.noteDisplaced(servers, 'a');
  assert.equal(isUsable(servers), false);
  serverEntries.applyEntry(servers, buildEntry('a'), 0);
  assert.equal(isUsable(servers), false);
  const change = serverEntries.applyEntry(servers, buildEntry('a', { bornMs: 2 }), 0);
  assert.equal(change?.change, 'restarted');
  assert.equal(isUsable(servers), true);
});

test('entry received with a grant before it was read from the store', () => {
  const servers = backendServers.createBackendServers();
  serverEntries.noteReadRevision(servers, buildRevision(10));
  serverEntries.applyGrantedEntry(servers, buildEntry('a', { revision: buildRevision(11) }), 0);
  assert.equal(isUsable(servers), true);
});

test('entry received with a grant after it was removed', () => {
  // This gateway has read that a backend server is gone. The scheduler has not, and grants a
  // slot there. If the entry were added again, requests would go to a server that is gone.
  const servers = createWithOne();
  serverEntries.noteReadRevision(servers, buildRevision(10));
  serverEntries.removeEntry(servers, 'a', 0);
  serverEntries.applyGrantedEntry(servers, buildEntry('a', { revision: buildRevision(7) }), 0);
  assert.equal(isUsable(servers), false);
});

test('entry received with a grant does not replace one read from the store', () => {
  const servers = createWithOne();
  serverEntries.applyEntry(
    servers,
    buildEntry('a', { leaving: true, revision: buildRevision(20) }),
    0,
  );
  serverEntries.applyGrantedEntry(servers, buildEntry('a', { revision: buildRevision(30) }), 0);
  assert.equal(isUsable(servers), false);
});

test('snapshot older than an entry received with a grant', () => {
  // The snapshot was read just before a backend server was added, but is applied after a
  // scheduler's grant has brought the server's entry. If the server counted as gone, its
  // connections would be closed with the requests running on them.
  const servers = backendServers.createBackendServers();
  serverEntries.applyGrantedEntry(servers, buildEntry('a', { revision: buildRevision(11) }), 0);
  assert.deepEqual(serverEntries.applySnapshot(servers, [], buildRevision(10), 0), []);
  assert.equal(isUsable(servers), true);
  assert.equal(serverEntries.applySnapshot(servers, [], buildRevision(11), 0)[0].change, 'gone');
});
