import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as smallFleet from '../mocks/small-fleet.js';
import type * as entryState from '../entry/entry-state.js';

const AGENTS = ['a', 'b', 'c'];
const WHILE_MS = 1000;

/** Lists the active version of every process. */
function listVersions(fleet: smallFleet.SmallFleet): (number | undefined)[] {
  const states = [...fleet.entries.values(), ...fleet.agents.values()];
  return states.map((state) => state.documents.get(smallFleet.SERVICE)?.document.version);
}

/** Returns the state of an entry. */
function getEntry(fleet: smallFleet.SmallFleet, id: string): entryState.EntryState {
  const entry = fleet.entries.get(id);
  assert.ok(entry);
  return entry;
}

nodeTest.test('a version reaches processes that cannot reach the service', () => {
  // Only one entry reads the new version; the others cannot reach the configuration service. They
  // must learn of it from heartbeats, and each must fetch it from one peer only.
  const fleet = smallFleet.createSmallFleet(['e1', 'e2'], AGENTS);
  const stored = smallFleet.buildDocument(AGENTS, { version: 2 });
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'documentRead', stored });
  smallFleet.advanceTime(fleet, WHILE_MS);
  assert.deepEqual(listVersions(fleet), [2, 2, 2, 2, 2]);
  assert.deepEqual(fleet.fetched.toSorted(), ['a', 'b', 'c', 'e2']);
});

nodeTest.test('new process with an outdated document', () => {
  // A new entry receives an outdated document with a credential that the active version has
  // revoked. It must learn of the active version before its first offer and refuse the call.
  const fleet = smallFleet.createSmallFleet(['e1'], AGENTS);
  const stored = smallFleet.buildDocument(AGENTS, { version: 2, credentials: [] });
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'documentRead', stored });
  smallFleet.advanceTime(fleet, WHILE_MS);
  smallFleet.startEntry(fleet, 'e2');
  smallFleet.applyToEntry(fleet, 'e2', {
    kind: 'documentRead',
    stored: smallFleet.buildDocument(AGENTS),
  });
  smallFleet.sendCall(fleet, 'e2', 1, { key: '' });
  smallFleet.advanceTime(fleet, WHILE_MS);
  assert.equal(smallFleet.formatOutcome(fleet, 1), 'UNAUTHENTICATED NOT_RUN');
  assert.equal(fleet.dispatched.length, 0);
});

nodeTest.test('process keeps the first of two documents with the same version', () => {
  // Two operators publish documents with the same version, and each reader gets one of them. Each
  // process must keep the one it received first and log the conflict once. The next version
  // resolves it.
  const fleet = smallFleet.createSmallFleet(['e1', 'e2'], AGENTS);
  const one = smallFleet.buildDocument(AGENTS, { version: 2 });
  const two = smallFleet.buildDocument(AGENTS, { version: 2, tiers: ['stall', 'draft'] });
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'documentRead', stored: one });
  smallFleet.applyToEntry(fleet, 'e2', { kind: 'documentRead', stored: two });
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'documentRead', stored: two });
  smallFleet.advanceTime(fleet, WHILE_MS);
  const hashes = ['e1', 'e2'].map(
    (id) => getEntry(fleet, id).documents.get(smallFleet.SERVICE)?.contentHash,
  );
  assert.notEqual(hashes[0], hashes[1]);
  const conflicts = fleet.logged.filter((event) => event === 'document-conflict');
  assert.ok(conflicts.length >= 2);
  smallFleet.advanceTime(fleet, WHILE_MS);
  assert.equal(
    fleet.logged.filter((event) => event === 'document-conflict').length,
    conflicts.length,
  );
  const next = smallFleet.buildDocument(AGENTS, { version: 3 });
  smallFleet.applyToEntry(fleet, 'e2', { kind: 'documentRead', stored: next });
  smallFleet.advanceTime(fleet, WHILE_MS);
  assert.deepEqual(listVersions(fleet), [3, 3, 3, 3, 3]);
});

nodeTest.test('older documents are not stored', () => {
  const fleet = smallFleet.createSmallFleet(['e1'], AGENTS);
  const newer = smallFleet.buildDocument(AGENTS, { version: 7 });
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'documentRead', stored: newer });
  const older = smallFleet.buildDocument(AGENTS, { version: 6 });
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'documentRead', stored: older });
  assert.equal(listVersions(fleet)[0], 7);
});
