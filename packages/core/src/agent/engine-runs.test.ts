import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as suspects from '../shared/suspects.js';
import * as agentEvent from './agent-event.js';
import * as agentFixture from './mocks/agent-fixture.js';

const { CRASHED, FAILED, UNREACHABLE } = agentEvent.EngineFault;

/** Lets the engine crash with everything that runs. */
function failEngine(agent: agentFixture.AgentFixture): agentEvent.AgentEffect[] {
  return [...agent.state.running].flatMap((refKey) =>
    agentFixture.handle(agent, { kind: 'engineFailed', refKey, fault: CRASHED }),
  );
}

/** Reports that the engine is available. */
function startEngine(agent: agentFixture.AgentFixture): agentEvent.AgentEffect[] {
  return agentFixture.handle(agent, { kind: 'engineAvailable', available: true });
}

nodeTest.test('a crash marks all running attempts and is reported before their failures', () => {
  // Two requests run when the engine crashes; their connections break one after
  // the other. Both fail as run. The crash counts once for each, and entries
  // receive the suspects before callers can retry.
  const agent = agentFixture.createAgentFixture();
  agentFixture.offer(agent, 'a');
  agentFixture.offer(agent, 'b');
  const effects = failEngine(agent);
  const codes = agentFixture.listSent(effects, 'failed').map((failed) => failed.code);
  assert.deepEqual(codes, [schema.ResultCode.ENGINE_CRASHED, schema.ResultCode.ENGINE_CRASHED]);
  const [heartbeat] = agentFixture.listSent(effects, 'heartbeat');
  assert.deepEqual(
    heartbeat.suspects.map((one) => one.crashes),
    [1, 1],
  );
  const cases = effects.flatMap((one) =>
    one.kind === 'sendToEntry' ? [one.message.body.case] : [],
  );
  assert.ok(cases.indexOf('heartbeat') < cases.indexOf('failed'));
});

nodeTest.test('a suspect runs alone and is cleared on completion', () => {
  // A harmless request ran beside one that crashes the engine. Retried, it waits
  // until nothing else runs and holds others back while it runs. Its completion
  // clears it on this agent and, by heartbeat, on all others.
  const agent = agentFixture.createAgentFixture();
  agentFixture.offer(agent, 'first', { contentDigest: 'innocent' });
  agentFixture.offer(agent, 'crasher');
  failEngine(agent);
  startEngine(agent);
  agentFixture.offer(agent, 'other');
  assert.deepEqual(
    agentFixture.listStarted(agentFixture.offer(agent, 'again', { contentDigest: 'innocent' })),
    [],
  );
  assert.deepEqual(agentFixture.listStarted(agentFixture.complete(agent, 'other')), ['again']);
  assert.deepEqual(agentFixture.listStarted(agentFixture.offer(agent, 'behind')), []);
  const effects = agentFixture.complete(agent, 'again');
  assert.deepEqual(agentFixture.listStarted(effects), ['behind']);
  const [heartbeat] = agentFixture.listSent(effects, 'heartbeat');
  const cleared = heartbeat.suspects.find((one) => one.contentDigest === 'innocent');
  assert.equal(cleared?.crashes, 0);
});

nodeTest.test('content that crashed engines twice is refused', () => {
  // The caller retries the request after each crash. The first crash makes its
  // content a suspect; after the second one, when it ran alone, the content is
  // refused as not run.
  const agent = agentFixture.createAgentFixture();
  agentFixture.offer(agent, 'one', { contentDigest: 'poison' });
  failEngine(agent);
  startEngine(agent);
  agentFixture.offer(agent, 'two', { contentDigest: 'poison' });
  failEngine(agent);
  startEngine(agent);
  const [refused] = agentFixture.listSent(
    agentFixture.offer(agent, 'three', { contentDigest: 'poison' }),
    'notRun',
  );
  assert.equal(refused.code, schema.ResultCode.CONTENT_REFUSED);
});

nodeTest.test('queued attempts are refused when an entry reports their content as crashing', () => {
  const agent = agentFixture.createAgentFixture({ maxRunning: 1 });
  agentFixture.offer(agent, 'running');
  agentFixture.offer(agent, 'queued', { contentDigest: 'poison' });
  const fields = { contentDigest: 'poison', crashes: 2, lastCrashMs: agent.now };
  const suspect = schema.create(schema.SuspectSchema, fields);
  const heartbeat = schema.create(schema.EntryHeartbeatSchema, { suspects: [suspect] });
  const effects = agentFixture.receive(agent, { case: 'heartbeat', value: heartbeat });
  assert.equal(agentFixture.listSent(effects, 'notRun')[0].code, schema.ResultCode.CONTENT_REFUSED);
});

