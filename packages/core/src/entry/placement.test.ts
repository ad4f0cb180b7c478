import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as entryBench from './mocks/entry-bench.js';
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
    paceMs: 0,
    trafficShare: 1,
    preferred: false,
    ...fields,
  };
}

const CONTEXT = { drawRandom: () => 0, serial: 4, estimatedTokens: 500 };

function listIds(candidates: readonly placement.Candidate[]): string[] {
  return candidates.map((one) => one.backendServerId);
}

nodeTest.test('ways to push', () => {
  const candidates = [
    makeCandidate('a', { outstandingTokens: 900, reportedTokens: 10 }),
    makeCandidate('b', { outstandingTokens: 500, reportedTokens: 20 }),
    makeCandidate('c', { outstandingTokens: 900, tokensPerSecond: 9000, reportedTokens: 30 }),
  ];
  assert.equal(placement.chooseInTurn(candidates, CONTEXT).backendServerId, 'b');
  assert.equal(placement.chooseBetterOfTwo(candidates, CONTEXT).backendServerId, 'a');
  assert.equal(placement.chooseLeastOutstanding(candidates, CONTEXT).backendServerId, 'c');
});

nodeTest.test('the least delay is asked, slow and returning ones last', () => {
  const candidates = [
    makeCandidate('slow', { paceMs: 3, queued: 1 }),
    makeCandidate('back', { trafficShare: 0.1, queued: 1 }),
    makeCandidate('busy', { queuedTokens: 4000, queued: 1 }),
    makeCandidate('idle', { queued: 1 }),
    makeCandidate('fast', { tokensPerSecond: 4000, queued: 1 }),
  ];
  const { asked } = placement.selectLeastDelay(candidates, CONTEXT, 5);
  assert.deepEqual(listIds(asked), ['fast', 'idle', 'slow', 'busy', 'back']);
});

nodeTest.test('one with room is asked alone, as long as it is worth the wait', () => {
  // Both have room, one takes 250 ms and one 500 ms. Asked together, the nearer
  // would win; asked after the gap, the slow one only makes up for a lost grant.
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
  const bench = entryBench.createBench({ agents: ['a', 'b', 'c', 'd', 'e'], busy: true });
  const payload = new Uint8Array(4000);
  const long = { payload, prefixHashes: [11, 22], estimatedTokens: 1100 };
  const first = entryBench.sendRequest(bench, long);
  const [, holder] = entryBench.listAsked(bench, first);
  const id = entryBench.getRequestId(bench, first);
  entryBench.grant(bench, holder, id);
  entryBench.complete(bench, holder, id, new Uint8Array(8));
  const same = entryBench.sendRequest(bench, long);
  assert.deepEqual(entryBench.listAsked(bench, same), [holder]);
  entryBench.advance(bench, 500);
  assert.ok(entryBench.listAsked(bench, same).length > 1);
  const other = entryBench.sendRequest(bench, { ...long, tokenSha256: 'band-stall' });
  assert.equal(entryBench.listAsked(bench, other).length, 3);
});

nodeTest.test('entries that do not know a prefix meet at one backend server', () => {
  const agents = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
  const asked = [1, 2, 3, 4].map(() => {
    const bench = entryBench.createBench({ agents, busy: true });
    return entryBench.listAsked(bench, entryBench.sendRequest(bench, { prefixHashes: [7] }));
  });
  const shared = agents.filter((agent) => asked.every((list) => list.includes(agent)));
  assert.ok(shared.length >= 1);
});
