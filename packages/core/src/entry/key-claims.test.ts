import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as smallFleet from '../mocks/small-fleet.js';
import * as effect from '../shared/effect.js';
import * as keyHomes from '../shared/key-homes.js';

const AGENTS = ['a', 'b', 'c'];
/** Longer than the delay before a join and the time that a home has to answer, milliseconds. */
const SETTLE_MS = 1500;

/** Finds a key whose homes under a document are the given agents. */
function makeKeyAt(
  fleet: smallFleet.SmallFleet,
  homes: string[],
  stored = smallFleet.buildDocument(AGENTS),
): string {
  const keys = Array.from({ length: 500 }, (_, index) => smallFleet.buildKey(fleet.now, index));
  const found = keys.find((key) => {
    const listed = keyHomes.listKeyHomes(stored.document, smallFleet.WORKSPACE, key).homes;
    return listed.join() === homes.join();
  });
  assert.ok(found);
  return found;
}

nodeTest.test('resend joins the run', () => {
  // A caller loses its connection and sends its request again through another
  // entry, once while the first call runs and once afterwards. Both must read the
  // response of the only run.
  const fleet = smallFleet.createSmallFleet(['e1', 'e2'], AGENTS);
  const key = smallFleet.buildKey(fleet.now);
  smallFleet.sendCall(fleet, 'e1', 1, { key });
  smallFleet.sendCall(fleet, 'e2', 2, { key });
  smallFleet.advanceTime(fleet, SETTLE_MS);
  smallFleet.completeRun(fleet, 0);
  smallFleet.sendCall(fleet, 'e2', 3, { key });
  smallFleet.advanceTime(fleet, SETTLE_MS);
  const outcomes = [1, 2, 3].map((caller) => smallFleet.formatOutcome(fleet, caller));
  assert.deepEqual(outcomes, ['answer 0', 'answer 0', 'answer 0']);
  assert.equal(fleet.dispatched.length, 1);
  // The slots that were held for the resent requests are released.
  assert.deepEqual(fleet.released, ['e2-life-1-1', 'e2-life-1-2']);
});

nodeTest.test('same key twice in one entry', () => {
  // Two calls with the same key arrive together and share one link to the agent.
  // The first caller disconnects. Its cancellation must not abort the other's
  // response.
  const fleet = smallFleet.createSmallFleet(['e1'], AGENTS);
  const key = smallFleet.buildKey(fleet.now);
  smallFleet.sendCall(fleet, 'e1', 1, { key });
  smallFleet.sendCall(fleet, 'e1', 2, { key });
  smallFleet.advanceTime(fleet, SETTLE_MS);
  smallFleet.applyToEntry(fleet, 'e1', { kind: 'callerLeft', callerId: 1 });
  smallFleet.deliverMessages(fleet);
  smallFleet.completeRun(fleet, 0);
  assert.equal(smallFleet.formatOutcome(fleet, 2), 'answer 0');
  assert.equal(fleet.dispatched.length, 1);
  assert.equal(fleet.entries.get('e1')?.joins.size, 0);
});

nodeTest.test('entry killed between claim and offer', () => {
  // An entry dies after the key is bound, while its offer is in transit. The resent
  // request asks the agent for the attempt, and the agent refuses the offer from
  // then on. So the resent request may take over the binding, and the late offer
  // starts nothing.
  const fleet = smallFleet.createSmallFleet(['e1', 'e2'], AGENTS);
  const key = smallFleet.buildKey(fleet.now);
  smallFleet.holdMessages(fleet, 'e1', 'offer');
  smallFleet.sendCall(fleet, 'e1', 1, { key });
  smallFleet.sendCall(fleet, 'e2', 2, { key });
  smallFleet.advanceTime(fleet, SETTLE_MS);
  assert.equal(fleet.held.length, 1);
  smallFleet.releaseHeld(fleet);
  smallFleet.advanceTime(fleet, SETTLE_MS);
  assert.equal(fleet.dispatched.length, 1);
  smallFleet.completeRun(fleet, 0);
  assert.equal(smallFleet.formatOutcome(fleet, 2), 'answer 0');
  // The first entry was only slow. It reads the run of the resent request.
  assert.equal(smallFleet.formatOutcome(fleet, 1), 'answer 0');
});

