import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as standIns from '@toucanproxy/stand-ins';
import * as processFixture from './mocks/process-fixture.js';

const MAX_CRASHES = 2;
const MAX_RESENDS = 6;

// A request crashes each engine that runs it, and its caller resends it through
// the other entry each time. After two crashes its content is refused everywhere
// and reported as not run; the other backend servers continue to serve.
nodeTest.test('poison request resent through two entries', async (context) => {
  const fixture = await processFixture.createProcessFixture();
  context.after(() => processFixture.stopProcessFixture(fixture));
  const digestKeyFile = path.join(fixture.fleet.folder, 'digest-key');
  fs.writeFileSync(digestKeyFile, 'a key for tests');
  while (fixture.backendServers.length < MAX_CRASHES + 2) {
    await processFixture.addBackendServer(fixture);
  }
  processFixture.publishNext(fixture);
  const entries = [
    await processFixture.addEntry(fixture, fixture.platform, { digestKeyFile }),
    await processFixture.addEntry(fixture, fixture.platform, { digestKeyFile }),
  ];
  const poison = { prompt: standIns.CRASH_MARK, timeoutMs: 5000 };
  const responses: processFixture.ChatResponse[] = [];
  while (responses.length < MAX_RESENDS && responses.at(-1)?.status !== 422) {
    responses.push(await processFixture.sendChat(entries[responses.length % 2], poison));
  }

  const runStates = responses.map((response) => processFixture.readRunState(response));
  assert.equal(responses.at(-1)?.status, 422, JSON.stringify(responses));
  assert.equal(
    runStates.filter((state) => state !== 'not_run').length,
    MAX_CRASHES,
    runStates.join(),
  );
  assert.equal(processFixture.countStarts(fixture, poison), MAX_CRASHES);
  const other = { prompt: 'harmless' };
  const response = await processFixture.sendChat(entries[0], other);
  assert.equal(processFixture.readWords(response), processFixture.buildExpectedWords(other));
});
