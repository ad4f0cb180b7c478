import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as entryPolicy from './entry-policy.js';
import * as entryFixture from './mocks/entry-fixture.js';

const { ResultCode, RunState } = schema;
const DRAFT = { tokenSha256: 'brim-draft' };
const LIMITS = { maxWaiting: 2 };

/** Lists the callers that received a failure with the given code. */
function listFailedWith(fixture: entryFixture.Fixture, code: schema.ResultCode): number[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'answerFailure' && effect.code === code ? [effect.callerId] : [],
  );
}

/** Asserts that the core reported no broken invariant of its own. */
function expectNoBrokenInvariant(fixture: entryFixture.Fixture): void {
  const broken = fixture.effects.filter(
    (effect) => effect.kind === 'observe' && effect.observation.kind === 'invariantBroken',
  );
  assert.deepEqual(broken, []);
}

nodeTest.test('a full queue sheds the newest of the least urgent tier', () => {
  // Two waiting drafts reach the limit, and an urgent request arrives. The newer
  // draft must be shed immediately as not run, with a retry-after.
  const fixture = entryFixture.createFixture({ agents: ['a'], limits: LIMITS });
  const [first, second] = [DRAFT, DRAFT].map((one) => entryFixture.sendRequest(fixture, one));
  const urgent = entryFixture.sendRequest(fixture);
  const failure = entryFixture.findFailure(fixture, second);
  assert.equal(failure?.code, ResultCode.SHED);
  assert.equal(failure?.runState, RunState.NOT_RUN);
  assert.ok((failure?.retryAfterMs ?? 0) >= 500);
  const late = entryFixture.sendRequest(fixture, DRAFT);
  assert.deepEqual(listFailedWith(fixture, ResultCode.SHED), [second, late]);
  assert.ok(entryFixture.getRequestId(fixture, first) !== '');
  assert.ok(entryFixture.getRequestId(fixture, urgent) !== '');
  expectNoBrokenInvariant(fixture);
});

nodeTest.test('an urgent request is not shed while drafts wait at an agent', () => {
  // The entry is full of urgent requests, and so were the agents that it asked.
  // Agent b has since reported queued drafts, so it must be asked first: it evicts
  // a draft. Only if b refuses too is the newest urgent request shed.
  const policy = entryPolicy.createLateBindingPolicy(() => 0, 1);
  const fixture = entryFixture.createFixture({ agents: ['a', 'b'], policy, limits: LIMITS });
  const callers = [1, 2, 3].map(() => {
    entryFixture.report(fixture, 'b', { queued: 64, queuedTokens: 1e6 });
    return entryFixture.sendRequest(fixture);
  });
  assert.deepEqual(listFailedWith(fixture, ResultCode.SHED), [callers[2]]);
  entryFixture.report(fixture, 'b', { queued: 64, queuedByTier: [60, 4] });
  const kept = entryFixture.sendRequest(fixture);
  assert.deepEqual(entryFixture.listAsked(fixture, kept), ['b']);
  assert.equal(entryFixture.findFailure(fixture, kept), undefined);
  entryFixture.report(fixture, 'b', { queued: 64, queuedByTier: [64, 0] });
  const id = entryFixture.getRequestId(fixture, kept);
  entryFixture.refuse(fixture, 'b', id);
  entryFixture.refuse(fixture, 'a', id);
  assert.equal(entryFixture.findFailure(fixture, kept)?.code, ResultCode.SHED);
  expectNoBrokenInvariant(fixture);
});

nodeTest.test('a pushed draft that has not started is withdrawn and shed', () => {
  // Requests are pushed. A draft waits in its agent's queue, and every agent has
  // refused two urgent requests. The entry must withdraw the draft before it sheds
  // an urgent request, and shed the draft once its agent confirms that it was not
  // run.
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
  assert.deepEqual(listFailedWith(fixture, ResultCode.SHED), []);
  entryFixture.reportNotRun(fixture, 'a', draftId, ResultCode.CANCELLED);
  assert.deepEqual(listFailedWith(fixture, ResultCode.SHED), [draft]);
  assert.ok(urgent.every((caller) => entryFixture.findFailure(fixture, caller) === undefined));
  expectNoBrokenInvariant(fixture);
});

nodeTest.test('fails immediately if the queue is too long for the deadline', () => {
  // The engine starts one request every two seconds, and five are waiting. A
  // request with a deadline of three seconds must be rejected immediately, not
  // after the deadline.
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
  const longDeadlines = [1, 2, 3, 4, 5].map(() => send(60_000));
  const shortDeadline = send(3000);
  const failure = entryFixture.findFailure(fixture, shortDeadline);
  assert.equal(failure?.code, ResultCode.DEADLINE_UNREACHABLE);
  assert.ok((failure?.retryAfterMs ?? 0) > 5000);
  assert.ok(
    longDeadlines.every((caller) => entryFixture.findFailure(fixture, caller) === undefined),
  );
});