nodeTest.test('resend while the offer is on its way', () => {
  // The offer takes 300 ms. If the resent request asked the agent immediately, the
  // agent would refuse the offer, and two entries could keep undoing each other's
  // attempts.
  const fleet = smallFleet.createSmallFleet(['e1', 'e2'], AGENTS);
  const key = smallFleet.buildKey(fleet.now);
  smallFleet.holdMessages(fleet, 'e1', 'offer');
  smallFleet.sendCall(fleet, 'e1', 1, { key });
  smallFleet.sendCall(fleet, 'e2', 2, { key });
  smallFleet.advanceTime(fleet, 300);
  smallFleet.releaseHeld(fleet);
  smallFleet.advanceTime(fleet, SETTLE_MS);
  assert.equal(fleet.dispatched.length, 1);
  assert.match(fleet.dispatched[0].refKey, /^e1-life-1-1#1$/);
});

nodeTest.test('home restarted between claim and offer', () => {
  // A home restarts and loses the binding while the offer is in transit. It cannot
  // tell whether the key was bound, so a resent request must not be dispatched.
  const fleet = smallFleet.createSmallFleet(['e1', 'e2'], AGENTS);
  const key = makeKeyAt(fleet, ['b']);
  smallFleet.holdMessages(fleet, 'e1', 'offer');
  smallFleet.sendCall(fleet, 'e1', 1, { key });
  const stored = smallFleet.buildDocument(AGENTS);
  smallFleet.startAgent(fleet, 'b', 'b-life-2');
  smallFleet.applyToAgent(fleet, 'b', { kind: 'documentRead', stored });
  smallFleet.advanceTime(fleet, 4000);
  smallFleet.sendCall(fleet, 'e2', 2, { key });
  smallFleet.advanceTime(fleet, SETTLE_MS);
  assert.equal(smallFleet.formatOutcome(fleet, 2), 'KEY_UNDECIDED MAY_HAVE_RUN');
  smallFleet.releaseHeld(fleet);
  assert.equal(fleet.dispatched.length, 1);
});

nodeTest.test('entries on different versions', () => {
  // A backend server is added and becomes the key's home for entries that know of
  // it. These must also ask the previous home, which has the other entry's binding.
  const newer = smallFleet.buildDocument(AGENTS, { version: 2 });
  newer.document.backendServers[2].addedInVersion = 2;
  const fleet = smallFleet.createSmallFleet(
    ['e1', 'e2'],
    AGENTS,
    smallFleet.buildDocument(['a', 'b']),
  );
  smallFleet.applyToAgent(fleet, 'c', { kind: 'documentRead', stored: newer });
  smallFleet.holdMessages(fleet, 'e1', 'heartbeat');
  smallFleet.applyToEntry(fleet, 'e2', { kind: 'documentRead', stored: newer });
  smallFleet.deliverMessages(fleet);
  const key = makeKeyAt(fleet, ['b', 'c'], newer);
  smallFleet.sendCall(fleet, 'e1', 1, { key });
  smallFleet.sendCall(fleet, 'e2', 2, { key });
  smallFleet.advanceTime(fleet, SETTLE_MS);
  assert.equal(fleet.dispatched.length, 1);
  smallFleet.completeRun(fleet, 0);
  assert.equal(smallFleet.formatOutcome(fleet, 2), 'answer 0');
});

nodeTest.test('home lost with its bindings', () => {
  // A home is lost for good, and the document declares it gone. Its successor never
  // had the binding, so a key from before the loss must not be bound again.
  const fleet = smallFleet.createSmallFleet(['e1', 'e2'], AGENTS);
  const key = makeKeyAt(fleet, ['b']);
  smallFleet.sendCall(fleet, 'e1', 1, { key });
  fleet.agents.delete('b');
  const stored = smallFleet.buildDocument(AGENTS, { version: 2 });
  stored.document.backendServers[1].goneInVersion = 2;
  stored.document.backendServers[1].state = schema.BackendServerState.GONE;
  smallFleet.applyToEntry(fleet, 'e2', { kind: 'documentRead', stored });
  smallFleet.advanceTime(fleet, 5000);
  smallFleet.sendCall(fleet, 'e2', 2, { key });
  assert.equal(smallFleet.formatOutcome(fleet, 2), 'KEY_UNDECIDED MAY_HAVE_RUN');
  smallFleet.sendCall(fleet, 'e2', 3, { key: smallFleet.buildKey(fleet.now) });
  assert.equal(fleet.dispatched.length, 2);
});

nodeTest.test('bound agent restarted', () => {
  // The agent that ran a request restarts without a record of it. The resent
  // request asks the new incarnation, which cannot tell, so nothing may be
  // dispatched again.
  const fleet = smallFleet.createSmallFleet(['e1', 'e2'], AGENTS);
  const key = makeKeyAt(fleet, ['b']);
  smallFleet.sendCall(fleet, 'e1', 1, { key });
  assert.equal(fleet.dispatched[0].agentId, 'a');
  smallFleet.startAgent(fleet, 'a', 'a-life-2');
  smallFleet.advanceTime(fleet, 4000);
  smallFleet.sendCall(fleet, 'e2', 2, { key });
  smallFleet.advanceTime(fleet, 4000);
  assert.equal(smallFleet.formatOutcome(fleet, 2), 'AGENT_RESTARTED MAY_HAVE_RUN');
  assert.equal(fleet.dispatched.length, 1);
});

nodeTest.test('home that does not reply', () => {
  // A home's reply is delayed beyond the claim timeout. The request on the route
  // that runs once must not be dispatched, and the one on the repeatable route
  // continues without a claim. The late replies are dropped and counted.
  const fleet = smallFleet.createSmallFleet(['e1'], AGENTS);
  smallFleet.holdMessages(fleet, 'e1', 'claimReply');
  const [order, query] = [1, 2].map((serial) => smallFleet.buildKey(fleet.now, serial));
  smallFleet.sendCall(fleet, 'e1', 1, { key: order });
  smallFleet.sendCall(fleet, 'e1', 2, { key: query, path: '/look' });
  smallFleet.advanceTime(fleet, SETTLE_MS);
  assert.equal(smallFleet.formatOutcome(fleet, 1), 'KEY_UNDECIDED MAY_HAVE_RUN');
  assert.equal(fleet.dispatched.length, 1);
  smallFleet.releaseHeld(fleet);
  assert.equal(fleet.dispatched.length, 1);
  assert.equal(
    fleet.dropped.filter((reason) => reason === effect.DropReason.LATE_CLAIM_REPLY).length,
    2,
  );
});

nodeTest.test('closed before a paused call resumes', () => {
  // The first call pauses with its claim unanswered. The resent request is rejected
  // with "not run", which must stay true when the first call resumes. A later call
  // opens the key again.
  const fleet = smallFleet.createSmallFleet(['e1', 'e2'], AGENTS);
  const key = makeKeyAt(fleet, ['b']);
  smallFleet.holdMessages(fleet, 'e1', 'claim');
  smallFleet.sendCall(fleet, 'e1', 1, { key });
  smallFleet.applyToEntry(fleet, 'e2', { kind: 'shutdownStarted' });
  smallFleet.sendCall(fleet, 'e2', 2, { key });
  assert.equal(smallFleet.formatOutcome(fleet, 2), 'SHUTTING_DOWN NOT_RUN');
  smallFleet.releaseHeld(fleet);
  smallFleet.advanceTime(fleet, SETTLE_MS);
  assert.equal(smallFleet.formatOutcome(fleet, 1), 'CANCELLED NOT_RUN');
  assert.equal(fleet.dispatched.length, 0);
  smallFleet.advanceTime(fleet, 4000);
  smallFleet.sendCall(fleet, 'e1', 3, { key });
  assert.equal(fleet.dispatched.length, 1);
});

nodeTest.test('rejected while an earlier call runs', () => {
  // A resent request reaches an entry that is shutting down. It must not get "not
  // run", because the earlier call is running. It reads that call's response.
  const fleet = smallFleet.createSmallFleet(['e1', 'e2'], AGENTS);
  const key = smallFleet.buildKey(fleet.now);
  smallFleet.sendCall(fleet, 'e1', 1, { key });
  smallFleet.applyToEntry(fleet, 'e2', { kind: 'shutdownStarted' });
  smallFleet.sendCall(fleet, 'e2', 2, { key });
  smallFleet.advanceTime(fleet, SETTLE_MS);
  smallFleet.completeRun(fleet, 0);
  assert.equal(smallFleet.formatOutcome(fleet, 2), 'answer 0');
});

nodeTest.test('keys that cannot be used', () => {
  const fleet = smallFleet.createSmallFleet(['e1'], AGENTS);
  const ask = (callerId: number, key: string, contentDigest = 'digest') => {
    smallFleet.sendCall(fleet, 'e1', callerId, { key, contentDigest });
    return smallFleet.formatOutcome(fleet, callerId);
  };
  const key = smallFleet.buildKey(fleet.now);
  assert.equal(ask(1, key), '');
  assert.equal(ask(2, key, 'other'), 'KEY_REUSED NOT_RUN');
  assert.equal(ask(3, smallFleet.buildKey(fleet.now + 60_000)), 'KEY_INVALID NOT_RUN');
  assert.equal(ask(4, smallFleet.buildKey(fleet.now + 3000)), 'KEY_INVALID MAY_HAVE_RUN');
  assert.equal(ask(5, smallFleet.buildKey(fleet.now - 3_600_000)), 'KEY_EXPIRED MAY_HAVE_RUN');
  assert.equal(ask(6, 'x'.repeat(256)), 'KEY_INVALID NOT_RUN');
  assert.equal(ask(7, 'without-a-time'), 'KEY_UNDECIDED MAY_HAVE_RUN');
  assert.equal(fleet.dispatched.length, 1);
});

nodeTest.test('paused entry asks about a run that is no longer recorded', () => {
  // An entry pauses for longer than records are kept, and then asks what became of
  // its attempt. The agent has run it and dropped the record, so it must not report
  // "not run".
  const fleet = smallFleet.createSmallFleet(['e1'], ['a']);
  fleet.isHeld = (message) => !message.toAgent;
  smallFleet.sendCall(fleet, 'e1', 1, { key: '' });
  smallFleet.completeRun(fleet, 0);
  fleet.held = [];
  fleet.now += 3_600_000;
  smallFleet.applyToAgent(fleet, 'a', { kind: 'ticked' });
  assert.equal(fleet.agents.get('a')?.runs.size, 0);
  smallFleet.releaseHeld(fleet);
  smallFleet.advanceTime(fleet, 4000);
  assert.equal(smallFleet.formatOutcome(fleet, 1), 'KEY_UNDECIDED MAY_HAVE_RUN');
});
