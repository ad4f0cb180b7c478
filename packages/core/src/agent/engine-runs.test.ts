import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as suspects from '../shared/suspects.js';
import * as agentEvent from './agent-event.js';
import * as bench from './mocks/agent-bench.js';

const { CRASHED, FAILED, UNREACHABLE } = agentEvent.EngineFault;

/** Lets the engine crash with everything that runs, and come back. */
function failEngine(agent: bench.Bench): agentEvent.AgentEffect[] {
  return [...agent.state.running].flatMap((refKey) =>
    bench.handle(agent, { kind: 'engineFailed', refKey, fault: CRASHED }),
  );
}

/** Tells that the engine is up. */
function startEngine(agent: bench.Bench): agentEvent.AgentEffect[] {
  return bench.handle(agent, { kind: 'engineAvailable', available: true });
}

nodeTest.test('a crash marks all that ran and is told before the failures', () => {
  // Two requests run when the engine crashes; their connections break one
  // after the other. Both callers learn that theirs ran. The crash counts once
  // for each, and entries hear of the suspects before callers can send again.
  const agent = bench.createBench();
  bench.offer(agent, 'a');
  bench.offer(agent, 'b');
  const effects = failEngine(agent);
  const codes = bench.listSent(effects, 'failed').map((failed) => failed.code);
  assert.deepEqual(codes, [schema.ResultCode.ENGINE_CRASHED, schema.ResultCode.ENGINE_CRASHED]);
  const [heartbeat] = bench.listSent(effects, 'heartbeat');
  assert.deepEqual(
    heartbeat.suspects.map((one) => one.crashes),
    [1, 1],
  );
  const cases = effects.flatMap((one) =>
    one.kind === 'sendToEntry' ? [one.message.body.case] : [],
  );
  assert.ok(cases.indexOf('heartbeat') < cases.indexOf('failed'));
});

nodeTest.test('a suspect runs alone and clears its name', () => {
  // The innocent request ran beside a crasher. Sent again, it waits until
  // nothing else runs and holds others back while it runs. Its completion
  // clears it here and, by heartbeat, everywhere.
  const agent = bench.createBench();
  bench.offer(agent, 'first', { contentDigest: 'innocent' });
  bench.offer(agent, 'crasher');
  failEngine(agent);
  startEngine(agent);
  bench.offer(agent, 'other');
  assert.deepEqual(
    bench.listStarted(bench.offer(agent, 'again', { contentDigest: 'innocent' })),
    [],
  );
  assert.deepEqual(bench.listStarted(bench.complete(agent, 'other')), ['again']);
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'behind')), []);
  const effects = bench.complete(agent, 'again');
  assert.deepEqual(bench.listStarted(effects), ['behind']);
  const [heartbeat] = bench.listSent(effects, 'heartbeat');
  const cleared = heartbeat.suspects.find((one) => one.contentDigest === 'innocent');
  assert.equal(cleared?.crashes, 0);
});

nodeTest.test('content that crashed twice is refused', () => {
  // The caller sends the crasher again after each crash. The first crash makes
  // it a suspect, the second one, alone, has it refused as not run; also where
  // it is queued already.
  const agent = bench.createBench();
  bench.offer(agent, 'one', { contentDigest: 'poison' });
  failEngine(agent);
  startEngine(agent);
  bench.offer(agent, 'two', { contentDigest: 'poison' });
  failEngine(agent);
  startEngine(agent);
  const [refused] = bench.listSent(
    bench.offer(agent, 'three', { contentDigest: 'poison' }),
    'notRun',
  );
  assert.equal(refused.code, schema.ResultCode.CONTENT_REFUSED);
});

nodeTest.test('news of a crasher reaches what is queued', () => {
  const agent = bench.createBench({ maxRunning: 1 });
  bench.offer(agent, 'running');
  bench.offer(agent, 'queued', { contentDigest: 'poison' });
  const fields = { contentDigest: 'poison', crashes: 2, lastCrashMs: agent.now };
  const suspect = schema.create(schema.SuspectSchema, fields);
  const heartbeat = schema.create(schema.EntryHeartbeatSchema, { suspects: [suspect] });
  const effects = bench.receive(agent, { case: 'heartbeat', value: heartbeat });
  assert.equal(bench.listSent(effects, 'notRun')[0].code, schema.ResultCode.CONTENT_REFUSED);
});

