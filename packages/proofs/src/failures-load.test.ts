import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as processFixture from './mocks/process-fixture.js';

const SLOW = { stepMs: 20 };

/** Builds a number of requests with different prompts. */
function buildRequests(
  prefix: string,
  count: number,
  options: Partial<processFixture.ChatOptions>,
): processFixture.ChatOptions[] {
  return Array.from({ length: count }, (_, index) => ({
    prompt: `${prefix}-${index}`,
    ...options,
  }));
}

/** Asserts that a request got a complete response from a single run. */
function expectCompleteResponse(
  scene: processFixture.ProcessFixture,
  request: processFixture.ChatOptions,
  answer: processFixture.ChatResponse,
): void {
  assert.equal(answer.status, 200, answer.text);
  assert.equal(answer.broken, false);
  assert.equal(processFixture.readWords(answer), processFixture.buildExpectedWords(request));
  assert.equal(processFixture.countStarts(scene, request), 1);
}

// An agent gets SIGTERM while it runs streamed requests and has others queued. Every
// caller gets its complete response: running requests are completed, queued ones are
// placed on another backend server. The process then exits with code 0.
nodeTest.test('SIGTERM to an agent under load', async (context) => {
  const limits = { limits: { maxRunning: 2 } };
  const scene = await processFixture.startProcessFixture({ runners: 2, entries: 1 }, SLOW, limits);
  context.after(() => processFixture.stopProcessFixture(scene));
  const requests = buildRequests('load', 10, { tokens: 30, stream: true });
  const pending = requests.map((one) => processFixture.sendChat(scene.entries[0], one));
  const { agent } = scene.backendServers[0];
  await agent.waitForLine((line) => line.event === 'start');
  agent.child.kill('SIGTERM');

  const answers = await Promise.all(pending);
  answers.forEach((answer, index) => expectCompleteResponse(scene, requests[index], answer));
  assert.equal(await processFixture.waitForExit(agent), 0);
  const after = { prompt: 'after' };
  expectCompleteResponse(scene, after, await processFixture.sendChat(scene.entries[0], after));
});

// An entry gets SIGTERM while its callers wait for streamed responses. They get
// complete responses; new callers are refused. The process then exits with code 0.
nodeTest.test('SIGTERM to an entry under load', async (context) => {
  const scene = await processFixture.startProcessFixture({ runners: 1, entries: 1 }, SLOW);
  context.after(() => processFixture.stopProcessFixture(scene));
  const [entry] = scene.entries;
  const requests = buildRequests('load', 6, { tokens: 40, stream: true });
  const pending = requests.map((one) => processFixture.sendChat(entry, one));
  await Promise.all(requests.map((one) => processFixture.waitForStart(scene, one)));
  entry.child.kill('SIGTERM');

  const answers = await Promise.all(pending);
  answers.forEach((answer, index) => expectCompleteResponse(scene, requests[index], answer));
  assert.equal(await processFixture.waitForExit(entry), 0);
});

// Three times as many requests arrive at once as there is capacity for, most of them
// of the lower tier, and those first. No request of the higher tier is shed. Some of
// the lower tier are; each of these is reported as not run, with a time to retry after,
// and was indeed not run.
nodeTest.test('burst at three times capacity', async (context) => {
  const limits = { limits: { maxRunning: 2, maxQueued: 8, maxWaiting: 8 } };
  const scene = await processFixture.startProcessFixture({ runners: 1, entries: 1 }, SLOW, limits);
  context.after(() => processFixture.stopProcessFixture(scene));
  const drafts = buildRequests('draft', 24, { token: 'band-draft', tokens: 10 });
  const urgent = buildRequests('stall', 6, { tokens: 10 });
  const sendAll = (requests: processFixture.ChatOptions[]) =>
    Promise.all(requests.map((one) => processFixture.sendChat(scene.entries[0], one)));
  const [draftAnswers, urgentAnswers] = await Promise.all([sendAll(drafts), sendAll(urgent)]);

  urgentAnswers.forEach((answer, index) => expectCompleteResponse(scene, urgent[index], answer));
  const shed = draftAnswers.filter((answer) => answer.status !== 200);
  assert.ok(shed.length > 0);
  shed.forEach((answer) => assert.equal(processFixture.readRunState(answer), 'not_run'));
  draftAnswers.forEach((answer, index) => {
    const starts = processFixture.countStarts(scene, drafts[index]);
    assert.equal(starts, answer.status === 200 ? 1 : 0);
  });
});
