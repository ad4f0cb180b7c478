import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as undici from 'undici';
import * as callerFleet from './mocks/caller-fleet.js';
import * as processFleet from './mocks/process-fleet.js';
import * as rawClient from './mocks/raw-client.js';

const MAX_BODY_BYTES = 4096;
const CHAT = '/v1/chat/completions';
const AUTHORIZATION = `Bearer ${callerFleet.TOKEN}`;
const HEAD = `POST ${CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: ${AUTHORIZATION}\r\n`;

let running: callerFleet.CallerFleet;

nodeTest.before(async () => {
  running = await callerFleet.startCallerFleet({
    document: { limits: { maxBodyBytes: MAX_BODY_BYTES } },
    entry: {
      callerLimits: { headersTimeoutMs: 500, bodyTimeoutMs: 1000, maxPipelined: 4 },
    },
  });
});
nodeTest.after(() => processFleet.stopFleet(running.fleet));

type Call = { path?: string; headers?: Record<string, string>; body?: string; method?: string };

/** Sends one call and reads the complete response. */
async function send(call: Call) {
  const response = await undici.request(`${running.baseUrl}${call.path ?? CHAT}`, {
    method: (call.method ?? 'POST') as 'POST',
    headers: { authorization: AUTHORIZATION, ...call.headers },
    body: call.body ?? callerFleet.buildChat(),
  });
  return {
    status: response.statusCode,
    headers: response.headers,
    text: await response.body.text(),
  };
}

/** Asserts that the entry still serves requests. */
async function assertServing() {
  const answer = await send({});
  assert.equal(answer.status, 200, answer.text);
  assert.equal(answer.headers['x-toucanproxy-result'], '100');
  assert.match(String(answer.headers['x-request-id']), /^entry-1-/);
}

const BAD_CALLS: Record<string, [call: Call, status: number, code: number]> = {
  'malformed JSON': [{ body: '{"model":' }, 400, 101],
  'no model': [{ body: '{}' }, 400, 101],
  'body that is no object': [{ body: '"brimwit"' }, 400, 101],
  'unknown model': [{ body: '{"model":"nobody"}' }, 404, 102],
  'unknown service': [{ path: '/services/nobody/x' }, 404, 102],
  'wrong token': [{ headers: { authorization: 'Bearer nobody' } }, 401, 103],
  'no token': [{ headers: { authorization: '' } }, 401, 103],
  'oversize body': [{ body: 'x'.repeat(MAX_BODY_BYTES + 1) }, 413, 104],
  'oversize header': [{ headers: { 'x-long': 'x'.repeat(20_000) } }, 431, 105],
  'deadline in words': [{ headers: { 'x-request-timeout-ms': 'soon' } }, 400, 107],
  'deadline of zero': [{ headers: { 'x-request-timeout-ms': '0' } }, 400, 107],
  'key too long': [{ headers: { 'idempotency-key': 'k'.repeat(256) } }, 400, 108],
  'unknown path': [{ path: '/v1/embeddings' }, 404, 111],
  'wrong method': [{ method: 'PUT' }, 404, 111],
  'path to another host': [{ path: '/services/brimwit//127.0.0.1:1/v1/completions' }, 400, 101],
};

Object.entries(BAD_CALLS).forEach(([name, [call, status, code]]) => {
  nodeTest.test(`bad call: ${name}`, async () => {
    const answer = await send(call);
    assert.equal(answer.status, status, answer.text);
    assert.equal(answer.headers['x-toucanproxy-result'], String(code));
    const { error } = JSON.parse(answer.text) as { error: { code: number; run_state: string } };
    assert.equal(error.code, code);
    assert.equal(error.run_state, 'not_run');
    await assertServing();
  });
});

const BAD_BYTES: Record<string, [bytes: string, answer: RegExp]> = {
  'not HTTP': ['hello there\r\n\r\n', /^HTTP\/1.1 400 [^]*"code":101/],
  'chunk size that is no number': [
    `${HEAD}transfer-encoding: chunked\r\n\r\nzz\r\n`,
    /^HTTP\/1.1 400 [^]*"code":101/,
  ],
  tunnel: ['CONNECT 127.0.0.1:1 HTTP/1.1\r\nhost: x\r\n\r\n', /^HTTP\/1.1 400 [^]*"code":101/],
  'path through dots': [
    `GET /services/brimwit/v1/completions/%2e%2e/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n`,
    /^HTTP\/1.1 400 [^]*"code":101/,
  ],
  'header that never ends': ['POST / HTTP/1.1\r\nx-a: ', /^HTTP\/1.1 408 [^]*"code":106/],
  'body that never ends': [`${HEAD}content-length: 50\r\n\r\n{`, /^HTTP\/1.1 408 [^]*"code":106/],
};

