import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as entryFixture from './mocks/entry-fixture.js';
import * as placement from './placement.js';

function makeCandidate(
  backendServerId: string,
  fields: Partial<placement.Candidate> = {},
): placement.Candidate {
  return {
    backendServerId,
    outstandingTokens: 0,
    reportedTokens: 0,
    queued: 0,
    queuedTokens: 0,
    tokensPerSecond: 1000,
    cachedTokens: 0,
    msPerToken: 0,
    trafficShare: 1,
    preferred: false,
    ...fields,
  };
}

const CONTEXT = { drawRandom: () => 0, serial: 4, estimatedTokens: 500 };

function listIds(candidates: readonly placement.Candidate[]): string[] {
  return candidates.map((one) => one.backendServerId);
}

nodeTest.test('push strategies', () => {
  const candidates = [
    makeCandidate('a', { outstandingTokens: 900, reportedTokens: 10 }),
    makeCandidate('b', { outstandingTokens: 500, reportedTokens: 20 }),
    makeCandidate('c', { outstandingTokens: 900, tokensPerSecond: 9000, reportedTokens: 30 }),
  ];
  assert.equal(placement.chooseRoundRobin(candidates, CONTEXT).backendServerId, 'b');
  assert.equal(placement.choosePowerOfTwoChoices(candidates, CONTEXT).backendServerId, 'a');
  assert.equal(placement.chooseLeastOutstanding(candidates, CONTEXT).backendServerId, 'c');
});

nodeTest.test('candidates are asked by delay, slow and returning ones last', () => {
  const candidates = [
    makeCandidate('slow', { msPerToken: 3, queued: 1 }),
    makeCandidate('back', { trafficShare: 0.1, queued: 1 }),
    makeCandidate('busy', { queuedTokens: 4000, queued: 1 }),
    makeCandidate('idle', { queued: 1 }),
    makeCandidate('fast', { tokensPerSecond: 4000, queued: 1 }),
  ];
  const { asked } = placement.selectLeastDelay(candidates, CONTEXT, 5);
  assert.deepEqual(listIds(asked), ['fast', 'idle', 'slow', 'busy', 'back']);
});

nodeTest.test('one with room is asked alone, as long as it is worth the wait', () => {
  // Both have room; one takes 250 ms and the other 500 ms. If both were asked at
  // once, the nearer one would win. Asked after the difference, the slower one only
  // replaces a lost grant.
  const fast = makeCandidate('fast', { tokensPerSecond: 2000 });
  const plan = placement.selectLeastDelay([makeCandidate('slow'), fast], CONTEXT, 3);
  assert.deepEqual(listIds(plan.asked), ['fast']);
  assert.equal(plan.waitMs, 250);
});

nodeTest.test('the holder of the prefix is asked alone, unless it is busy', () => {
  const holder = makeCandidate('holder', { cachedTokens: 400 });
  const others = [makeCandidate('a', { queued: 1 }), makeCandidate('b', { queued: 1 })];
  const plan = placement.selectLeastDelay([...others, holder], CONTEXT, 3);
  assert.deepEqual(listIds(plan.asked), ['holder']);
  assert.equal(plan.waitMs, 400);
  const busy = { ...holder, queued: 1, queuedTokens: 600 };
  const spread = placement.selectLeastDelay([...others, busy], CONTEXT, 2);
  assert.deepEqual(listIds(spread.asked).sort(), ['a', 'b']);
});

nodeTest.test('a prefix goes back to where it was sent, within its workspace', () => {
  const fixture = entryFixture.createFixture({ agents: ['a', 'b', 'c', 'd', 'e'], busy: true });
  const payload = new Uint8Array(4000);
  const long = { payload, prefixHashes: [11, 22], estimatedTokens: 1100 };
  const first = entryFixture.sendRequest(fixture, long);
  const [, holder] = entryFixture.listAsked(fixture, first);
  const id = entryFixture.getRequestId(fixture, first);
  entryFixture.grant(fixture, holder, id);
  entryFixture.complete(fixture, holder, id, new Uint8Array(8));
  const same = entryFixture.sendRequest(fixture, long);
  assert.deepEqual(entryFixture.listAsked(fixture, same), [holder]);
  entryFixture.advance(fixture, 500);
  assert.ok(entryFixture.listAsked(fixture, same).length > 1);
  const other = entryFixture.sendRequest(fixture, { ...long, tokenSha256: 'band-stall' });
  assert.equal(entryFixture.listAsked(fixture, other).length, 3);
});

nodeTest.test('entries choose the same backend server for an unknown prefix', () => {
  const agents = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
  const asked = [1, 2, 3, 4].map(() => {
    const fixture = entryFixture.createFixture({ agents, busy: true });
    return entryFixture.listAsked(
      fixture,
      entryFixture.sendRequest(fixture, { prefixHashes: [7] }),
    );
  });
  const shared = agents.filter((agent) => asked.every((list) => list.includes(agent)));
  assert.ok(shared.length >= 1);
});
