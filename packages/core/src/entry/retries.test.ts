import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as entryFixture from './mocks/entry-fixture.js';

const { ResultCode, RunState } = schema;
const REPEAT = { path: '/repeat' };

/** Grants a request at the agent that was asked first and starts it there. */
function runAt(fixture: entryFixture.Fixture, caller: number, attempt = 1): string {
  const id = entryFixture.getRequestId(fixture, caller);
  const asked = entryFixture.listAsked(fixture, caller).at(-1) ?? '';
  entryFixture.grant(fixture, asked, id);
  entryFixture.start(fixture, asked, id, attempt);
  return asked;
}

nodeTest.test('a broken run is repeated elsewhere after a pause', () => {
  // The engine of the first agent fails. The request waits out a pause drawn at
  // random, so that a burst of failures does not come back as one.
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

nodeTest.test('a request that may run once is never repeated', () => {
  const fixture = entryFixture.createFixture({ agents: ['a', 'b'] });
  const caller = entryFixture.sendRequest(fixture);
  const id = entryFixture.getRequestId(fixture, caller);
  entryFixture.fail(fixture, runAt(fixture, caller), id, ResultCode.ENGINE_FAILED);
  const failure = entryFixture.findFailure(fixture, caller);
  assert.equal(failure?.code, ResultCode.ENGINE_FAILED);
  assert.equal(failure?.runState, RunState.RAN);
});

nodeTest.test('a repeat that is not run does not undo the first run', () => {
  // The first attempt ran and broke; the repeat meets its deadline while it
  // waits. Told "not run", the caller would order again.
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

nodeTest.test('one crash is repeated, a second is not', () => {
  // The request crashes the engine of each agent that runs it. Repeated without
  // end, it would take down one backend server after another.
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

nodeTest.test('a spent budget ends repeats', () => {
  // Every engine fails. Ten percent of first attempts and a floor are repeated;
  // the rest is told at once, as run, with a time to come back.
  const limits = { retryBudgetPercent: 10 };
  const fixture = entryFixture.createFixture({ agents: ['a', 'b', 'c', 'd'], limits });
  const callers = Array.from({ length: 20 }, () => {
    const caller = entryFixture.sendRequest(fixture, REPEAT);
    const id = entryFixture.getRequestId(fixture, caller);
    entryFixture.fail(fixture, runAt(fixture, caller), id, ResultCode.ENGINE_FAILED);
    return caller;
  });
  const told = callers.map((caller) => entryFixture.findFailure(fixture, caller));
  const spent = told.filter((failure) => failure?.code === ResultCode.RETRY_BUDGET_SPENT);
  assert.equal(spent.length, 15);
  assert.ok(spent.every((failure) => failure?.runState === RunState.RAN));
});

nodeTest.test('a spent budget does not stop an urgent repeat before drafts', () => {
  // The budget is spent while a draft waits in the entry. An urgent request
  // whose run breaks is repeated all the same: the draft is what may be shed.
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

nodeTest.test('a key that may be repeated is not told as not run', () => {
  // A call is sent again under its key through this entry, which has no agent
  // and gives it up, while the first call runs through another entry. Nobody
  // closes the key of a repeatable request, so the caller is not told "not run".
  const fixture = entryFixture.createFixture({ agents: [] });
  const keyed = entryFixture.sendRequest(fixture, { ...REPEAT, key: 'key-1' });
  const plain = entryFixture.sendRequest(fixture, REPEAT);
  const states = [keyed, plain].map(
    (caller) => entryFixture.findFailure(fixture, caller)?.runState,
  );
  assert.deepEqual(states, [RunState.MAY_HAVE_RUN, RunState.NOT_RUN]);
});
