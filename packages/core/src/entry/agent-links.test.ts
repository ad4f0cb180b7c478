import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as smallFleet from '../mocks/small-fleet.js';

/** Longer than the heartbeat timeout after which links are closed, milliseconds. */
const LINK_TIMEOUT_MS = 3000;

/** Returns the view that entry e1 has of an agent. */
function getView(fleet: smallFleet.SmallFleet, agentId: string) {
  const view = fleet.entries.get('e1')?.agents.get(agentId);
  assert.ok(view);
  return view;
}

nodeTest.test('partitioned link', () => {
  // While a request runs, bytes in both directions are lost and neither end sees
  // the connection close. Both ends must close the link. The entry resumes over a
  // new one, and the caller gets the complete response of the only run.
  const fleet = smallFleet.createSmallFleet(['e1'], ['a']);
  smallFleet.sendCall(fleet, 'e1', 1, { key: '' });
  fleet.isPartitioned = true;
  smallFleet.completeRun(fleet, 0);
  smallFleet.advanceTime(fleet, LINK_TIMEOUT_MS);
  assert.equal(getView(fleet, 'a').linked, false);
  assert.equal(fleet.agents.get('a')?.links.size, 0);
  fleet.isPartitioned = false;
  smallFleet.advanceTime(fleet, LINK_TIMEOUT_MS);
  assert.equal(smallFleet.formatOutcome(fleet, 1), 'answer 0');
  assert.equal(fleet.dispatched.length, 1);
});

nodeTest.test('agent moves to another address', () => {
  // The VM of an agent is replaced, and the document names the new address. The old
  // process still answers, but the entry must not keep its link to it.
  const fleet = smallFleet.createSmallFleet(['e1'], ['a']);
  const stored = smallFleet.buildDocument(['a'], { version: 2 });
  stored.document.backendServers[0].address = 'elsewhere';
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'documentRead', stored });
  const view = getView(fleet, 'a');
  assert.equal(view.linked, false);
  assert.equal(view.address, 'elsewhere');
  smallFleet.advanceTime(fleet, LINK_TIMEOUT_MS);
  assert.equal(getView(fleet, 'a').linked, true);
});

nodeTest.test('agent restarts after leaving', () => {
  // An agent reports that it is leaving, and the lagging VM list names its VM for
  // longer than that incarnation exists. The next incarnation must get work again.
  const fleet = smallFleet.createSmallFleet(['e1'], ['a']);
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'vmsLeaving', addresses: ['a'] });
  smallFleet.applyToAgent(fleet, 'a', { kind: 'shutdownStarted' });
  smallFleet.deliverMessages(fleet);
  assert.equal(getView(fleet, 'a').leaving, true);
  smallFleet.startAgent(fleet, 'a', 'a-life-2');
  const stored = smallFleet.buildDocument(['a']);
  smallFleet.applyToAgent(fleet, 'a', { kind: 'documentRead', stored });
  smallFleet.advanceTime(fleet, LINK_TIMEOUT_MS);
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'vmsLeaving', addresses: ['a'] });
  assert.equal(getView(fleet, 'a').leaving, false);
  smallFleet.sendCall(fleet, 'e1', 1, { key: '' });
  assert.equal(fleet.dispatched.length, 1);
});

nodeTest.test('listed before the link opened', () => {
  // The list names a VM before this entry has linked to its agent. The list must be
  // taken to refer to the first incarnation that connects.
  const fleet = smallFleet.createSmallFleet(['e1'], ['a']);
  fleet.isPartitioned = true;
  smallFleet.advanceTime(fleet, LINK_TIMEOUT_MS);
  getView(fleet, 'a').agentLife = '';
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'vmsLeaving', addresses: ['a'] });
  fleet.isPartitioned = false;
  smallFleet.advanceTime(fleet, LINK_TIMEOUT_MS);
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'vmsLeaving', addresses: ['a'] });
  assert.equal(getView(fleet, 'a').leaving, true);
});

nodeTest.test('link on demand closes when idle', () => {
  // An entry keeps a link to one of two agents. A key whose home is the other agent
  // opens a link for the claim, which must be closed once it is idle.
  const fleet = smallFleet.createSmallFleet(['e1'], ['a', 'b']);
  const views = ['a', 'b'].map((id) => getView(fleet, id));
  const entry = fleet.entries.get('e1');
  assert.ok(entry);
  entry.linksPerService = 1;
  const stored = smallFleet.buildDocument(['a', 'b'], { version: 2 });
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'documentRead', stored });
  smallFleet.advanceTime(fleet, LINK_TIMEOUT_MS);
  const other = views.find((view) => !view.kept);
  assert.equal(other?.linked, false);
  const keys = Array.from({ length: 20 }, (_, serial) => smallFleet.buildKey(fleet.now, serial));
  keys.forEach((key, index) => smallFleet.sendCall(fleet, 'e1', index, { key }));
  assert.equal(other?.linked, true);
  assert.ok(fleet.dispatched.every((line) => line.agentId !== other.backendServerId));
  smallFleet.advanceTime(fleet, 2 * LINK_TIMEOUT_MS);
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
