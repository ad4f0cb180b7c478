import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as entryPolicy from './entry-policy.js';
import * as entryBench from './mocks/entry-bench.js';

const { ResultCode, RunState } = schema;
const DRAFT = { tokenSha256: 'brim-draft' };
const LIMITS = { maxWaiting: 2 };

/** Lists the callers that were told a code. */
function listTold(bench: entryBench.Bench, code: schema.ResultCode): number[] {
  return bench.effects.flatMap((effect) =>
    effect.kind === 'answerFailure' && effect.code === code ? [effect.callerId] : [],
  );
}

/** Asserts that the program found none of its own invariants broken. */
function expectUnbroken(bench: entryBench.Bench): void {
  const broken = bench.effects.filter(
    (effect) => effect.kind === 'observe' && effect.observation.kind === 'invariantBroken',
  );
  assert.deepEqual(broken, []);
}

nodeTest.test('a full queue sheds the newest of the least urgent tier', () => {
  // Two drafts wait and fill the bound. An urgent request comes: the newer
  // draft is told SHED at once, not run, with a time to come back.
  const bench = entryBench.createBench({ agents: ['a'], limits: LIMITS });
  const [first, second] = [DRAFT, DRAFT].map((one) => entryBench.sendRequest(bench, one));
  const urgent = entryBench.sendRequest(bench);
  const failure = entryBench.findFailure(bench, second);
  assert.equal(failure?.code, ResultCode.SHED);
  assert.equal(failure?.runState, RunState.NOT_RUN);
  assert.ok((failure?.retryAfterMs ?? 0) >= 500);
  const late = entryBench.sendRequest(bench, DRAFT);
  assert.deepEqual(listTold(bench, ResultCode.SHED), [second, late]);
  assert.ok(entryBench.getRequestId(bench, first) !== '');
  assert.ok(entryBench.getRequestId(bench, urgent) !== '');
  expectUnbroken(bench);
});

nodeTest.test('an urgent request is not shed while drafts wait at an agent', () => {
  // The entry is full of urgent requests, and so were the agents asked; agent b
  // has since reported waiting drafts. It is asked first: it evicts a draft.
  // Only when b refuses too is the newest urgent request shed.
  const policy = entryPolicy.createLateBindingPolicy(() => 0, 1);
  const bench = entryBench.createBench({ agents: ['a', 'b'], policy, limits: LIMITS });
  const callers = [1, 2, 3].map(() => {
    entryBench.report(bench, 'b', { queued: 64, queuedTokens: 1e6 });
    return entryBench.sendRequest(bench);
  });
  assert.deepEqual(listTold(bench, ResultCode.SHED), [callers[2]]);
  entryBench.report(bench, 'b', { queued: 64, queuedByTier: [60, 4] });
  const kept = entryBench.sendRequest(bench);
  assert.deepEqual(entryBench.listAsked(bench, kept), ['b']);
  assert.equal(entryBench.findFailure(bench, kept), undefined);
  entryBench.report(bench, 'b', { queued: 64, queuedByTier: [64, 0] });
  const id = entryBench.getRequestId(bench, kept);
  entryBench.refuse(bench, 'b', id);
  entryBench.refuse(bench, 'a', id);
  assert.equal(entryBench.findFailure(bench, kept)?.code, ResultCode.SHED);
  expectUnbroken(bench);
});

nodeTest.test('a pushed draft that has not started gives way', () => {
  // Requests are pushed; a draft waits in its agent's queue and two urgent ones
  // have been refused by all. The entry takes the draft back before it sheds an
  // urgent request, and sheds the draft once its agent confirms that it never ran.
  const policy = entryPolicy.createLeastOutstandingPolicy(() => 0);
  const limits = { maxWaiting: 1, maxQueued: 1 };
  const bench = entryBench.createBench({ agents: ['a'], policy, limits });
  const draft = entryBench.sendRequest(bench, DRAFT);
  const draftId = entryBench.getRequestId(bench, draft);
  entryBench.report(bench, 'a', { queued: 1 });
  const urgent = [1, 2].map(() => {
    const caller = entryBench.sendRequest(bench);
    entryBench.reportNotRun(bench, 'a', entryBench.getRequestId(bench, caller));
    return caller;
  });
  assert.deepEqual(
    entryBench.listSent(bench.effects, 'withdraw').map((sent) => sent.value.ref?.requestId),
    [draftId],
  );
  assert.deepEqual(listTold(bench, ResultCode.SHED), []);
  entryBench.reportNotRun(bench, 'a', draftId, ResultCode.CANCELLED);
  assert.deepEqual(listTold(bench, ResultCode.SHED), [draft]);
  assert.ok(urgent.every((caller) => entryBench.findFailure(bench, caller) === undefined));
  expectUnbroken(bench);
});

nodeTest.test('told at once that the queue is too long for the deadline', () => {
  // The engine starts one request each two seconds and five wait. A request
  // that allows three seconds is told now instead of when they are over.
  const bench = entryBench.createBench({ agents: ['a'], limits: { maxQueued: 1 } });
  for (let count = 0; count < 6; count += 1) {
    const id = entryBench.getRequestId(bench, entryBench.sendRequest(bench));
    bench.now += 2000;
    entryBench.grant(bench, 'a', id);
    entryBench.start(bench, 'a', id);
  }
  const send = (timeoutMs: number): number => {
    const caller = entryBench.sendRequest(bench, { timeoutMs });
    entryBench.refuse(bench, 'a', entryBench.getRequestId(bench, caller));
    return caller;
  };
  const patient = [1, 2, 3, 4, 5].map(() => send(60_000));
  const hasty = send(3000);
  const failure = entryBench.findFailure(bench, hasty);
  assert.equal(failure?.code, ResultCode.DEADLINE_UNREACHABLE);
  assert.ok((failure?.retryAfterMs ?? 0) > 5000);
  assert.ok(patient.every((caller) => entryBench.findFailure(bench, caller) === undefined));
});
