import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as entryPolicy from './entry-policy.js';
import * as entryFixture from './mocks/entry-fixture.js';

const { ResultCode, RunState } = schema;
const DRAFT = { tokenSha256: 'brim-draft' };
const LIMITS = { maxWaiting: 2 };

/** Lists the callers that were told a code. */
function listTold(fixture: entryFixture.Fixture, code: schema.ResultCode): number[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'answerFailure' && effect.code === code ? [effect.callerId] : [],
  );
}

/** Asserts that the program found none of its own invariants broken. */
function expectUnbroken(fixture: entryFixture.Fixture): void {
  const broken = fixture.effects.filter(
    (effect) => effect.kind === 'observe' && effect.observation.kind === 'invariantBroken',
  );
  assert.deepEqual(broken, []);
}

nodeTest.test('a full queue sheds the newest of the least urgent tier', () => {
  // Two drafts wait and fill the bound. An urgent request comes: the newer
  // draft is told SHED at once, not run, with a time to come back.
  const fixture = entryFixture.createFixture({ agents: ['a'], limits: LIMITS });
  const [first, second] = [DRAFT, DRAFT].map((one) => entryFixture.sendRequest(fixture, one));
  const urgent = entryFixture.sendRequest(fixture);
  const failure = entryFixture.findFailure(fixture, second);
  assert.equal(failure?.code, ResultCode.SHED);
  assert.equal(failure?.runState, RunState.NOT_RUN);
  assert.ok((failure?.retryAfterMs ?? 0) >= 500);
  const late = entryFixture.sendRequest(fixture, DRAFT);
  assert.deepEqual(listTold(fixture, ResultCode.SHED), [second, late]);
  assert.ok(entryFixture.getRequestId(fixture, first) !== '');
  assert.ok(entryFixture.getRequestId(fixture, urgent) !== '');
  expectUnbroken(fixture);
});

nodeTest.test('an urgent request is not shed while drafts wait at an agent', () => {
  // The entry is full of urgent requests, and so were the agents asked; agent b
  // has since reported waiting drafts. It is asked first: it evicts a draft.
  // Only when b refuses too is the newest urgent request shed.
  const policy = entryPolicy.createLateBindingPolicy(() => 0, 1);
  const fixture = entryFixture.createFixture({ agents: ['a', 'b'], policy, limits: LIMITS });
  const callers = [1, 2, 3].map(() => {
    entryFixture.report(fixture, 'b', { queued: 64, queuedTokens: 1e6 });
    return entryFixture.sendRequest(fixture);
  });
  assert.deepEqual(listTold(fixture, ResultCode.SHED), [callers[2]]);
  entryFixture.report(fixture, 'b', { queued: 64, queuedByTier: [60, 4] });
  const kept = entryFixture.sendRequest(fixture);
  assert.deepEqual(entryFixture.listAsked(fixture, kept), ['b']);
  assert.equal(entryFixture.findFailure(fixture, kept), undefined);
  entryFixture.report(fixture, 'b', { queued: 64, queuedByTier: [64, 0] });
  const id = entryFixture.getRequestId(fixture, kept);
  entryFixture.refuse(fixture, 'b', id);
  entryFixture.refuse(fixture, 'a', id);
  assert.equal(entryFixture.findFailure(fixture, kept)?.code, ResultCode.SHED);
  expectUnbroken(fixture);
});

nodeTest.test('a pushed draft that has not started gives way', () => {
  // Requests are pushed; a draft waits in its agent's queue and two urgent ones
  // have been refused by all. The entry takes the draft back before it sheds an
  // urgent request, and sheds the draft once its agent confirms that it never ran.
  const policy = entryPolicy.createLeastOutstandingPolicy(() => 0);
  const limits = { maxWaiting: 1, maxQueued: 1 };
  const fixture = entryFixture.createFixture({ agents: ['a'], policy, limits });
  const draft = entryFixture.sendRequest(fixture, DRAFT);
  const draftId = entryFixture.getRequestId(fixture, draft);
  entryFixture.report(fixture, 'a', { queued: 1 });
  const urgent = [1, 2].map(() => {
    const caller = entryFixture.sendRequest(fixture);
    entryFixture.reportNotRun(fixture, 'a', entryFixture.getRequestId(fixture, caller));
    return caller;
  });
  assert.deepEqual(
    entryFixture.listSent(fixture.effects, 'withdraw').map((sent) => sent.value.ref?.requestId),
    [draftId],
  );
  assert.deepEqual(listTold(fixture, ResultCode.SHED), []);
  entryFixture.reportNotRun(fixture, 'a', draftId, ResultCode.CANCELLED);
  assert.deepEqual(listTold(fixture, ResultCode.SHED), [draft]);
  assert.ok(urgent.every((caller) => entryFixture.findFailure(fixture, caller) === undefined));
  expectUnbroken(fixture);
});

nodeTest.test('told at once that the queue is too long for the deadline', () => {
  // The engine starts one request each two seconds and five wait. A request
  // that allows three seconds is told now instead of when they are over.
  const fixture = entryFixture.createFixture({ agents: ['a'], limits: { maxQueued: 1 } });
  for (let count = 0; count < 6; count += 1) {
    const id = entryFixture.getRequestId(fixture, entryFixture.sendRequest(fixture));
    fixture.now += 2000;
    entryFixture.grant(fixture, 'a', id);
    entryFixture.start(fixture, 'a', id);
  }
  const send = (timeoutMs: number): number => {
    const caller = entryFixture.sendRequest(fixture, { timeoutMs });
    entryFixture.refuse(fixture, 'a', entryFixture.getRequestId(fixture, caller));
    return caller;
  };
  const patient = [1, 2, 3, 4, 5].map(() => send(60_000));
  const hasty = send(3000);
  const failure = entryFixture.findFailure(fixture, hasty);
  assert.equal(failure?.code, ResultCode.DEADLINE_UNREACHABLE);
  assert.ok((failure?.retryAfterMs ?? 0) > 5000);
  assert.ok(patient.every((caller) => entryFixture.findFailure(fixture, caller) === undefined));
});
