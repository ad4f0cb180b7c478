import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as standIns from '@toucanproxy/stand-ins';
import * as exampleDocument from './mocks/example-document.js';
import * as processFleet from './mocks/process-fleet.js';
import * as processFixture from './mocks/process-fixture.js';

const NEW_TOKEN = 'band-stall';
const WITH_NEW_TOKEN = {
  credentials: [
    {
      tokenSha256: exampleDocument.hashToken('brim-stall'),
      workspace: 'brim',
      tier: 'stall',
    },
    { tokenSha256: exampleDocument.hashToken(NEW_TOKEN), workspace: 'band', tier: 'stall' },
  ],
};

/** Lists the versions that a process has taken, in order. */
function listVersions(running: processFleet.RunningProcess): number[] {
  return running.lines
    .filter((line) => line.event === 'document')
    .map((line) => line.version as number);
}

/** Two calls that bring nothing new pause for up to 20 s each; half as long again, milliseconds. */
const TWO_READS_MS = 60_000;

/** Waits until a process has taken a version. */
function waitForVersion(
  running: processFleet.RunningProcess,
  version: number,
): Promise<processFleet.LogLine> {
  return running.waitForLine((line) => line.event === 'document' && line.version === version);
}

type OldService = { port: number; setOutage: (out: boolean) => void; countReads: () => number };

/** Starts a configuration service that answers every call with one old document. */
async function startOldService(context: nodeTest.TestContext, json: string): Promise<OldService> {
  let out = false;
  let reads = 0;
  const server = http.createServer((_request, response) => {
    if (out) {
      response.writeHead(503).end();
      return;
    }
    reads += 1;
    response.end(json);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => server.close());
  return {
    port: (server.address() as net.AddressInfo).port,
    setOutage: (value) => {
      out = value;
    },
    countReads: () => reads,
  };
}

// An entry's configuration service is out, and later answers with an older
// document. The entry learns a new credential from the agents all the same, its
// callers get their answers, and the older document never comes back into force.
nodeTest.test('configuration out, then older', async (context) => {
  const scene = await processFixture.createProcessFixture();
  context.after(() => processFixture.stopProcessFixture(scene));
  await processFixture.addBackendServer(scene);
  const first = JSON.stringify(processFixture.buildNextDocument(scene));
  scene.platform.publish(processFixture.SERVICE, first);
  const service = await startOldService(context, first);
  const entry = await processFixture.addEntry(scene, service);

  service.setOutage(true);
  processFixture.publishNext(scene, WITH_NEW_TOKEN);
  await waitForVersion(entry, 2);
  const request = { prompt: 'new token', token: NEW_TOKEN };
  const during = await processFixture.sendChat(entry, request);
  assert.equal(during.status, 200, during.text);

  service.setOutage(false);
  const reads = service.countReads();
  const hasReadTwice = () => service.countReads() > reads + 1;
  await processFixture.waitUntil('reads of the old one', hasReadTwice, TWO_READS_MS);
  const after = { prompt: 'still new', token: NEW_TOKEN };
  assert.equal((await processFixture.sendChat(entry, after)).status, 200);
  assert.deepEqual(listVersions(entry), [1, 2]);
});

// Two operators publish at the same time, each to its own replica of the
// service, the higher version in the one and the lower in the other. Every
// process ends on the higher one, whichever it read first, and none goes back.
nodeTest.test("two operators' documents racing", async (context) => {
  const scene = await processFixture.createProcessFixture();
  context.after(() => processFixture.stopProcessFixture(scene));
  const runner = await processFixture.addBackendServer(scene);
  const platform = await standIns.startPlatform();
  context.after(() => platform.stop());
  const first = JSON.stringify(processFixture.buildNextDocument(scene));
  scene.platform.publish(processFixture.SERVICE, first);
  platform.publish(processFixture.SERVICE, first);
  const near = await processFixture.addEntry(scene);
  const far = await processFixture.addEntry(scene, platform);
  const processes = [runner.agent, near, far];
  await Promise.all(processes.map((one) => waitForVersion(one, 1)));

  const lower = JSON.stringify(processFixture.buildNextDocument(scene));
  const higher = JSON.stringify(processFixture.buildNextDocument(scene, WITH_NEW_TOKEN));
  platform.publish(processFixture.SERVICE, higher);
  scene.platform.publish(processFixture.SERVICE, lower);
  await Promise.all(processes.map((one) => waitForVersion(one, 3)));

  const request = { prompt: 'new token', token: NEW_TOKEN };
  assert.equal((await processFixture.sendChat(near, request)).status, 200);
  assert.equal((await processFixture.sendChat(far, request)).status, 200);
  processes.forEach((one) => {
    const versions = listVersions(one);
    assert.deepEqual(versions, [...versions].sort());
    assert.equal(versions.at(-1), 3);
  });
});
