import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as standIns from '@toucanproxy/stand-ins';
import * as forwarder from './mocks/forwarder.js';
import * as processScene from './mocks/process-scene.js';

const SLOW = { stepMs: 20 };

/** Starts a forwarder before an agent and gives documents its address. */
async function addForwarder(runner: processScene.Runner): Promise<forwarder.Forwarder> {
  const forward = await forwarder.startForwarder(runner.agent.started.linkPort as number);
  runner.address = `127.0.0.1:${forward.port}`;
  return forward;
}

// The connection between entry and agent goes silent in the middle of a streamed
// answer: bytes vanish and neither end is told. The caller gets the whole answer
// all the same, over a new connection, and the engine runs the request once.
nodeTest.test('connection gone silent', async (context) => {
  const scene = await processScene.createScene();
  context.after(() => processScene.stopScene(scene));
  const forward = await addForwarder(await processScene.addRunner(scene, SLOW));
  context.after(() => forward.stop());
  processScene.publishNext(scene);
  const entry = await processScene.addEntry(scene);
  const request = { prompt: 'silent', tokens: 60, stream: true };
  const pending = processScene.sendChat(entry, request);
  await processScene.waitForStart(scene, request);
  const before = forward.countConnections();
  forward.silence();

  const answer = await pending;
  assert.equal(answer.status, 200);
  assert.equal(processScene.readWords(answer), processScene.buildExpectedWords(request));
  assert.ok(answer.text.endsWith('data: [DONE]\n\n'));
  assert.ok(forward.countConnections() > before);
  assert.equal(processScene.countStarts(scene, request), 1);
});

// One of two entries is cut off from the backend server while both go on. Its
// caller is told that the request may have run, or that it was not run, and the
// engine's journal bears that out. The other entry serves all the while, and the
// first one again once the partition has ended and its link is back; until then
// it says at once that the request was not run.
nodeTest.test('partition between entries', async (context) => {
  const scene = await processScene.createScene();
  context.after(() => processScene.stopScene(scene));
  const runner = await processScene.addRunner(scene, SLOW);
  const direct = runner.address;
  processScene.publishNext(scene);
  const near = await processScene.addEntry(scene);
  // The cut-off entry reads a document that gives the forwarder's address.
  const forward = await addForwarder(runner);
  context.after(() => forward.stop());
  const platform = await standIns.startPlatform();
  context.after(() => platform.stop());
  scene.version -= 1;
  platform.publish(processScene.SERVICE, JSON.stringify(processScene.buildNextDocument(scene)));
  const far = await processScene.addEntry(scene, platform);
  runner.address = direct;
  const warm = { prompt: 'warm' };
  assert.equal((await processScene.sendChat(far, warm)).status, 200);

  forward.block();
  const cut = { prompt: 'cut', timeoutMs: 3000 };
  const reachable = { prompt: 'reachable', tokens: 20 };
  const [answer, other] = await Promise.all([
    processScene.sendChat(far, cut),
    processScene.sendChat(near, reachable),
  ]);
  assert.equal(processScene.readWords(other), processScene.buildExpectedWords(reachable));
  const told = processScene.readRunState(answer);
  assert.ok(['not_run', 'may_have_run'].includes(told), answer.text);

  forward.unblock();
  const healed = { prompt: 'healed' };
  const later = await processScene.sendUntilServed(far, healed);
  assert.equal(processScene.readWords(later), processScene.buildExpectedWords(healed));
  assert.equal(processScene.countStarts(scene, healed), 1);
  const starts = processScene.countStarts(scene, cut);
  assert.ok(told === 'not_run' ? starts === 0 : starts <= 1);
});
