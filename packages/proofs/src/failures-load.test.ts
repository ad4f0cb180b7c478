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
  fixture: processFixture.ProcessFixture,
  request: processFixture.ChatOptions,
  response: processFixture.ChatResponse,
): void {
  assert.equal(response.status, 200, response.text);
  assert.equal(response.broken, false);
  assert.equal(processFixture.readWords(response), processFixture.buildExpectedWords(request));
  assert.equal(processFixture.countStarts(fixture, request), 1);
}

// An agent gets SIGTERM while it runs streamed requests and has others queued. Every
// caller gets its complete response: running requests are completed, queued ones are
// placed on another backend server. The process then exits with code 0.
nodeTest.test('SIGTERM to an agent under load', async (context) => {
  const limits = { limits: { maxRunning: 2 } };
  const fixture = await processFixture.startProcessFixture(
    { backendServers: 2, entries: 1 },
    SLOW,
    limits,
  );
  context.after(() => processFixture.stopProcessFixture(fixture));
  const requests = buildRequests('load', 10, { tokens: 30, stream: true });
  const pending = requests.map((one) => processFixture.sendChat(fixture.entries[0], one));
  const { agent } = fixture.backendServers[0];
  await agent.waitForLine((line) => line.event === 'start');
  agent.child.kill('SIGTERM');

  const responses = await Promise.all(pending);
  responses.forEach((response, index) =>
    expectCompleteResponse(fixture, requests[index], response),
  );
  assert.equal(await processFixture.waitForExit(agent), 0);
  const after = { prompt: 'after' };
  expectCompleteResponse(fixture, after, await processFixture.sendChat(fixture.entries[0], after));
});

// An entry gets SIGTERM while its callers wait for streamed responses. They get
// complete responses; new callers are refused. The process then exits with code 0.
nodeTest.test('SIGTERM to an entry under load', async (context) => {
  const fixture = await processFixture.startProcessFixture({ backendServers: 1, entries: 1 }, SLOW);
  context.after(() => processFixture.stopProcessFixture(fixture));
  const [entry] = fixture.entries;
  const requests = buildRequests('load', 6, { tokens: 40, stream: true });
  const pending = requests.map((one) => processFixture.sendChat(entry, one));
  await Promise.all(requests.map((one) => processFixture.waitForStart(fixture, one)));
  entry.child.kill('SIGTERM');

  const responses = await Promise.all(pending);
  responses.forEach((response, index) =>
    expectCompleteResponse(fixture, requests[index], response),
  );
  assert.equal(await processFixture.waitForExit(entry), 0);
});

// Three times as many requests arrive at once as there is capacity for, most of them
// of the lower tier, and those first. No request of the higher tier is shed. Some of
// the lower tier are; each of these is reported as not run, with a time to retry after,
// and was indeed not run.
nodeTest.test('burst at three times capacity', async (context) => {
  const limits = { limits: { maxRunning: 2, maxQueued: 8, maxWaiting: 8 } };
  const fixture = await processFixture.startProcessFixture(
    { backendServers: 1, entries: 1 },
    SLOW,
    limits,
  );
  context.after(() => processFixture.stopProcessFixture(fixture));
  const drafts = buildRequests('draft', 24, { token: 'band-draft', tokens: 10 });
  const urgent = buildRequests('stall', 6, { tokens: 10 });
  const sendAll = (requests: processFixture.ChatOptions[]) =>
    Promise.all(requests.map((one) => processFixture.sendChat(fixture.entries[0], one)));
  const [draftResponses, urgentResponses] = await Promise.all([sendAll(drafts), sendAll(urgent)]);

  urgentResponses.forEach((response, index) =>
    expectCompleteResponse(fixture, urgent[index], response),
  );
  const shed = draftResponses.filter((response) => response.status !== 200);
  assert.ok(shed.length > 0);
  shed.forEach((response) => assert.equal(processFixture.readRunState(response), 'not_run'));
  draftResponses.forEach((response, index) => {
    const starts = processFixture.countStarts(fixture, drafts[index]);
    assert.equal(starts, response.status === 200 ? 1 : 0);
  });
});