Object.entries(BAD_BYTES).forEach(([name, [bytes, answer]]) => {
  nodeTest.test(`bad bytes: ${name}`, async () => {
    const client = rawClient.openRawClient(running.port, bytes);
    assert.match(await client.waitForClose(), answer);
    await assertServing();
  });
});

nodeTest.test('bad bytes: a byte at a time', async () => {
  const client = rawClient.openRawClient(running.port, `${HEAD}content-length: 500\r\n\r\n`);
  const timer = setInterval(() => client.socket.write('x'), 50);
  const text = await client.waitForClose().finally(() => clearInterval(timer));
  assert.match(text, /^HTTP\/1.1 408 [^]*"code":106/);
  await assertServing();
});

nodeTest.test('body beyond its limit is refused while it is received', async () => {
  // The caller sends a chunked body without a total length. The request is rejected
  // at the first byte beyond the limit, although the body never ends.
  const client = rawClient.openRawClient(
    running.port,
    `${HEAD}transfer-encoding: chunked\r\n\r\n1001\r\n${'x'.repeat(0x1001)}\r\n`,
  );
  await client.waitForText(/^HTTP\/1.1 413 [^]*"code":104/);
  client.socket.destroy();
  await assertServing();
});

nodeTest.test('caller that disconnects midway', async () => {
  const before = rawClient.openRawClient(running.port, `${HEAD}content-length: 50\r\n\r\n{`);
  await new Promise((resolve) => {
    before.socket.once('connect', resolve);
  });
  before.socket.destroy();
  const body = callerFleet.buildChat({ max_tokens: 500, stream: true });
  const bytes = `${HEAD}content-length: ${body.length}\r\n\r\n${body}`;
  const during = rawClient.openRawClient(running.port, bytes);
  await during.waitForText(/data: /);
  during.socket.destroy();
  await assertServing();
});

nodeTest.test('pipelined responses keep their order', async () => {
  // A request with a long response, one with a short response, then bytes that are
  // not HTTP. The error response must follow both, not interrupt the first.
  const long = callerFleet.buildChat({ max_tokens: 60, stream: true });
  const short = callerFleet.buildChat();
  const requests = [long, short].map(
    (body) => `${HEAD}content-length: ${body.length}\r\n\r\n${body}`,
  );
  const client = rawClient.openRawClient(running.port, `${requests.join('')}no HTTP\r\n\r\n`);
  const text = await client.waitForClose();
  const done = text.indexOf('data: [DONE]');
  const second = text.indexOf('"object":"chat.completion"');
  assert.ok(done > 0 && second > done, text.slice(-2000));
  assert.match(text.slice(second), /HTTP\/1.1 400 [^]*"code":101/);
  await assertServing();
});

nodeTest.test('pipelined requests beyond the limit are refused', async () => {
  const body = callerFleet.buildChat({ max_tokens: 60 });
  const one = `${HEAD}content-length: ${body.length}\r\n\r\n${body}`;
  const client = rawClient.openRawClient(running.port, one.repeat(5));
  const text = await client.waitForText(/"code":207/);
  assert.equal(text.match(/HTTP\/1.1 200/g)?.length, 4);
  client.socket.destroy();
  await assertServing();
});

nodeTest.test('operator port: metrics, status and health', async () => {
  await assertServing();
  const base = `http://127.0.0.1:${running.entry.started.operatorPort}`;
  const read = async (path: string) => (await undici.request(`${base}${path}`)).body.text();
  const metrics = await read('/metrics');
  assert.match(metrics, /\ntoucanproxy_goodput_total\{service="brimwit",tier="stall"\} [1-9]/);
  assert.match(metrics, /\ntoucanproxy_document_version\{service="brimwit"\} 1\n/);
  const status = JSON.parse(await read('/status')) as { backendServers: { state: string }[] };
  assert.deepEqual(
    status.backendServers.map((server) => server.state),
    ['live'],
  );
  assert.equal(await read('/health'), 'ok\n');
});

nodeTest.test('no token and no payload in the logs', async () => {
  await send({ body: callerFleet.buildChat({ messages: ['secret-words'] }) });
  await send({ headers: { authorization: 'Bearer secret-token' } });
  const lines = [...running.entry.lines, ...running.agent.lines];
  assert.ok(lines.some((line) => line.event === 'placement'));
  const text = JSON.stringify(lines);
  assert.doesNotMatch(text, /secret-words|secret-token|brim-stall/);
});
