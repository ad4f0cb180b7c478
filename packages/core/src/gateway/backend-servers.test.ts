import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backendServers from './backend-servers.js';
import * as gatewayBench from './mocks/gateway-bench.js';

const { test } = nodeTest;
const { buildEntry } = gatewayBench;
const RETURN_MS = 2000;

/** Tells whether the one backend server may get new work. */
function isUsable(servers: backendServers.BackendServers, now = 0): boolean {
  return backendServers.listUsable(servers, 'one', now).length === 1;
}

/** Creates a register with one backend server. */
function createWithOne(): backendServers.BackendServers {
  const servers = backendServers.createBackendServers();
  backendServers.applyEntry(servers, buildEntry('a'), 0);
  return servers;
}

test('removed entry is gone at once', () => {
  const servers = createWithOne();
  assert.equal(backendServers.removeEntry(servers, 'a', 100)?.change, 'gone');
  assert.equal(isUsable(servers), false);
});

test('entry that lapsed in an outage', () => {
  // Entries lapse while the store is away, as nobody can renew them. Taken as
  // gone at its return, all living backend servers would be left out at once.
  const servers = createWithOne();
  backendServers.noteStoreReturned(servers, RETURN_MS, 1000);
  assert.equal(backendServers.applySnapshot(servers, [], 1000)[0].change, 'missing');
  assert.equal(isUsable(servers), true);
  assert.deepEqual(backendServers.expireMissing(servers, 2999), []);
  assert.equal(backendServers.expireMissing(servers, 3000)[0].change, 'gone');
  assert.equal(isUsable(servers), false);
});

test('missing entry ends by the time, not by the next answer', () => {
  // A gateway's way to the store is back, and a backend server leaves. Its entry
  // counts as missing until its time is over. The store's next answer comes a
  // second later; work sent in between reaches a backend server that has left.
  const servers = createWithOne();
  backendServers.noteStoreReturned(servers, RETURN_MS, 1000);
  backendServers.removeEntry(servers, 'a', 1500);
  assert.equal(isUsable(servers, 2999), true);
  assert.equal(isUsable(servers, 3000), false);
});

test('leaving entry that lapsed does not stay', () => {
  const servers = createWithOne();
  backendServers.applyEntry(servers, buildEntry('a', { leaving: true }), 0);
  backendServers.noteStoreReturned(servers, RETURN_MS, 1000);
  assert.equal(backendServers.removeEntry(servers, 'a', 1001)?.change, 'gone');
});

test('started again under its id', () => {
  // A backend server crashed and is back under the same id, with a later start.
  // What was held against its earlier life does not hold any more.
  const servers = createWithOne();
  backendServers.noteDisplaced(servers, 'a');
  assert.equal(isUsable(servers), false);
  backendServers.applyEntry(servers, buildEntry('a'), 0);
  assert.equal(isUsable(servers), false);
  const change = backendServers.applyEntry(servers, buildEntry('a', { bornMs: 2 }), 0);
  assert.equal(change?.change, 'restarted');
  assert.equal(isUsable(servers), true);
});
