import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as entryFixture from './mocks/entry-fixture.js';

const { ResultCode, RunState } = schema;

nodeTest.test('a workspace at its limit', () => {
  const limits = { maxRequestsPerWorkspace: 2 };
  const fixture = entryFixture.createFixture({ agents: ['a'], limits });
  const [first, , third] = [1, 2, 3].map(() => entryFixture.sendRequest(fixture));
  const other = entryFixture.sendRequest(fixture, { tokenSha256: 'band-stall' });
  assert.equal(entryFixture.findFailure(fixture, third)?.code, ResultCode.WORKSPACE_LIMIT);
  assert.equal(entryFixture.findFailure(fixture, other), undefined);
  entryFixture.handle(fixture, { kind: 'callerLeft', callerId: first });
  const again = entryFixture.sendRequest(fixture);
  assert.equal(entryFixture.findFailure(fixture, again), undefined);
});

nodeTest.test('content that crashed two engines', () => {
  // The same content arrives again through this entry, which knows of its crashes
  // from an agent's report only. The entry refuses it and reports the crashes to
  // other agents in heartbeats.
  const fixture = entryFixture.createFixture({ agents: ['a', 'b'] });
  const held = entryFixture.sendRequest(fixture, { contentDigest: 'poison' });
  const asked = entryFixture.getRequestId(fixture, held);
  const suspect = { contentDigest: 'poison', crashes: 2, lastCrashMs: fixture.now };
  const effects = entryFixture.report(fixture, 'a', {}, [suspect]);
  const caller = entryFixture.sendRequest(fixture, { contentDigest: 'poison' });
  assert.equal(entryFixture.findFailure(fixture, caller)?.code, ResultCode.CONTENT_REFUSED);
  assert.equal(entryFixture.findFailure(fixture, caller)?.runState, RunState.NOT_RUN);
  // The request that was waiting already is refused when an agent grants it a slot.
  entryFixture.grant(fixture, 'b', asked);
  assert.equal(entryFixture.findFailure(fixture, held)?.code, ResultCode.CONTENT_REFUSED);
  const heartbeats = entryFixture.listSent(effects, 'heartbeat');
  const reported = heartbeats.find((sent) => sent.to === 'b')?.value.suspects ?? [];
  assert.deepEqual(
    reported.map((one) => [one.contentDigest, one.crashes]),
    [['poison', 2]],
  );
  const next = entryFixture.listSent(entryFixture.advance(fixture, 600), 'heartbeat');
  assert.deepEqual(next[0].value.suspects, []);
});

nodeTest.test('a crash is reported before the next offer', () => {
  // A request crashes an engine, and its caller immediately sends it again through
  // this entry to another backend server. That agent must know of the first crash
  // before the offer arrives. Otherwise it counts its own crash as the first, and a
  // third engine runs the content.
  const fixture = entryFixture.createFixture({ agents: ['a', 'b'] });
  const suspect = { contentDigest: 'poison', crashes: 1, lastCrashMs: fixture.now };
  const sent = entryFixture.listSent(entryFixture.report(fixture, 'a', {}, [suspect]), 'heartbeat');
  const reported = sent.find((one) => one.to === 'b')?.value.suspects ?? [];
  assert.deepEqual(
    reported.map((one) => [one.contentDigest, one.crashes]),
    [['poison', 1]],
  );
  const again = entryFixture.report(fixture, 'a', {}, [suspect]);
  assert.deepEqual(entryFixture.listSent(again, 'heartbeat'), []);
});

nodeTest.test('no agent: links may still open, but not for long', () => {
  // A request arrives before the first link of a newly started entry is open. It
  // waits. If there is no link after two seconds it fails, and later requests fail
  // immediately.
  const fixture = entryFixture.createFixture({ agents: [] });
  const document = entryFixture.buildDocument(2, { agents: ['a'] });
  entryFixture.handle(fixture, { kind: 'documentRead', stored: { document, json: '{}' } });
  const early = entryFixture.sendRequest(fixture);
  entryFixture.advance(fixture, 1900);
  assert.equal(entryFixture.findFailure(fixture, early), undefined);
  entryFixture.advance(fixture, 100);
  assert.equal(entryFixture.findFailure(fixture, early)?.code, ResultCode.NO_BACKEND_SERVER);
  const late = entryFixture.sendRequest(fixture);
  assert.equal(entryFixture.findFailure(fixture, late)?.code, ResultCode.NO_BACKEND_SERVER);
  entryFixture.openLink(fixture, 'a');
  const served = entryFixture.sendRequest(fixture);
  assert.deepEqual(entryFixture.listAsked(fixture, served), ['a']);
});

nodeTest.test('an overdue attempt that its agent does not report on', () => {
  // An agent pauses while it holds an offer. At the deadline it is asked to
  // withdraw the offer. It does not answer and may start the request when it
  // resumes, so the caller must get "may have run".
  const fixture = entryFixture.createFixture({ agents: ['a'] });
  const caller = entryFixture.sendRequest(fixture, { timeoutMs: 1000 });
  entryFixture.grant(fixture, 'a', entryFixture.getRequestId(fixture, caller));
  const asked = entryFixture.advance(fixture, 1000);
  assert.equal(entryFixture.listSent(asked, 'withdraw').length, 1);
  entryFixture.advance(fixture, 200);
  assert.equal(entryFixture.findFailure(fixture, caller), undefined);
  entryFixture.advance(fixture, 50);
  assert.equal(entryFixture.findFailure(fixture, caller)?.runState, RunState.MAY_HAVE_RUN);
});

nodeTest.test('costs are learned from responses', () => {
  const fixture = entryFixture.createFixture({ agents: ['a'] });
  const payload = new Uint8Array(400);
  for (let count = 0; count < 3; count += 1) {
    const id = entryFixture.getRequestId(fixture, entryFixture.sendRequest(fixture, { payload }));
    entryFixture.grant(fixture, 'a', id);
    entryFixture.complete(fixture, 'a', id, new Uint8Array(80));
  }
  const [open, bounded] = [0, 5].map((maxAnswerTokens) => {
    const caller = entryFixture.sendRequest(fixture, { payload, maxAnswerTokens });
    return fixture.state.requests.get(entryFixture.getRequestId(fixture, caller));
  });
  assert.equal(open?.arrived.estimatedTokens, 100 + 20);
  assert.equal(bounded?.arrived.estimatedTokens, 100 + 5);
});
