import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as processFixture from './mocks/process-fixture.js';

const SLOW = { stepMs: 20 };

/** Makes names for a number of requests. */
function makeRequests(
  prefix: string,
  count: number,
  options: Partial<processFixture.ChatOptions>,
): processFixture.ChatOptions[] {
  return Array.from({ length: count }, (_, index) => ({
    prompt: `${prefix}-${index}`,
    ...options,
  }));
}

/** Asserts that a request was answered whole, from one run. */
function expectWhole(
  scene: processFixture.ProcessFixture,
  request: processFixture.ChatOptions,
  answer: processFixture.ChatAnswer,
): void {
  assert.equal(answer.status, 200, answer.text);
  assert.equal(answer.broken, false);
  assert.equal(processFixture.readWords(answer), processFixture.buildExpectedWords(request));
  assert.equal(processFixture.countStarts(scene, request), 1);
}

// An agent gets SIGTERM while it runs streamed requests and holds others. Every
// caller gets its whole answer: what runs ends undisturbed, what waits is placed
// elsewhere. The process then ends with exit code 0.
nodeTest.test('SIGTERM to an agent under load', async (context) => {
  const limits = { limits: { maxRunning: 2 } };
  const scene = await processFixture.startProcessFixture({ runners: 2, entries: 1 }, SLOW, limits);
  context.after(() => processFixture.stopProcessFixture(scene));
  const requests = makeRequests('load', 10, { tokens: 30, stream: true });
  const pending = requests.map((one) => processFixture.sendChat(scene.entries[0], one));
  const { agent } = scene.backendServers[0];
  await agent.waitForLine((line) => line.event === 'start');
  agent.child.kill('SIGTERM');

  const answers = await Promise.all(pending);
  answers.forEach((answer, index) => expectWhole(scene, requests[index], answer));
  assert.equal(await processFixture.waitForExit(agent), 0);
  const after = { prompt: 'after' };
  expectWhole(scene, after, await processFixture.sendChat(scene.entries[0], after));
});

// An entry gets SIGTERM while its callers wait for streamed answers. They get
// them whole; a new caller is turned away. The process ends with exit code 0.
nodeTest.test('SIGTERM to an entry under load', async (context) => {
  const scene = await processFixture.startProcessFixture({ runners: 1, entries: 1 }, SLOW);
  context.after(() => processFixture.stopProcessFixture(scene));
  const [entry] = scene.entries;
  const requests = makeRequests('load', 6, { tokens: 40, stream: true });
  const pending = requests.map((one) => processFixture.sendChat(entry, one));
  await Promise.all(requests.map((one) => processFixture.waitForStart(scene, one)));
  entry.child.kill('SIGTERM');

  const answers = await Promise.all(pending);
  answers.forEach((answer, index) => expectWhole(scene, requests[index], answer));
  assert.equal(await processFixture.waitForExit(entry), 0);
});

// Three times as many requests come at once as there is room for, most of them
// of the lower tier and first. No urgent caller is turned away; lower ones are,
// and each of those is told that it was not run, when to come back, and was
// indeed not run.
nodeTest.test('burst at three times capacity', async (context) => {
  const limits = { limits: { maxRunning: 2, maxQueued: 8, maxWaiting: 8 } };
  const scene = await processFixture.startProcessFixture({ runners: 1, entries: 1 }, SLOW, limits);
  context.after(() => processFixture.stopProcessFixture(scene));
  const drafts = makeRequests('draft', 24, { token: 'band-draft', tokens: 10 });
  const urgent = makeRequests('stall', 6, { tokens: 10 });
  const sendAll = (requests: processFixture.ChatOptions[]) =>
    Promise.all(requests.map((one) => processFixture.sendChat(scene.entries[0], one)));
  const [draftAnswers, urgentAnswers] = await Promise.all([sendAll(drafts), sendAll(urgent)]);

  urgentAnswers.forEach((answer, index) => expectWhole(scene, urgent[index], answer));
  const shed = draftAnswers.filter((answer) => answer.status !== 200);
  assert.ok(shed.length > 0);
  shed.forEach((answer) => assert.equal(processFixture.readRunState(answer), 'not_run'));
  draftAnswers.forEach((answer, index) => {
    const starts = processFixture.countStarts(scene, drafts[index]);
    assert.equal(starts, answer.status === 200 ? 1 : 0);
  });
});
