import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as standIns from '@toucanproxy/stand-ins';
import * as forwarder from './mocks/forwarder.js';
import * as processFixture from './mocks/process-fixture.js';

const SLOW = { stepMs: 20 };

/** Starts a forwarder in front of an agent; later documents give its address for the agent. */
async function addForwarder(
  backendServer: processFixture.TestBackendServer,
): Promise<forwarder.Forwarder> {
  const forward = await forwarder.startForwarder(backendServer.agent.started.linkPort as number);
  backendServer.address = `127.0.0.1:${forward.port}`;
  return forward;
}

// The connection between entry and agent goes silent during a streamed response:
// bytes are lost and neither end is notified. The caller still gets the complete
// response, over a new connection, and the engine runs the request once.
nodeTest.test('connection goes silent', async (context) => {
  const fixture = await processFixture.createProcessFixture();
  context.after(() => processFixture.stopProcessFixture(fixture));
  const forward = await addForwarder(await processFixture.addBackendServer(fixture, SLOW));
  context.after(() => forward.stop());
  processFixture.publishNext(fixture);
  const entry = await processFixture.addEntry(fixture);
  const request = { prompt: 'silent', tokens: 60, stream: true };
  const pending = processFixture.sendChat(entry, request);
  await processFixture.waitForStart(fixture, request);
  const before = forward.countConnections();
  forward.blackhole();

  const response = await pending;
  assert.equal(response.status, 200);
  assert.equal(processFixture.readWords(response), processFixture.buildExpectedWords(request));
  assert.ok(response.text.endsWith('data: [DONE]\n\n'));
  assert.ok(forward.countConnections() > before);
  assert.equal(processFixture.countStarts(fixture, request), 1);
});

// One of two entries is partitioned from the backend server while both keep running.
// Its caller is told that the request may have run, or that it was not run, and the
// engine's journal confirms it. The other entry serves throughout. The first one
// serves again after the partition, once its link is restored; until then it reports
// at once that requests were not run.
nodeTest.test('one entry partitioned from the backend server', async (context) => {
  const fixture = await processFixture.createProcessFixture();
  context.after(() => processFixture.stopProcessFixture(fixture));
  const backendServer = await processFixture.addBackendServer(fixture, SLOW);
  const direct = backendServer.address;
  processFixture.publishNext(fixture);
  const near = await processFixture.addEntry(fixture);
  // The entry that will be partitioned reads a document with the forwarder's address.
  const forward = await addForwarder(backendServer);
  context.after(() => forward.stop());
  const platform = await standIns.startPlatform();
  context.after(() => platform.stop());
  fixture.version -= 1;
  platform.publish(
    processFixture.SERVICE,
    JSON.stringify(processFixture.buildNextDocument(fixture)),
  );
  const far = await processFixture.addEntry(fixture, platform);
  backendServer.address = direct;
  const warm = { prompt: 'warm' };
  assert.equal((await processFixture.sendChat(far, warm)).status, 200);

  forward.block();
  const cut = { prompt: 'cut', timeoutMs: 3000 };
  const reachable = { prompt: 'reachable', tokens: 20 };
  const [response, other] = await Promise.all([
    processFixture.sendChat(far, cut),
    processFixture.sendChat(near, reachable),
  ]);
  assert.equal(processFixture.readWords(other), processFixture.buildExpectedWords(reachable));
  const runState = processFixture.readRunState(response);
  assert.ok(['not_run', 'may_have_run'].includes(runState), response.text);

  forward.unblock();
  const healed = { prompt: 'healed' };
  const later = await processFixture.sendUntilServed(far, healed);
  assert.equal(processFixture.readWords(later), processFixture.buildExpectedWords(healed));
  assert.equal(processFixture.countStarts(fixture, healed), 1);
  const starts = processFixture.countStarts(fixture, cut);
  assert.ok(runState === 'not_run' ? starts === 0 : starts <= 1);
});
