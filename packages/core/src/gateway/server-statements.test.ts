import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as backendServers from './backend-servers.js';
import * as gatewayFixture from './mocks/gateway-fixture.js';
import * as serverEntries from './server-entries.js';
import * as serverStatements from './server-statements.js';

const { test } = nodeTest;
const LIFE = { id: 'a', bornMs: 1 };
const LEAVING = { ...serverStatements.EMPTY_STATEMENT, isLeaving: true };
const BACKOFF = { ...serverStatements.EMPTY_STATEMENT, backoffMs: 3000 };

/** Creates a registry with one backend server. */
function createServers(): backendServers.BackendServers {
  const servers = backendServers.createBackendServers();
  serverEntries.applyEntry(servers, gatewayFixture.buildEntry(LIFE.id), 0);
  return servers;
}

test('repeated statement is reported once', () => {
  const { statements } = createServers();
  assert.deepEqual(serverStatements.noteStatement(statements, LIFE, LEAVING, 10), [
    { server: 'a', change: 'leaving' },
  ]);
  assert.deepEqual(serverStatements.noteStatement(statements, LIFE, LEAVING, 20), []);
  assert.deepEqual(serverStatements.noteStatement(statements, LIFE, BACKOFF, 30), [
    { server: 'a', change: 'backoff', backoffMs: 3000 },
  ]);
  assert.ok(serverStatements.isLeaving(statements, LIFE));
  assert.equal(serverStatements.computeBackoffLeft(statements, LIFE, 1030), 2000);
});

test('shorter backoff does not end a longer one', () => {
  // No requests may be sent within the time that an earlier response asked for.
  const { statements } = createServers();
  serverStatements.noteStatement(statements, LIFE, BACKOFF, 0);
  serverStatements.noteStatement(statements, LIFE, { ...BACKOFF, backoffMs: 100 }, 50);
  assert.equal(serverStatements.computeBackoffLeft(statements, LIFE, 1000), 2000);
});

test('statement of an earlier incarnation does not apply to the next', () => {
  // A late response must not take a restarted server out of service for good.
  const servers = createServers();
  serverEntries.applyEntry(servers, gatewayFixture.buildEntry('a', { bornMs: 2 }), 10);
  assert.deepEqual(backendServers.applyStatement(servers, LIFE, LEAVING, 20), []);
  assert.equal(serverStatements.isLeaving(servers.statements, { id: 'a', bornMs: 2 }), false);
});

test('statement outlives the entry of its server', () => {
  // A store entry that reappears with state "ready" after an outage must not bring a leaving
  // server back into service.
  const servers = createServers();
  backendServers.applyStatement(servers, LIFE, LEAVING, 10);
  serverEntries.removeEntry(servers, 'a', 20);
  serverEntries.expireMissing(servers, 5000);
  serverEntries.applyEntry(servers, gatewayFixture.buildEntry('a'), 6000);
  assert.ok(serverStatements.isLeaving(servers.statements, LIFE));
});

test('statements of earlier incarnations are dropped', () => {
  const servers = createServers();
  backendServers.applyStatement(servers, LIFE, LEAVING, 10);
  serverEntries.applyEntry(servers, gatewayFixture.buildEntry('a', { bornMs: 2 }), 20);
  serverEntries.expireMissing(servers, 30);
  assert.equal(servers.statements.size, 0);
});

test('statements about servers removed long ago are dropped', () => {
  const servers = createServers();
  backendServers.applyStatement(servers, LIFE, LEAVING, 10);
  serverEntries.removeEntry(servers, 'a', 20);
  serverEntries.expireMissing(servers, 120_000);
  assert.equal(servers.statements.size, 0);
});
