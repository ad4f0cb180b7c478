import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as openai from 'openai';
import * as undici from 'undici';
import * as callerFleet from './mocks/caller-fleet.js';
import * as processFleet from './mocks/process-fleet.js';
import * as rawClient from './mocks/raw-client.js';

const { SERVICE, TOKEN } = callerFleet;
const POLL_MS = 10;
const WAIT_MS = 30_000;
const HEADERS = { authorization: `Bearer ${TOKEN}` };

/** Starts a fleet that ends with its test. */
async function startFleet(
  context: nodeTest.TestContext,
  options: callerFleet.CallerFleetOptions = {},
): Promise<callerFleet.CallerFleet> {
  const running = await callerFleet.startCallerFleet(options);
  context.after(() => processFleet.stopFleet(running.fleet));
  return running;
}

/** Creates a stock client. */
function createClient(running: callerFleet.CallerFleet, apiKey = TOKEN): openai.OpenAI {
  return new openai.OpenAI({ apiKey, baseURL: `${running.baseUrl}/v1` });
}

/** Starts a streamed answer over a raw connection. */
function openStream(running: callerFleet.CallerFleet, maxTokens: number): rawClient.RawClient {
  const body = callerFleet.buildChat({ stream: true, max_tokens: maxTokens });
  const head = `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${TOKEN}`;
  const bytes = `${head}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
  return rawClient.openRawClient(running.port, bytes);
}

/** Waits until a process has ended. */
async function waitForExit(running: processFleet.RunningProcess): Promise<number | null> {
  const { child } = running;
  return (
    child.exitCode ??
    new Promise((resolve) => {
      child.once('exit', resolve);
    })
  );
}

nodeTest.test('stock client: streamed and not', async (context) => {
  const client = createClient(await startFleet(context));
  const messages = [{ role: 'user' as const, content: 'trim' }];
  const whole = await client.chat.completions.create({ model: SERVICE, messages, max_tokens: 4 });
  const words = whole.choices[0].message.content?.trim().split(' ') ?? [];
  assert.deepEqual(
    words.map((word) => word.split('-')[1]),
    ['0', '1', '2', '3'],
  );

  const stream = await client.chat.completions.create({
    model: SERVICE,
    messages,
    max_tokens: 6,
    stream: true,
  });
  const numbers: string[] = [];
  for await (const chunk of stream) {
    numbers.push(String(chunk.choices[0].delta.content).trim().split('-')[1]);
  }
  assert.deepEqual(numbers, ['0', '1', '2', '3', '4', '5']);
});

nodeTest.test('stock client: errors', async (context) => {
  const running = await startFleet(context);
  const request = { model: 'nobody', messages: [] };
  await assert.rejects(createClient(running).chat.completions.create(request), (error) => {
    assert.ok(error instanceof openai.NotFoundError);
    assert.equal((error.error as { code: number }).code, 102);
    return true;
  });
  await assert.rejects(
    createClient(running, 'nobody').chat.completions.create({ ...request, model: SERVICE }),
    openai.AuthenticationError,
  );
});

nodeTest.test('stream that breaks ends with an error event', async (context) => {
  // The engine dies in the middle of a streamed answer of a request that may
  // run once only. The caller has some tokens; the rest cannot come. It must
  // not take what it has for the whole answer.
  const running = await startFleet(context, { engine: { stepMs: 20 } });
  const client = openStream(running, 500);
  await client.waitForText(/data: \{"object"/);
  running.engine.child.kill('SIGKILL');
  const text = await client.waitForClose();
  assert.match(text, /event: error\r?\ndata: \{"error":\{[^\n]*"run_state":"ran"/);
  assert.doesNotMatch(text, /\[DONE\]/);
  assert.doesNotMatch(text, /\r\n0\r\n/);
});

nodeTest.test('stock client: broken stream is an error, sent once', async (context) => {
  const running = await startFleet(context, { engine: { stepMs: 20 } });
  const stream = await createClient(running).chat.completions.create({
    model: SERVICE,
    messages: [],
    max_tokens: 500,
    stream: true,
  });
  await assert.rejects(async () => {
    let count = 0;
    for await (const chunk of stream) {
      count += chunk.choices.length;
      if (count === 2) {
        running.engine.child.kill('SIGKILL');
      }
    }
  }, openai.APIError);
  const starts = running.agent.lines.filter((line) => line.event === 'start');
  assert.equal(starts.length, 1);
});

nodeTest.test('stock client: a run that failed is not sent again', async (context) => {
  // The engine dies while it works on an answer that is not streamed. The
  // library sends again after a 502 by itself, with no key, and the request
  // would run twice; the answer tells it not to.
  const journalFile = path.join(os.tmpdir(), `toucanproxy-journal-${process.pid}`);
  context.after(() => fs.rmSync(journalFile, { force: true }));
  const running = await startFleet(context, { engine: { stepMs: 20, journalFile } });
  const request = { model: SERVICE, messages: [], max_tokens: 500 };
  const answer = createClient(running).chat.completions.create(request);
  const rejected = assert.rejects(answer, (error) => {
    assert.ok(error instanceof openai.InternalServerError);
    assert.equal((error.error as { run_state: string }).run_state, 'ran');
    return true;
  });
  const signal = AbortSignal.timeout(WAIT_MS);
  while (!fs.existsSync(journalFile)) {
    await timers.setTimeout(POLL_MS, undefined, { signal });
  }
  running.engine.child.kill('SIGKILL');
  await rejected;
  const placements = running.entry.lines.filter((line) => line.event === 'placement');
  assert.equal(placements.length, 1);
});

nodeTest.test('plain service: body and content type untouched', async (context) => {
  const running = await startFleet(context, {
    engineKind: 'plain-service',
    document: {
      kind: 'SERVICE_KIND_PLAIN',
      routes: [{ pathPrefix: '/orders', repeat: 'REPEAT_ONCE' }, { pathPrefix: '/missing' }],
    },
  });
  const body = Buffer.from([0, 255, 128, 10, 13, 0]);
  const answer = await undici.request(`${running.baseUrl}/services/${SERVICE}/orders/7?tag=a%20b`, {
    method: 'PUT',
    headers: { ...HEADERS, 'content-type': 'image/x-tag; a="b"' },
    body,
  });
  assert.equal(answer.statusCode, 200);
  assert.equal(answer.headers['content-type'], 'image/x-tag; a="b"');
  assert.deepEqual(Buffer.from(await answer.body.arrayBuffer()), body);
  const missing = await undici.request(`${running.baseUrl}/services/${SERVICE}/missing`, {
    headers: HEADERS,
  });
  assert.equal(missing.statusCode, 404);
  const closed = await undici.request(`${running.baseUrl}/services/${SERVICE}/admin`, {
    headers: HEADERS,
  });
  assert.equal(closed.headers['x-toucanproxy-result'], '111');
});

nodeTest.test('caller that reads nothing is cut off', async (context) => {
  // The caller opens a large answer and reads none of it. The entry would keep
  // the bytes for as long as the connection stays open; after the read timeout
  // it gives the caller up and serves on.
  const size = 6 * 1024 * 1024;
  const running = await startFleet(context, {
    engineKind: 'plain-service',
    document: { kind: 'SERVICE_KIND_PLAIN', routes: [{ pathPrefix: '/' }] },
    entry: { callerLimits: { readTimeoutMs: 300 } },
  });
  const head = `POST /services/${SERVICE}/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${TOKEN}`;
  const bytes = `${head}\r\ncontent-length: ${size}\r\n\r\n${'x'.repeat(size)}`;
  const client = rawClient.openRawClient(running.port, bytes);
  client.socket.pause();
  await running.entry.waitForLine((line) => line.event === 'caller-cut');
  client.socket.resume();
  const text = await client.waitForClose();
  assert.ok(text.length < size);
  assert.doesNotMatch(text.slice(-16), /\r\n0\r\n/);
  const next = await undici.request(`${running.baseUrl}/services/${SERVICE}/x`, {
    headers: HEADERS,
  });
  assert.equal(next.statusCode, 200);
});

nodeTest.test('SIGTERM: entry ends what it holds', async (context) => {
  // A stream is under way when the entry is told to stop. New connections are
  // refused at once, the stream ends whole, then the process ends with 0.
  const running = await startFleet(context, { engine: { stepMs: 20 } });
  const client = openStream(running, 50);
  await client.waitForText(/data: \{"object"/);
  running.entry.child.kill('SIGTERM');
  await running.entry.waitForLine((line) => line.event === 'shutdown');
  await assert.rejects(undici.request(running.baseUrl), /ECONNREFUSED/);
  assert.match(await client.waitForClose(), /data: \[DONE\]\n\n\r\n0\r\nx-toucanproxy-result: 100/);
  assert.equal(await waitForExit(running.entry), 0);
});

nodeTest.test('SIGTERM twice: entry stops at once', async (context) => {
  const running = await startFleet(context, { engine: { stepMs: 20 } });
  const client = openStream(running, 2000);
  await client.waitForText(/data: \{"object"/);
  running.entry.child.kill('SIGTERM');
  await running.entry.waitForLine((line) => line.event === 'shutdown');
  running.entry.child.kill('SIGTERM');
  assert.doesNotMatch(await client.waitForClose(), /\[DONE\]/);
  assert.equal(await waitForExit(running.entry), 130);
});

nodeTest.test('log level follows the document', async (context) => {
  const running = await startFleet(context);
  await running.publish({ version: 2, logLevel: 'LOG_LEVEL_ERROR' });
  await running.publish({ version: 3, logLevel: 'LOG_LEVEL_ERROR' });
  await running.publish({ version: 4, logLevel: 'LOG_LEVEL_INFO' });
  await running.entry.waitForLine((line) => line.event === 'document' && line.version === 4);
  const versions = running.entry.lines.flatMap((line) =>
    line.event === 'document' ? [line.version] : [],
  );
  assert.ok(!versions.includes(2) && !versions.includes(3));
});
