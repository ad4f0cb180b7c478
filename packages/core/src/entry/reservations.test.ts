import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as entryBench from './mocks/entry-bench.js';

const AGENTS = ['a', 'b', 'c', 'd', 'e'];

nodeTest.test('the first grant gets the request', () => {
  const bench = entryBench.createBench({ agents: AGENTS, busy: true });
  const caller = entryBench.sendRequest(bench);
  const id = entryBench.getRequestId(bench, caller);
  const asked = entryBench.listAsked(bench, caller);
  assert.equal(asked.length, 3);
  const effects = entryBench.grant(bench, asked[1], id);
  assert.deepEqual(
    entryBench.listSent(effects, 'offer').map((sent) => sent.to),
    [asked[1]],
  );
  assert.deepEqual(
    entryBench.listSent(effects, 'release').map((sent) => sent.to),
    [asked[0], asked[2]],
  );
});

nodeTest.test('a late grant and a grant for nobody', () => {
  // Two agents grant at the same moment, and one grants a request that has
  // ended. The entry offers once and gives the other places back: held on, each
  // would keep an engine's place empty until it lapsed.
  const bench = entryBench.createBench({ agents: AGENTS, busy: true });
  const caller = entryBench.sendRequest(bench);
  const id = entryBench.getRequestId(bench, caller);
  const asked = entryBench.listAsked(bench, caller);
  entryBench.grant(bench, asked[0], id);
  const late = entryBench.grant(bench, asked[1], id);
  const unknown = entryBench.grant(bench, 'a', 'nobody');
  assert.equal(entryBench.listSent(bench.effects, 'offer').length, 1);
  assert.deepEqual(entryBench.listSent(late, 'release')[0].to, asked[1]);
  assert.deepEqual(entryBench.listSent(unknown, 'release')[0].value.requestId, 'nobody');
});

nodeTest.test('refusals lead to further agents, then to waiting for room', () => {
  // Every queue is full of work as urgent. The request is not shed: it waits in
  // the entry, and goes to the first agent that reports room.
  const bench = entryBench.createBench({ agents: AGENTS, limits: { maxQueued: 4 }, busy: true });
  const caller = entryBench.sendRequest(bench);
  const id = entryBench.getRequestId(bench, caller);
  for (let round = 0; round < 10; round += 1) {
    entryBench.listAsked(bench, caller).forEach((agent) => entryBench.refuse(bench, agent, id));
  }
  assert.deepEqual(entryBench.listAsked(bench, caller).sort(), AGENTS);
  assert.equal(entryBench.findFailure(bench, caller), undefined);
  const full = entryBench.report(bench, 'b', { queued: 4 });
  assert.deepEqual(entryBench.listSent(full, 'reserve'), []);
  const room = entryBench.report(bench, 'b', { queued: 3 });
  assert.deepEqual(
    entryBench.listSent(room, 'reserve').map((sent) => sent.to),
    ['b'],
  );
});

nodeTest.test('room goes to the most urgent first', () => {
  const bench = entryBench.createBench({ agents: ['a'], limits: { maxQueued: 1 } });
  entryBench.report(bench, 'a', { queued: 1 });
  const ids = ['brim-draft', 'band-draft', 'band-stall'].map((tokenSha256) => {
    const caller = entryBench.sendRequest(bench, { tokenSha256 });
    const id = entryBench.getRequestId(bench, caller);
    entryBench.refuse(bench, 'a', id);
    return id;
  });
  const room = entryBench.report(bench, 'a', { queued: 0 });
  assert.deepEqual(
    entryBench.listSent(room, 'reserve').map((sent) => sent.value.requestId),
    [ids[2]],
  );
});

nodeTest.test('a lost link loses its reservations only', () => {
  // The link to an agent closes while a request waits for its grant. The place
  // is asked elsewhere; the grant of the next life would never come.
  const bench = entryBench.createBench({ agents: AGENTS, busy: true });
  const caller = entryBench.sendRequest(bench);
  const [lost] = entryBench.listAsked(bench, caller);
  const effects = entryBench.handle(bench, { kind: 'linkClosed', backendServerId: lost });
  assert.equal(entryBench.listSent(effects, 'reserve').length, 1);
  const request = bench.state.requests.get(entryBench.getRequestId(bench, caller));
  assert.equal(request?.reservedAt.has(lost), false);
  assert.equal(request?.reservedAt.size, 3);
});

nodeTest.test('one more agent is asked when no grant comes', () => {
  // The three agents asked are paused: they neither grant nor refuse. Each half
  // second one more is asked, so that no request waits for them alone.
  const bench = entryBench.createBench({ agents: AGENTS, busy: true });
  const caller = entryBench.sendRequest(bench);
  entryBench.advance(bench, 500);
  assert.equal(entryBench.listAsked(bench, caller).length, 4);
  entryBench.advance(bench, 500);
  assert.equal(entryBench.listAsked(bench, caller).length, 5);
});

nodeTest.test('a grant of a leaving agent is given back', () => {
  const bench = entryBench.createBench({ agents: AGENTS, busy: true });
  const caller = entryBench.sendRequest(bench);
  const [leaving] = entryBench.listAsked(bench, caller);
  entryBench.report(bench, leaving, { leaving: true });
  const effects = entryBench.grant(bench, leaving, entryBench.getRequestId(bench, caller));
  assert.deepEqual(entryBench.listSent(effects, 'offer'), []);
  assert.deepEqual(entryBench.listSent(effects, 'release')[0].to, leaving);
});

nodeTest.test('a caller that leaves frees the places asked for', () => {
  const bench = entryBench.createBench({ agents: AGENTS, busy: true });
  const caller = entryBench.sendRequest(bench);
  const asked = entryBench.listAsked(bench, caller);
  const effects = entryBench.handle(bench, { kind: 'callerLeft', callerId: caller });
  assert.deepEqual(
    entryBench.listSent(effects, 'release').map((sent) => sent.to),
    asked,
  );
  assert.equal(bench.state.due.priorities.size, 0);
});

nodeTest.test('told at once where no agent can end it in time', () => {
  // Each agent says that the request cannot end by its deadline. Waiting on
  // would only tell the caller later.
  const bench = entryBench.createBench({ agents: ['a', 'b'] });
  const caller = entryBench.sendRequest(bench);
  const id = entryBench.getRequestId(bench, caller);
  const code = schema.ResultCode.DEADLINE_UNREACHABLE;
  entryBench.refuse(bench, 'a', id, code);
  assert.equal(entryBench.findFailure(bench, caller), undefined);
  entryBench.refuse(bench, 'b', id, code);
  const failure = entryBench.findFailure(bench, caller);
  assert.equal(failure?.code, code);
  assert.equal(failure?.runState, schema.RunState.NOT_RUN);
  assert.ok((failure?.retryAfterMs ?? 0) > 0);
});
