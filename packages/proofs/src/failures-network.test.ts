import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as standIns from '@toucanproxy/stand-ins';
import * as forwarder from './mocks/forwarder.js';
import * as processFixture from './mocks/process-fixture.js';

const SLOW = { stepMs: 20 };

/** Starts a forwarder before an agent and gives documents its address. */
async function addForwarder(runner: processFixture.Runner): Promise<forwarder.Forwarder> {
  const forward = await forwarder.startForwarder(runner.agent.started.linkPort as number);
  runner.address = `127.0.0.1:${forward.port}`;
  return forward;
}

// The connection between entry and agent goes silent in the middle of a streamed
// answer: bytes vanish and neither end is told. The caller gets the whole answer
// all the same, over a new connection, and the engine runs the request once.
nodeTest.test('connection gone silent', async (context) => {
  const scene = await processFixture.createProcessFixture();
  context.after(() => processFixture.stopProcessFixture(scene));
  const forward = await addForwarder(await processFixture.addBackendServer(scene, SLOW));
  context.after(() => forward.stop());
  processFixture.publishNext(scene);
  const entry = await processFixture.addEntry(scene);
  const request = { prompt: 'silent', tokens: 60, stream: true };
  const pending = processFixture.sendChat(entry, request);
  await processFixture.waitForStart(scene, request);
  const before = forward.countConnections();
  forward.blackhole();

  const answer = await pending;
  assert.equal(answer.status, 200);
  assert.equal(processFixture.readWords(answer), processFixture.buildExpectedWords(request));
  assert.ok(answer.text.endsWith('data: [DONE]\n\n'));
  assert.ok(forward.countConnections() > before);
  assert.equal(processFixture.countStarts(scene, request), 1);
});

// One of two entries is cut off from the backend server while both go on. Its
// caller is told that the request may have run, or that it was not run, and the
// engine's journal bears that out. The other entry serves all the while, and the
// first one again once the partition has ended and its link is back; until then
// it says at once that the request was not run.
nodeTest.test('partition between entries', async (context) => {
  const scene = await processFixture.createProcessFixture();
  context.after(() => processFixture.stopProcessFixture(scene));
  const runner = await processFixture.addBackendServer(scene, SLOW);
  const direct = runner.address;
  processFixture.publishNext(scene);
  const near = await processFixture.addEntry(scene);
  // The cut-off entry reads a document that gives the forwarder's address.
  const forward = await addForwarder(runner);
  context.after(() => forward.stop());
  const platform = await standIns.startPlatform();
  context.after(() => platform.stop());
  scene.version -= 1;
  platform.publish(processFixture.SERVICE, JSON.stringify(processFixture.buildNextDocument(scene)));
  const far = await processFixture.addEntry(scene, platform);
  runner.address = direct;
  const warm = { prompt: 'warm' };
  assert.equal((await processFixture.sendChat(far, warm)).status, 200);

  forward.block();
  const cut = { prompt: 'cut', timeoutMs: 3000 };
  const reachable = { prompt: 'reachable', tokens: 20 };
  const [answer, other] = await Promise.all([
    processFixture.sendChat(far, cut),
    processFixture.sendChat(near, reachable),
  ]);
  assert.equal(processFixture.readWords(other), processFixture.buildExpectedWords(reachable));
  const told = processFixture.readRunState(answer);
  assert.ok(['not_run', 'may_have_run'].includes(told), answer.text);

  forward.unblock();
  const healed = { prompt: 'healed' };
  const later = await processFixture.sendUntilServed(far, healed);
  assert.equal(processFixture.readWords(later), processFixture.buildExpectedWords(healed));
  assert.equal(processFixture.countStarts(scene, healed), 1);
  const starts = processFixture.countStarts(scene, cut);
  assert.ok(told === 'not_run' ? starts === 0 : starts <= 1);
});
