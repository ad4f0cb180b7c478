import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as processScene from './mocks/process-scene.js';

const SLOW = { stepMs: 20 };

/** Builds a number of requests with different prompts. */
function buildRequests(
  prefix: string,
  count: number,
  options: Partial<processScene.ChatOptions>,
): processScene.ChatOptions[] {
  return Array.from({ length: count }, (_, index) => ({
    prompt: `${prefix}-${index}`,
    ...options,
  }));
}

/** Asserts that a request got a complete response from a single run. */
function expectCompleteResponse(
  scene: processScene.Scene,
  request: processScene.ChatOptions,
  answer: processScene.ChatResponse,
): void {
  assert.equal(answer.status, 200, answer.text);
  assert.equal(answer.broken, false);
  assert.equal(processScene.readWords(answer), processScene.buildExpectedWords(request));
  assert.equal(processScene.countStarts(scene, request), 1);
}

// An agent gets SIGTERM while it runs streamed requests and has others queued. Every
// caller gets its complete response: running requests are completed, queued ones are
// placed on another backend server. The process then exits with code 0.
nodeTest.test('SIGTERM to an agent under load', async (context) => {
  const limits = { limits: { maxRunning: 2 } };
  const scene = await processScene.startScene({ runners: 2, entries: 1 }, SLOW, limits);
  context.after(() => processScene.stopScene(scene));
  const requests = buildRequests('load', 10, { tokens: 30, stream: true });
  const pending = requests.map((one) => processScene.sendChat(scene.entries[0], one));
  const { agent } = scene.runners[0];
  await agent.waitForLine((line) => line.event === 'start');
  agent.child.kill('SIGTERM');

  const answers = await Promise.all(pending);
  answers.forEach((answer, index) => expectCompleteResponse(scene, requests[index], answer));
  assert.equal(await processScene.waitForExit(agent), 0);
  const after = { prompt: 'after' };
  expectCompleteResponse(scene, after, await processScene.sendChat(scene.entries[0], after));
});

// An entry gets SIGTERM while its callers wait for streamed responses. They get
// complete responses; new callers are refused. The process then exits with code 0.
nodeTest.test('SIGTERM to an entry under load', async (context) => {
  const scene = await processScene.startScene({ runners: 1, entries: 1 }, SLOW);
  context.after(() => processScene.stopScene(scene));
  const [entry] = scene.entries;
  const requests = buildRequests('load', 6, { tokens: 40, stream: true });
  const pending = requests.map((one) => processScene.sendChat(entry, one));
  await Promise.all(requests.map((one) => processScene.waitForStart(scene, one)));
  entry.child.kill('SIGTERM');

  const answers = await Promise.all(pending);
  answers.forEach((answer, index) => expectCompleteResponse(scene, requests[index], answer));
  assert.equal(await processScene.waitForExit(entry), 0);
});

// Three times as many requests arrive at once as there is capacity for, most of them
// of the lower tier, and those first. No request of the higher tier is shed. Some of
// the lower tier are; each of these is reported as not run, with a time to retry after,
// and was indeed not run.
nodeTest.test('burst at three times capacity', async (context) => {
  const limits = { limits: { maxRunning: 2, maxQueued: 8, maxWaiting: 8 } };
  const scene = await processScene.startScene({ runners: 1, entries: 1 }, SLOW, limits);
  context.after(() => processScene.stopScene(scene));
  const drafts = buildRequests('draft', 24, { token: 'band-draft', tokens: 10 });
  const urgent = buildRequests('stall', 6, { tokens: 10 });
  const sendAll = (requests: processScene.ChatOptions[]) =>
    Promise.all(requests.map((one) => processScene.sendChat(scene.entries[0], one)));
  const [draftAnswers, urgentAnswers] = await Promise.all([sendAll(drafts), sendAll(urgent)]);

  urgentAnswers.forEach((answer, index) => expectCompleteResponse(scene, urgent[index], answer));
  const shed = draftAnswers.filter((answer) => answer.status !== 200);
  assert.ok(shed.length > 0);
  shed.forEach((answer) => assert.equal(processScene.readRunState(answer), 'not_run'));
  draftAnswers.forEach((answer, index) => {
    const starts = processScene.countStarts(scene, drafts[index]);
    assert.equal(starts, answer.status === 200 ? 1 : 0);
  });
});
