import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as undici from 'undici';
import * as standIns from '@toucanproxy/stand-ins';
import * as exampleDocument from './mocks/example-document.js';
import * as processFleet from './mocks/process-fleet.js';

const SERVICE = 'brimwit';

/** Starts a platform, an engine, an agent and an entry, each in its own process. */
async function startAll(fleet: processFleet.ProcessFleet): Promise<string> {
  const platform = await processFleet.startStandIn(fleet, 'platform', {});
  const engine = await processFleet.startStandIn(fleet, 'engine', {});
  const configurationUrl = `http://127.0.0.1:${platform.started.port}`;
  const agent = await processFleet.startDaemon(fleet, 'agent', {
    backendServerId: 'runner-1',
    service: SERVICE,
    failureDomain: 'suva-loft',
    platform: { configurationUrl },
    engineUrl: `http://127.0.0.1:${engine.started.port}`,
  });
  const document = exampleDocument.buildDocument(SERVICE, 1, [
    { id: 'runner-1', address: `127.0.0.1:${agent.started.linkPort}` },
  ]);
  await undici.request(`${configurationUrl}/test/documents/${SERVICE}`, {
    method: 'PUT',
    body: JSON.stringify(document),
  });
  const entry = await processFleet.startDaemon(fleet, 'entry', {
    entryId: 'entry-1',
    failureDomain: 'suva-loft',
    services: [SERVICE],
    platform: { configurationUrl },
  });
  await entry.waitForLine((line) => line.event === 'document');
  return `http://127.0.0.1:${entry.started.callerPort}`;
}

/** Requests a chat completion. */
async function sendChat(baseUrl: string, body: string, token = 'brim-stall') {
  const response = await undici.request(`${baseUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
    body,
  });
  return { status: response.statusCode, text: await response.body.text() };
}

nodeTest.test('end to end through four processes', async (context) => {
  const fleet = processFleet.createFleet();
  context.after(() => processFleet.stopFleet(fleet));
  const baseUrl = await startAll(fleet);

  const plain = JSON.stringify({ model: SERVICE, messages: [], max_tokens: 3 });
  const answer = await sendChat(baseUrl, plain);
  assert.equal(answer.status, 200, answer.text);
  const word = standIns.hashPrompt(plain).slice(0, 8);
  const parsed = JSON.parse(answer.text) as { choices: { message: { content: string } }[] };
  assert.equal(parsed.choices[0].message.content, `${word}-0 ${word}-1 ${word}-2 `);

  const streamed = JSON.stringify({ model: SERVICE, messages: [], max_tokens: 5, stream: true });
  const stream = await sendChat(baseUrl, streamed);
  assert.equal(stream.status, 200);
  const events = stream.text.trim().split('\n\n');
  assert.equal(events.length, 6);
  assert.equal(events.at(-1), 'data: [DONE]');

  const unknown = await sendChat(baseUrl, plain, 'nobody');
  assert.equal(unknown.status, 401);
  assert.match(unknown.text, /"run_state":"not_run"/);
});
