import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as entryFixture from './mocks/entry-fixture.js';

const AGENTS = ['a', 'b', 'c', 'd', 'e'];

nodeTest.test('the first grant gets the request', () => {
  const fixture = entryFixture.createFixture({ agents: AGENTS, busy: true });
  const caller = entryFixture.sendRequest(fixture);
  const id = entryFixture.getRequestId(fixture, caller);
  const asked = entryFixture.listAsked(fixture, caller);
  assert.equal(asked.length, 3);
  const effects = entryFixture.grant(fixture, asked[1], id);
  assert.deepEqual(
    entryFixture.listSent(effects, 'offer').map((sent) => sent.to),
    [asked[1]],
  );
  assert.deepEqual(
    entryFixture.listSent(effects, 'release').map((sent) => sent.to),
    [asked[0], asked[2]],
  );
});

nodeTest.test('a late grant and a grant for an unknown request', () => {
  // Two agents grant at the same time, and one grants a slot for a request that has
  // ended. The entry must offer once and release the other slots. Otherwise each
  // would keep a slot of an engine empty until it expired.
  const fixture = entryFixture.createFixture({ agents: AGENTS, busy: true });
  const caller = entryFixture.sendRequest(fixture);
  const id = entryFixture.getRequestId(fixture, caller);
  const asked = entryFixture.listAsked(fixture, caller);
  entryFixture.grant(fixture, asked[0], id);
  const late = entryFixture.grant(fixture, asked[1], id);
  const unknown = entryFixture.grant(fixture, 'a', 'nobody');
  assert.equal(entryFixture.listSent(fixture.effects, 'offer').length, 1);
  assert.deepEqual(entryFixture.listSent(late, 'release')[0].to, asked[1]);
  assert.deepEqual(entryFixture.listSent(unknown, 'release')[0].value.requestId, 'nobody');
});

nodeTest.test('after refusals, further agents are asked, then the request waits for room', () => {
  // Every queue is full of equally urgent work. The request must not be shed. It
  // waits in the entry and goes to the first agent that reports room.
  const fixture = entryFixture.createFixture({
    agents: AGENTS,
    limits: { maxQueued: 4 },
    busy: true,
  });
  const caller = entryFixture.sendRequest(fixture);
  const id = entryFixture.getRequestId(fixture, caller);
  for (let round = 0; round < 10; round += 1) {
    entryFixture
      .listAsked(fixture, caller)
      .forEach((agent) => entryFixture.refuse(fixture, agent, id));
  }
  assert.deepEqual(entryFixture.listAsked(fixture, caller).sort(), AGENTS);
  assert.equal(entryFixture.findFailure(fixture, caller), undefined);
  const full = entryFixture.report(fixture, 'b', { queued: 4 });
  assert.deepEqual(entryFixture.listSent(full, 'reserve'), []);
  const room = entryFixture.report(fixture, 'b', { queued: 3 });
  assert.deepEqual(
    entryFixture.listSent(room, 'reserve').map((sent) => sent.to),
    ['b'],
  );
});

nodeTest.test('room goes to the most urgent first', () => {
  const fixture = entryFixture.createFixture({ agents: ['a'], limits: { maxQueued: 1 } });
  entryFixture.report(fixture, 'a', { queued: 1 });
  const ids = ['brim-draft', 'band-draft', 'band-stall'].map((tokenSha256) => {
    const caller = entryFixture.sendRequest(fixture, { tokenSha256 });
    const id = entryFixture.getRequestId(fixture, caller);
    entryFixture.refuse(fixture, 'a', id);
    return id;
  });
  const room = entryFixture.report(fixture, 'a', { queued: 0 });
  assert.deepEqual(
    entryFixture.listSent(room, 'reserve').map((sent) => sent.value.requestId),
    [ids[2]],
  );
});

nodeTest.test('a lost link loses its reservations only', () => {
  // The link to an agent closes while a request waits for its grant. Another agent
  // must be asked, because the agent's next incarnation knows nothing of the
  // reservation.
  const fixture = entryFixture.createFixture({ agents: AGENTS, busy: true });
  const caller = entryFixture.sendRequest(fixture);
  const [lost] = entryFixture.listAsked(fixture, caller);
  const effects = entryFixture.handle(fixture, { kind: 'linkClosed', backendServerId: lost });
  assert.equal(entryFixture.listSent(effects, 'reserve').length, 1);
  const request = fixture.state.requests.get(entryFixture.getRequestId(fixture, caller));
  assert.equal(request?.reservedAt.has(lost), false);
  assert.equal(request?.reservedAt.size, 3);
});

nodeTest.test('one more agent is asked when no grant comes', () => {
  // The three agents asked are paused and neither grant nor refuse. One more must
  // be asked every half second, so that no request depends on them alone.
  const fixture = entryFixture.createFixture({ agents: AGENTS, busy: true });
  const caller = entryFixture.sendRequest(fixture);
  entryFixture.advance(fixture, 500);
  assert.equal(entryFixture.listAsked(fixture, caller).length, 4);
  entryFixture.advance(fixture, 500);
  assert.equal(entryFixture.listAsked(fixture, caller).length, 5);
});

nodeTest.test('a grant of a leaving agent is released', () => {
  const fixture = entryFixture.createFixture({ agents: AGENTS, busy: true });
  const caller = entryFixture.sendRequest(fixture);
  const [leaving] = entryFixture.listAsked(fixture, caller);
  entryFixture.report(fixture, leaving, { leaving: true });
  const effects = entryFixture.grant(fixture, leaving, entryFixture.getRequestId(fixture, caller));
  assert.deepEqual(entryFixture.listSent(effects, 'offer'), []);
  assert.deepEqual(entryFixture.listSent(effects, 'release')[0].to, leaving);
});

nodeTest.test('a caller that disconnects releases the slots asked for', () => {
  const fixture = entryFixture.createFixture({ agents: AGENTS, busy: true });
  const caller = entryFixture.sendRequest(fixture);
  const asked = entryFixture.listAsked(fixture, caller);
  const effects = entryFixture.handle(fixture, { kind: 'callerLeft', callerId: caller });
  assert.deepEqual(
    entryFixture.listSent(effects, 'release').map((sent) => sent.to),
    asked,
  );
  assert.equal(fixture.state.due.priorities.size, 0);
});

nodeTest.test('fails immediately if no agent can meet the deadline', () => {
  // Each agent reports that it cannot complete the request before its deadline.
  // Waiting would only delay the failure.
  const fixture = entryFixture.createFixture({ agents: ['a', 'b'] });
  const caller = entryFixture.sendRequest(fixture);
  const id = entryFixture.getRequestId(fixture, caller);
  const code = schema.ResultCode.DEADLINE_UNREACHABLE;
  entryFixture.refuse(fixture, 'a', id, code);
  assert.equal(entryFixture.findFailure(fixture, caller), undefined);
  entryFixture.refuse(fixture, 'b', id, code);
  const failure = entryFixture.findFailure(fixture, caller);
  assert.equal(failure?.code, code);
  assert.equal(failure?.runState, schema.RunState.NOT_RUN);
  assert.ok((failure?.retryAfterMs ?? 0) > 0);
});
