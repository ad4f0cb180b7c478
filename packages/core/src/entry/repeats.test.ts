import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as entryBench from './mocks/entry-bench.js';

const { ResultCode, RunState } = schema;
const REPEAT = { path: '/repeat' };

/** Grants a request at the agent that was asked first and starts it there. */
function runAt(bench: entryBench.Bench, caller: number, attempt = 1): string {
  const id = entryBench.getRequestId(bench, caller);
  const asked = entryBench.listAsked(bench, caller).at(-1) ?? '';
  entryBench.grant(bench, asked, id);
  entryBench.start(bench, asked, id, attempt);
  return asked;
}

nodeTest.test('a broken run is repeated elsewhere after a pause', () => {
  // The engine of the first agent fails. The request waits out a pause drawn at
  // random, so that a burst of failures does not come back as one.
  const bench = entryBench.createBench({ agents: ['a', 'b', 'c', 'd'], busy: true });
  const caller = entryBench.sendRequest(bench, REPEAT);
  const id = entryBench.getRequestId(bench, caller);
  const failed = runAt(bench, caller);
  const before = entryBench.listAsked(bench, caller).length;
  entryBench.fail(bench, failed, id, ResultCode.ENGINE_FAILED);
  assert.equal(entryBench.listAsked(bench, caller).length, before);
  entryBench.advance(bench, 25);
  const asked = entryBench.listAsked(bench, caller).slice(before);
  assert.equal(asked.length, 3);
  assert.ok(!asked.includes(failed));
});

nodeTest.test('a request that may run once is never repeated', () => {
  const bench = entryBench.createBench({ agents: ['a', 'b'] });
  const caller = entryBench.sendRequest(bench);
  const id = entryBench.getRequestId(bench, caller);
  entryBench.fail(bench, runAt(bench, caller), id, ResultCode.ENGINE_FAILED);
  const failure = entryBench.findFailure(bench, caller);
  assert.equal(failure?.code, ResultCode.ENGINE_FAILED);
  assert.equal(failure?.runState, RunState.RAN);
});

nodeTest.test('a repeat that is not run does not undo the first run', () => {
  // The first attempt ran and broke; the repeat meets its deadline while it
  // waits. Told "not run", the caller would order again.
  const bench = entryBench.createBench({ agents: ['a', 'b'] });
  const caller = entryBench.sendRequest(bench, REPEAT);
  const id = entryBench.getRequestId(bench, caller);
  entryBench.fail(bench, runAt(bench, caller), id, ResultCode.ENGINE_FAILED);
  entryBench.advance(bench, 25);
  entryBench.advance(bench, 10_000);
  const failure = entryBench.findFailure(bench, caller);
  assert.equal(failure?.code, ResultCode.DEADLINE_UNREACHABLE);
  assert.equal(failure?.runState, RunState.RAN);
});

nodeTest.test('one crash is repeated, a second is not', () => {
  // The request crashes the engine of each agent that runs it. Repeated without
  // end, it would take down one backend server after another.
  const bench = entryBench.createBench({ agents: ['a', 'b', 'c', 'd'], busy: true });
  const caller = entryBench.sendRequest(bench, REPEAT);
  const id = entryBench.getRequestId(bench, caller);
  entryBench.fail(bench, runAt(bench, caller), id, ResultCode.ENGINE_CRASHED);
  entryBench.advance(bench, 25);
  entryBench.fail(bench, runAt(bench, caller, 2), id, ResultCode.ENGINE_CRASHED, 2);
  const failure = entryBench.findFailure(bench, caller);
  assert.equal(failure?.code, ResultCode.ENGINE_CRASHED);
  assert.equal(failure?.runState, RunState.RAN);
});

nodeTest.test('a spent budget ends repeats', () => {
  // Every engine fails. Ten percent of first attempts and a floor are repeated;
  // the rest is told at once, as run, with a time to come back.
  const limits = { retryBudgetPercent: 10 };
  const bench = entryBench.createBench({ agents: ['a', 'b', 'c', 'd'], limits });
  const callers = Array.from({ length: 20 }, () => {
    const caller = entryBench.sendRequest(bench, REPEAT);
    const id = entryBench.getRequestId(bench, caller);
    entryBench.fail(bench, runAt(bench, caller), id, ResultCode.ENGINE_FAILED);
    return caller;
  });
  const told = callers.map((caller) => entryBench.findFailure(bench, caller));
  const spent = told.filter((failure) => failure?.code === ResultCode.RETRY_BUDGET_SPENT);
  assert.equal(spent.length, 15);
  assert.ok(spent.every((failure) => failure?.runState === RunState.RAN));
});

nodeTest.test('a spent budget does not stop an urgent repeat before drafts', () => {
  // The budget is spent while a draft waits in the entry. An urgent request
  // whose run breaks is repeated all the same: the draft is what may be shed.
  const limits = { retryBudgetPercent: 1 };
  const bench = entryBench.createBench({ agents: ['a', 'b', 'c', 'd'], limits });
  const draft = entryBench.sendRequest(bench, { tokenSha256: 'brim-draft' });
  for (let count = 0; count < 10; count += 1) {
    const caller = entryBench.sendRequest(bench, REPEAT);
    const id = entryBench.getRequestId(bench, caller);
    entryBench.fail(bench, runAt(bench, caller), id, ResultCode.ENGINE_FAILED);
    assert.equal(entryBench.findFailure(bench, caller), undefined);
  }
  assert.equal(entryBench.findFailure(bench, draft), undefined);
});

nodeTest.test('a key that may be repeated is not told as not run', () => {
  // A call is sent again under its key through this entry, which has no agent
  // and gives it up, while the first call runs through another entry. Nobody
  // closes the key of a repeatable request, so the caller is not told "not run".
  const bench = entryBench.createBench({ agents: [] });
  const keyed = entryBench.sendRequest(bench, { ...REPEAT, key: 'key-1' });
  const plain = entryBench.sendRequest(bench, REPEAT);
  const states = [keyed, plain].map((caller) => entryBench.findFailure(bench, caller)?.runState);
  assert.deepEqual(states, [RunState.MAY_HAVE_RUN, RunState.NOT_RUN]);
});
