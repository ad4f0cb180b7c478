import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as entryFixture from './mocks/entry-fixture.js';

const { ResultCode, RunState } = schema;
const GRACE_MS = 8000;
const TIMEOUT_MS = 20_000;

/** Applies ticks until the grace period is over; the agents report that their queues are full. */
function advanceToEnd(fixture: entryFixture.Fixture): void {
  const load = { queued: 1000, queuedTokens: 100_000 };
  Array.from({ length: GRACE_MS / 50 - 1 }).forEach(() => {
    [...fixture.state.agents.keys()].forEach((id) => entryFixture.report(fixture, id, load));
    entryFixture.advance(fixture, 50);
  });
}

nodeTest.test('requests that wait are refused before the grace period ends', () => {
  // Guards against requests that are admitted, wait for longer than the process has, and are cut by
  // its end without an answer.
  const fixture = entryFixture.createFixture({ agents: ['a', 'b'] });
  const callers = Array.from({ length: 40 }, (_, index) =>
    entryFixture.sendRequest(fixture, {
      timeoutMs: TIMEOUT_MS,
      path: index % 2 === 0 ? '/once' : '/repeat',
    }),
  );
  entryFixture.handle(fixture, { kind: 'shutdownStarted', graceMs: GRACE_MS });
  advanceToEnd(fixture);
  const outcomes = callers.map((caller) => entryFixture.findFailure(fixture, caller));
  assert.deepEqual(
    [...new Set(outcomes.map((failure) => [failure?.code, failure?.runState].join()))],
    [[ResultCode.SHUTTING_DOWN, RunState.NOT_RUN].join()],
  );
  assert.ok(fixture.effects.some(({ kind }) => kind === 'stopped'));
});

nodeTest.test('a run that outlasts the grace period gets its failure before the end', () => {
  // Guards against a run that is cut with the process, whose caller learns nothing of it.
  const fixture = entryFixture.createFixture({ agents: ['a'] });
  const caller = entryFixture.sendRequest(fixture, { timeoutMs: TIMEOUT_MS });
  const id = entryFixture.getRequestId(fixture, caller);
  entryFixture.grant(fixture, 'a', id);
  entryFixture.start(fixture, 'a', id, 1);
  entryFixture.handle(fixture, { kind: 'shutdownStarted', graceMs: GRACE_MS });
  entryFixture.advance(fixture, GRACE_MS / 2);
  assert.equal(entryFixture.findFailure(fixture, caller), undefined);
  advanceToEnd(fixture);
  const failure = entryFixture.findFailure(fixture, caller);
  assert.deepEqual([failure?.code, failure?.runState], [ResultCode.GATEWAY_STOPPED, RunState.RAN]);
});

nodeTest.test('an offer whose fate is unknown at the end is not called not run', () => {
  // Guards against a refusal for a request that its agent may still start.
  const fixture = entryFixture.createFixture({ agents: ['a'] });
  const caller = entryFixture.sendRequest(fixture, { timeoutMs: TIMEOUT_MS });
  entryFixture.grant(fixture, 'a', entryFixture.getRequestId(fixture, caller));
  entryFixture.handle(fixture, { kind: 'shutdownStarted', graceMs: GRACE_MS });
  advanceToEnd(fixture);
  const failure = entryFixture.findFailure(fixture, caller);
  assert.deepEqual(
    [failure?.code, failure?.runState],
    [ResultCode.GATEWAY_STOPPED, RunState.MAY_HAVE_RUN],
  );
});

nodeTest.test('deadline before the end of the grace period stays as it is', () => {
  const fixture = entryFixture.createFixture({ agents: ['a', 'b'] });
  const caller = entryFixture.sendRequest(fixture, { timeoutMs: 1000 });
  entryFixture.handle(fixture, { kind: 'shutdownStarted', graceMs: GRACE_MS });
  entryFixture.advance(fixture, 1000);
  const failure = entryFixture.findFailure(fixture, caller);
  assert.equal(failure?.code, ResultCode.DEADLINE_UNREACHABLE);
});
