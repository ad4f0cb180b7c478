import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as standIns from '@toucanproxy/stand-ins';
import * as processFixture from './mocks/process-fixture.js';

const MAX_CRASHES = 2;
const MAX_RESENDS = 6;

// A request crashes each engine that runs it, and its caller sends it again
// through the other entry each time. After two crashes its content is refused
// everywhere, and told as not run; the other backend servers go on serving.
nodeTest.test('poison resent through two entries', async (context) => {
  const scene = await processFixture.createProcessFixture();
  context.after(() => processFixture.stopProcessFixture(scene));
  const digestKeyFile = path.join(scene.fleet.folder, 'digest-key');
  fs.writeFileSync(digestKeyFile, 'a key for tests');
  while (scene.backendServers.length < MAX_CRASHES + 2) {
    await processFixture.addBackendServer(scene);
  }
  processFixture.publishNext(scene);
  const entries = [
    await processFixture.addEntry(scene, scene.platform, { digestKeyFile }),
    await processFixture.addEntry(scene, scene.platform, { digestKeyFile }),
  ];
  const poison = { prompt: standIns.CRASH_MARK, timeoutMs: 5000 };
  const answers: processFixture.ChatAnswer[] = [];
  while (answers.length < MAX_RESENDS && answers.at(-1)?.status !== 422) {
    answers.push(await processFixture.sendChat(entries[answers.length % 2], poison));
  }

  const told = answers.map((answer) => processFixture.readRunState(answer));
  assert.equal(answers.at(-1)?.status, 422, JSON.stringify(answers));
  assert.equal(told.filter((state) => state !== 'not_run').length, MAX_CRASHES, told.join());
  assert.equal(processFixture.countStarts(scene, poison), MAX_CRASHES);
  const other = { prompt: 'harmless' };
  const answer = await processFixture.sendChat(entries[0], other);
  assert.equal(processFixture.readWords(answer), processFixture.buildExpectedWords(other));
});
