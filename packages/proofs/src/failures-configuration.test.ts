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

/** Lists the document versions that a process has applied, in order. */
function listVersions(running: processFleet.RunningProcess): number[] {
  return running.lines
    .filter((line) => line.event === 'document')
    .map((line) => line.version as number);
}

/**
 * Time limit for two reads, milliseconds. After each read that returns nothing new comes a
 * pause of up to 20 s; half as much time again is added.
 */
const TWO_READS_MS = 60_000;

/** Waits until a process has applied a document version. */
function waitForVersion(
  running: processFleet.RunningProcess,
  version: number,
): Promise<processFleet.LogLine> {
  return running.waitForLine((line) => line.event === 'document' && line.version === version);
}

type StaleService = { port: number; setOutage: (out: boolean) => void; countReads: () => number };

/** Starts a configuration service that answers every call with one outdated document. */
async function startStaleService(
  context: nodeTest.TestContext,
  json: string,
): Promise<StaleService> {
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

// An entry's configuration service is unavailable, and later answers with an older
// document. The entry still learns a new credential from the agents and serves its
// callers, and the older document never becomes active again.
nodeTest.test('configuration service unavailable, then outdated', async (context) => {
  const fixture = await processFixture.createProcessFixture();
  context.after(() => processFixture.stopProcessFixture(fixture));
  await processFixture.addBackendServer(fixture);
  const first = JSON.stringify(processFixture.buildNextDocument(fixture));
  fixture.platform.publish(processFixture.SERVICE, first);
  const service = await startStaleService(context, first);
  const entry = await processFixture.addEntry(fixture, service);

  service.setOutage(true);
  processFixture.publishNext(fixture, WITH_NEW_TOKEN);
  await waitForVersion(entry, 2);
  const request = { prompt: 'new token', token: NEW_TOKEN };
  const during = await processFixture.sendChat(entry, request);
  assert.equal(during.status, 200, during.text);

  service.setOutage(false);
  const reads = service.countReads();
  const hasReadTwice = () => service.countReads() > reads + 1;
  await processFixture.waitUntil('two reads of the outdated document', hasReadTwice, TWO_READS_MS);
  const after = { prompt: 'still new', token: NEW_TOKEN };
  assert.equal((await processFixture.sendChat(entry, after)).status, 200);
  assert.deepEqual(listVersions(entry), [1, 2]);
});

// Two operators publish at the same time, each to a different replica of the
// service: one the higher version, the other the lower. Every process ends with
// the higher version, whichever it read first, and none returns to a lower one.
nodeTest.test('two operators publish at the same time', async (context) => {
  const fixture = await processFixture.createProcessFixture();
  context.after(() => processFixture.stopProcessFixture(fixture));
  const backendServer = await processFixture.addBackendServer(fixture);
  const platform = await standIns.startPlatform();
  context.after(() => platform.stop());
  const first = JSON.stringify(processFixture.buildNextDocument(fixture));
  fixture.platform.publish(processFixture.SERVICE, first);
  platform.publish(processFixture.SERVICE, first);
  const near = await processFixture.addEntry(fixture);
  const far = await processFixture.addEntry(fixture, platform);
  const processes = [backendServer.agent, near, far];
  await Promise.all(processes.map((one) => waitForVersion(one, 1)));

  const lower = JSON.stringify(processFixture.buildNextDocument(fixture));
  const higher = JSON.stringify(processFixture.buildNextDocument(fixture, WITH_NEW_TOKEN));
  platform.publish(processFixture.SERVICE, higher);
  fixture.platform.publish(processFixture.SERVICE, lower);
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