nodeTest.test('a refused connection is confirmed as not run', () => {
  // The engine is down, which is not yet known. The attempt is marked as started,
  // then its connection is refused: no byte was sent. The attempt is confirmed as
  // not run, and so are those queued behind it.
  const agent = agentFixture.createAgentFixture({ maxRunning: 1 });
  agentFixture.offer(agent, 'one');
  agentFixture.offer(agent, 'two');
  const effects = agentFixture.fail(agent, 'one', UNREACHABLE);
  assert.deepEqual(
    agentFixture.listSent(effects, 'notRun').map((notRun) => notRun.code),
    [schema.ResultCode.NO_BACKEND_SERVER, schema.ResultCode.NO_BACKEND_SERVER],
  );
  assert.equal(agent.state.running.size, 0);
  assert.equal(agentFixture.listSent(agentFixture.offer(agent, 'three'), 'notRun').length, 1);
  startEngine(agent);
  assert.deepEqual(agentFixture.listStarted(agentFixture.offer(agent, 'four')), ['four']);
});

nodeTest.test('wasted prefill is counted by its cause', () => {
  const agent = agentFixture.createAgentFixture();
  const payload = new Uint8Array(400);
  agentFixture.offer(agent, 'left', { payload, repeatable: true });
  agentFixture.offer(agent, 'failed', { payload });
  agentFixture.offer(agent, 'crashed', { payload });
  const ref = schema.create(schema.AttemptRefSchema, { requestId: 'left', attempt: 1 });
  const cancel = schema.create(schema.CancelSchema, { ref });
  agentFixture.receive(agent, { case: 'cancel', value: cancel });
  const wasted = [
    ...agentFixture.fail(agent, 'left', FAILED),
    ...agentFixture.fail(agent, 'failed', FAILED),
    ...failEngine(agent),
  ];
  const { CANCELLED, FAILED: GAVE_UP, CRASHED: DIED } = effect.WasteCause;
  assert.deepEqual(
    agentFixture.listObserved(wasted, 'wastedPrefill'),
    [CANCELLED, GAVE_UP, DIED].map((cause) => ({ kind: 'wastedPrefill', cause, tokens: 100 })),
  );
});

/** Forwards the suspects that one agent reported to others, as an entry does. */
function forwardSuspects(
  effects: agentEvent.AgentEffect[],
  agents: agentFixture.AgentFixture[],
): void {
  const received = agentFixture.listSent(effects, 'heartbeat').flatMap((one) => one.suspects);
  const heartbeat = schema.create(schema.EntryHeartbeatSchema, { suspects: received });
  agents.forEach((agent) => agentFixture.receive(agent, { case: 'heartbeat', value: heartbeat }));
}

/** Sends crashing content to each agent in turn and counts the crashes. */
function countCrashes(areSuspectsShared: boolean): number {
  const agents = Array.from({ length: 5 }, () => agentFixture.createAgentFixture());
  let crashes = 0;
  Array.from({ length: 30 }).forEach((_, index) => {
    const agent = agents[index % agents.length];
    agentFixture.offer(agent, `innocent-${index}`);
    const poison = agentFixture.offer(agent, `poison-${index}`, { contentDigest: 'poison' });
    const waiting = agentFixture.listSent(poison, 'notRun').length === 0;
    const started = [...poison, ...agentFixture.complete(agent, `innocent-${index}`)];
    if (waiting && agentFixture.listStarted(started).includes(`poison-${index}`)) {
      crashes += 1;
      const crashEffects = failEngine(agent);
      startEngine(agent);
      forwardSuspects(crashEffects, areSuspectsShared ? agents : []);
    }
  });
  const innocents = agents.flatMap((agent) => suspects.listSuspects(agent.state.suspects));
  assert.deepEqual(
    innocents.filter((one) => one.contentDigest !== 'poison'),
    [],
  );
  return crashes;
}

nodeTest.test('the number of engine crashes by one content is bounded', () => {
  // A caller sends the same crashing content thirty times, each time to the next
  // of five backend servers. Where the suspects spread before the caller retries,
  // there are two crashes. Where they do not spread at all, each crashes twice.
  assert.equal(countCrashes(true), suspects.MAX_CRASHES);
  assert.equal(countCrashes(false), 5 * suspects.MAX_CRASHES);
});
