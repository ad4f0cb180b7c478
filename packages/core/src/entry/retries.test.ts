import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as entryFixture from './mocks/entry-fixture.js';

const { ResultCode, RunState } = schema;
const REPEAT = { path: '/repeat' };

/** Grants and starts a request at the agent that was asked last, and returns that agent. */
function runAt(fixture: entryFixture.Fixture, caller: number, attempt = 1): string {
  const id = entryFixture.getRequestId(fixture, caller);
  const asked = entryFixture.listAsked(fixture, caller).at(-1) ?? '';
  entryFixture.grant(fixture, asked, id);
  entryFixture.start(fixture, asked, id, attempt);
  return asked;
}

nodeTest.test('a failed run is retried elsewhere after a backoff', () => {
  // The engine of the first agent fails. The request must wait for a random
  // backoff, so that a burst of failures does not return as one burst.
  const fixture = entryFixture.createFixture({ agents: ['a', 'b', 'c', 'd'], busy: true });
  const caller = entryFixture.sendRequest(fixture, REPEAT);
  const id = entryFixture.getRequestId(fixture, caller);
  const failed = runAt(fixture, caller);
  const before = entryFixture.listAsked(fixture, caller).length;
  entryFixture.fail(fixture, failed, id, ResultCode.ENGINE_FAILED);
  assert.equal(entryFixture.listAsked(fixture, caller).length, before);
  entryFixture.advance(fixture, 25);
  const asked = entryFixture.listAsked(fixture, caller).slice(before);
  assert.equal(asked.length, 3);
  assert.ok(!asked.includes(failed));
});

nodeTest.test('a request that may run once is never retried', () => {
  const fixture = entryFixture.createFixture({ agents: ['a', 'b'] });
  const caller = entryFixture.sendRequest(fixture);
  const id = entryFixture.getRequestId(fixture, caller);
  entryFixture.fail(fixture, runAt(fixture, caller), id, ResultCode.ENGINE_FAILED);
  const failure = entryFixture.findFailure(fixture, caller);
  assert.equal(failure?.code, ResultCode.ENGINE_FAILED);
  assert.equal(failure?.runState, RunState.RAN);
});

nodeTest.test('a retry that is not run does not hide the first run', () => {
  // The first attempt ran and failed, and the retry reaches its deadline while it
  // waits. If the caller got "not run", it would submit the same work again.
  const fixture = entryFixture.createFixture({ agents: ['a', 'b'] });
  const caller = entryFixture.sendRequest(fixture, REPEAT);
  const id = entryFixture.getRequestId(fixture, caller);
  entryFixture.fail(fixture, runAt(fixture, caller), id, ResultCode.ENGINE_FAILED);
  entryFixture.advance(fixture, 25);
  entryFixture.advance(fixture, 10_000);
  const failure = entryFixture.findFailure(fixture, caller);
  assert.equal(failure?.code, ResultCode.DEADLINE_UNREACHABLE);
  assert.equal(failure?.runState, RunState.RAN);
});

nodeTest.test('a first crash is retried, a second is not', () => {
  // A request crashes the engine of each agent that runs it. Retried without a
  // limit, it would crash one backend server after another.
  const fixture = entryFixture.createFixture({ agents: ['a', 'b', 'c', 'd'], busy: true });
  const caller = entryFixture.sendRequest(fixture, REPEAT);
  const id = entryFixture.getRequestId(fixture, caller);
  entryFixture.fail(fixture, runAt(fixture, caller), id, ResultCode.ENGINE_CRASHED);
  entryFixture.advance(fixture, 25);
  entryFixture.fail(fixture, runAt(fixture, caller, 2), id, ResultCode.ENGINE_CRASHED, 2);
  const failure = entryFixture.findFailure(fixture, caller);
  assert.equal(failure?.code, ResultCode.ENGINE_CRASHED);
  assert.equal(failure?.runState, RunState.RAN);
});

nodeTest.test('an exhausted budget ends retries', () => {
  // Every engine fails. Ten percent of the first attempts and a minimum number are
  // retried. The others must fail immediately as run, with a retry-after.
  const limits = { retryBudgetPercent: 10 };
  const fixture = entryFixture.createFixture({ agents: ['a', 'b', 'c', 'd'], limits });
  const callers = Array.from({ length: 20 }, () => {
    const caller = entryFixture.sendRequest(fixture, REPEAT);
    const id = entryFixture.getRequestId(fixture, caller);
    entryFixture.fail(fixture, runAt(fixture, caller), id, ResultCode.ENGINE_FAILED);
    return caller;
  });
  const failures = callers.map((caller) => entryFixture.findFailure(fixture, caller));
  const spent = failures.filter((failure) => failure?.code === ResultCode.RETRY_BUDGET_SPENT);
  assert.equal(spent.length, 15);
  assert.ok(spent.every((failure) => failure?.runState === RunState.RAN));
});

nodeTest.test('an exhausted budget does not stop an urgent retry before drafts', () => {
  // The budget is exhausted while a draft waits in the entry. An urgent request
  // whose attempt fails must still be retried, because the draft can be shed
  // instead.
  const limits = { retryBudgetPercent: 1 };
  const fixture = entryFixture.createFixture({ agents: ['a', 'b', 'c', 'd'], limits });
  const draft = entryFixture.sendRequest(fixture, { tokenSha256: 'brim-draft' });
  for (let count = 0; count < 10; count += 1) {
    const caller = entryFixture.sendRequest(fixture, REPEAT);
    const id = entryFixture.getRequestId(fixture, caller);
    entryFixture.fail(fixture, runAt(fixture, caller), id, ResultCode.ENGINE_FAILED);
    assert.equal(entryFixture.findFailure(fixture, caller), undefined);
  }
  assert.equal(entryFixture.findFailure(fixture, draft), undefined);
});

nodeTest.test('a key that may be repeated is not reported as not run', () => {
  // A call is sent again with its key through this entry, which has no agent and
  // fails it, while the first call runs through another entry. The key of a
  // repeatable request is never closed, so the caller must not get "not run".
  const fixture = entryFixture.createFixture({ agents: [] });
  const keyed = entryFixture.sendRequest(fixture, { ...REPEAT, key: 'key-1' });
  const plain = entryFixture.sendRequest(fixture, REPEAT);
  const states = [keyed, plain].map(
    (caller) => entryFixture.findFailure(fixture, caller)?.runState,
  );
  assert.deepEqual(states, [RunState.MAY_HAVE_RUN, RunState.NOT_RUN]);
});