nodeTest.test('a refused connection is confirmed as not run', () => {
  // The engine is down and nobody knows yet. The attempt is marked as started,
  // then the system refuses the connection: no byte went out. The caller is
  // told that it was not run, and so are those queued behind it.
  const agent = bench.createBench({ maxRunning: 1 });
  bench.offer(agent, 'one');
  bench.offer(agent, 'two');
  const effects = bench.fail(agent, 'one', UNREACHABLE);
  assert.deepEqual(
    bench.listSent(effects, 'notRun').map((notRun) => notRun.code),
    [schema.ResultCode.NO_BACKEND_SERVER, schema.ResultCode.NO_BACKEND_SERVER],
  );
  assert.equal(agent.state.running.size, 0);
  assert.equal(bench.listSent(bench.offer(agent, 'three'), 'notRun').length, 1);
  startEngine(agent);
  assert.deepEqual(bench.listStarted(bench.offer(agent, 'four')), ['four']);
});

nodeTest.test('wasted prefill is counted by its cause', () => {
  const agent = bench.createBench();
  const payload = new Uint8Array(400);
  bench.offer(agent, 'left', { payload, repeatable: true });
  bench.offer(agent, 'failed', { payload });
  bench.offer(agent, 'crashed', { payload });
  const ref = schema.create(schema.AttemptRefSchema, { requestId: 'left', attempt: 1 });
  const cancel = schema.create(schema.CancelSchema, { ref });
  bench.receive(agent, { case: 'cancel', value: cancel });
  const wasted = [
    ...bench.fail(agent, 'left', FAILED),
    ...bench.fail(agent, 'failed', FAILED),
    ...failEngine(agent),
  ];
  const { CANCELLED, FAILED: GAVE_UP, CRASHED: DIED } = effect.WasteCause;
  assert.deepEqual(
    bench.listObserved(wasted, 'wastedPrefill'),
    [CANCELLED, GAVE_UP, DIED].map((cause) => ({ kind: 'wastedPrefill', cause, tokens: 100 })),
  );
});

/** Hands the suspects that one agent sent on to another, as an entry does. */
function passOn(effects: agentEvent.AgentEffect[], agents: bench.Bench[]): void {
  const heard = bench.listSent(effects, 'heartbeat').flatMap((one) => one.suspects);
  const heartbeat = schema.create(schema.EntryHeartbeatSchema, { suspects: heard });
  agents.forEach((agent) => bench.receive(agent, { case: 'heartbeat', value: heartbeat }));
}

/** Sends a crasher to each agent in turn and counts the crashes. */
function countCrashes(isSpread: boolean): number {
  const agents = Array.from({ length: 5 }, () => bench.createBench());
  let crashes = 0;
  Array.from({ length: 30 }).forEach((_, index) => {
    const agent = agents[index % agents.length];
    bench.offer(agent, `innocent-${index}`);
    const poison = bench.offer(agent, `poison-${index}`, { contentDigest: 'poison' });
    const waiting = bench.listSent(poison, 'notRun').length === 0;
    const started = [...poison, ...bench.complete(agent, `innocent-${index}`)];
    if (waiting && bench.listStarted(started).includes(`poison-${index}`)) {
      crashes += 1;
      const news = failEngine(agent);
      startEngine(agent);
      passOn(news, isSpread ? agents : []);
    }
  });
  const innocents = agents.flatMap((agent) => suspects.listSuspects(agent.state.suspects));
  assert.deepEqual(
    innocents.filter((one) => one.contentDigest !== 'poison'),
    [],
  );
  return crashes;
}

nodeTest.test('the bound on the backend servers that one content crashes', () => {
  // A caller sends the same crasher thirty times, each time to the next of five
  // backend servers. Where the news travels faster than the caller sends again,
  // two crash. Where no news travels at all, each crashes twice.
  assert.equal(countCrashes(true), suspects.MAX_CRASHES);
  assert.equal(countCrashes(false), 5 * suspects.MAX_CRASHES);
});
