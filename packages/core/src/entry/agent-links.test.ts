import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as smallFleet from '../mocks/small-fleet.js';

/** Longer than the silence after which links are given up, milliseconds. */
const SILENCE_MS = 3000;

/** Gets the view that entry e1 has of an agent. */
function getView(fleet: smallFleet.SmallFleet, agentId: string) {
  const view = fleet.entries.get('e1')?.agents.get(agentId);
  assert.ok(view);
  return view;
}

nodeTest.test('silent link', () => {
  // Bytes between the two ends vanish while a request runs and no close comes.
  // Both ends give the link up; the entry resumes over a new one and the
  // caller gets the whole answer of the one run.
  const fleet = smallFleet.createSmallFleet(['e1'], ['a']);
  smallFleet.sendCall(fleet, 'e1', 1, { key: '' });
  fleet.isPartitioned = true;
  smallFleet.completeRun(fleet, 0);
  smallFleet.advanceTime(fleet, SILENCE_MS);
  assert.equal(getView(fleet, 'a').linked, false);
  assert.equal(fleet.agents.get('a')?.links.size, 0);
  fleet.isPartitioned = false;
  smallFleet.advanceTime(fleet, SILENCE_MS);
  assert.equal(smallFleet.formatOutcome(fleet, 1), 'answer 0');
  assert.equal(fleet.dispatched.length, 1);
});

nodeTest.test('agent moves to another address', () => {
  // The VM of an agent is replaced and the document names the new address. The
  // old process still answers; the entry must not keep its link to it.
  const fleet = smallFleet.createSmallFleet(['e1'], ['a']);
  const stored = smallFleet.buildDocument(['a'], { version: 2 });
  stored.document.backendServers[0].address = 'elsewhere';
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'documentRead', stored });
  const view = getView(fleet, 'a');
  assert.equal(view.linked, false);
  assert.equal(view.address, 'elsewhere');
  smallFleet.advanceTime(fleet, SILENCE_MS);
  assert.equal(getView(fleet, 'a').linked, true);
});

nodeTest.test('agent comes back after leaving', () => {
  // An agent says that it leaves, and the lagging list names its VM for longer
  // than that life lasts. Its next life takes work again.
  const fleet = smallFleet.createSmallFleet(['e1'], ['a']);
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'vmsLeaving', addresses: ['a'] });
  smallFleet.applyToAgent(fleet, 'a', { kind: 'shutdownStarted' });
  smallFleet.deliverMessages(fleet);
  assert.equal(getView(fleet, 'a').leaving, true);
  smallFleet.startAgent(fleet, 'a', 'a-life-2');
  const stored = smallFleet.buildDocument(['a']);
  smallFleet.applyToAgent(fleet, 'a', { kind: 'documentRead', stored });
  smallFleet.advanceTime(fleet, SILENCE_MS);
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'vmsLeaving', addresses: ['a'] });
  assert.equal(getView(fleet, 'a').leaving, false);
  smallFleet.sendCall(fleet, 'e1', 1, { key: '' });
  assert.equal(fleet.dispatched.length, 1);
});

nodeTest.test('listed before the link opened', () => {
  // The list names a VM before this entry has met its agent. The first life
  // that it meets is the one that the list is taken to mean.
  const fleet = smallFleet.createSmallFleet(['e1'], ['a']);
  fleet.isPartitioned = true;
  smallFleet.advanceTime(fleet, SILENCE_MS);
  getView(fleet, 'a').agentLife = '';
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'vmsLeaving', addresses: ['a'] });
  fleet.isPartitioned = false;
  smallFleet.advanceTime(fleet, SILENCE_MS);
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'vmsLeaving', addresses: ['a'] });
  assert.equal(getView(fleet, 'a').leaving, true);
});

nodeTest.test('link on demand closes when idle', () => {
  // An entry keeps a link to one of two agents. A key whose home is the other
  // opens a link for the claim; it is closed once nothing needs it.
  const fleet = smallFleet.createSmallFleet(['e1'], ['a', 'b']);
  const views = ['a', 'b'].map((id) => getView(fleet, id));
  const entry = fleet.entries.get('e1');
  assert.ok(entry);
  entry.linksPerService = 1;
  const stored = smallFleet.buildDocument(['a', 'b'], { version: 2 });
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'documentRead', stored });
  smallFleet.advanceTime(fleet, SILENCE_MS);
  const other = views.find((view) => !view.kept);
  assert.equal(other?.linked, false);
  const keys = Array.from({ length: 20 }, (_, serial) => smallFleet.buildKey(fleet.now, serial));
  keys.forEach((key, index) => smallFleet.sendCall(fleet, 'e1', index, { key }));
  assert.equal(other?.linked, true);
  assert.ok(fleet.dispatched.every((line) => line.agentId !== other.backendServerId));
  smallFleet.advanceTime(fleet, 2 * SILENCE_MS);
  assert.equal(other.linked, false);
});

nodeTest.test('document marks a backend server as leaving', () => {
  const fleet = smallFleet.createSmallFleet(['e1'], ['a', 'b']);
  const stored = smallFleet.buildDocument(['a', 'b'], { version: 2 });
  stored.document.backendServers[0].state = schema.BackendServerState.LEAVING;
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'documentRead', stored });
  smallFleet.deliverMessages(fleet);
  smallFleet.sendCall(fleet, 'e1', 1, { key: '' });
  assert.deepEqual(
    fleet.dispatched.map((line) => line.agentId),
    ['b'],
  );
});
