import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as callerServer from './caller-server.js';

const SERVICE = 'ledgerhat';
const BUFFER_BYTES = 65_536;
const TOKEN_SHA256 = '9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08';
const HEAD = `POST /services/${SERVICE}/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer test\r\n`;

type Setup = {
  server: callerServer.CallerServer;
  refusals: schema.ResultCode[];
  slowCallers: number[];
  /** Resolves with the next request that reaches the core. */
  waitForRequest: () => Promise<core.ArrivedRequest>;
};

/** Starts a server with one service and small limits. */
async function startServer(context: nodeTest.TestContext, maxConnections = 2): Promise<Setup> {
  const document = schema.create(schema.ServiceDocumentSchema, {
    service: SERVICE,
    credentials: [{ tokenSha256: TOKEN_SHA256, workspace: 'brim', tier: 'stall' }],
    limits: { maxBodyBytes: 100 },
  });
  const documents: core.DocumentStore = new Map();
  core.storeDocument(documents, { document, json: '' });
  const waiting: ((request: core.ArrivedRequest) => void)[] = [];
  const refusals: schema.ResultCode[] = [];
  const slowCallers: number[] = [];
  const server = await callerServer.startCallerServer({
    host: '127.0.0.1',
    port: 0,
    limits: {
      ...schema.DEFAULT_CALLER_LIMITS,
      maxConnections,
      maxAnswerBufferBytes: BUFFER_BYTES,
      reportSlowCaller: (callerId) => slowCallers.push(callerId),
    },
    context: {
      documents,
      services: [SERVICE],
      digestKey: 'key',
      bodyBudget: { usedBytes: 0 },
    },
    post: (event) => {
      if (event.kind === 'requestArrived') {
        waiting.shift()?.(event.request);
      }
    },
    reportRefusal: (code) => refusals.push(code),
  });
  context.after(() => server.stop());
  const waitForRequest = () =>
    new Promise<core.ArrivedRequest>((resolve) => {
      waiting.push(resolve);
    });
  return { server, refusals, slowCallers, waitForRequest };
}

/** Sends bytes, and collects what is received until the connection closes or a pattern matches. */
function sendBytes(context: nodeTest.TestContext, port: number, bytes: string) {
  const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
  context.after(() => socket.destroy());
  let text = '';
  const read = (pattern: RegExp) =>
    new Promise<string>((resolve) => {
      const check = () => pattern.test(text) && resolve(text);
      socket.on('data', check);
      socket.on('close', () => resolve(text));
      check();
    });
  socket.on('data', (data) => {
    text += data.toString('latin1');
  });
  socket.on('error', () => {});
  return { socket, read };
}

nodeTest.test('connections beyond the limit get a response', async (context) => {
  const { server, refusals } = await startServer(context);
  const open = await Promise.all(
    [1, 2].map(
      () =>
        new Promise<net.Socket>((resolve) => {
          const socket = net.connect(server.port, '127.0.0.1', () => resolve(socket));
          context.after(() => socket.destroy());
        }),
    ),
  );
  const bytes = `${HEAD}content-length: 1\r\n\r\nx`;
  const third = sendBytes(context, server.port, bytes);
  assert.match(await third.read(/never/), /^HTTP\/1.1 503 [^]*"code":207/);
  // The two connections within the limit are still served.
  open[0].write(`${HEAD}content-length: 101\r\n\r\n`);
  const response = await new Promise((resolve) => {
    open[0].once('data', (data) => resolve(String(data)));
  });
  assert.match(String(response), /^HTTP\/1.1 413 /);
  assert.deepEqual(refusals, [schema.ResultCode.QUEUE_FULL, schema.ResultCode.BODY_TOO_LARGE]);
});

nodeTest.test('a body that is too long is refused before it is sent', async (context) => {
  const { server } = await startServer(context);
  const head = `${HEAD}expect: 100-continue\r\n`;
  const refused = sendBytes(context, server.port, `${head}content-length: 101\r\n\r\n`);
  assert.match(await refused.read(/never/), /^HTTP\/1.1 413 [^]*"code":104/);
  const taken = sendBytes(context, server.port, `${head}content-length: 1\r\n\r\n`);
  assert.match(await taken.read(/\r\n\r\n/), /^HTTP\/1.1 100 Continue/);
});

nodeTest.test('a stream that its caller does not read is bounded', async (context) => {
  // The engine streams faster than the caller reads. The data buffered in this
  // process must stay within the limit; then the connection is closed.
  const { server, slowCallers, waitForRequest } = await startServer(context);
  const arrival = waitForRequest();
  const client = sendBytes(context, server.port, `${HEAD}content-length: 1\r\n\r\nx`);
  const { callerId } = await arrival;
  client.socket.pause();
  const contentType = 'text/event-stream';
  server.applyEffect({ kind: 'answerHead', callerId, requestId: 'r', status: 200, contentType });
  const data = new Uint8Array(BUFFER_BYTES / 4);
  const parts = Array.from({ length: 4000 });
  parts.forEach(() => server.applyEffect({ kind: 'answerData', callerId, data }));
  assert.deepEqual(slowCallers, [callerId]);
});

nodeTest.test('HTTP/1.0 gets a stream without a trailer', async (context) => {
  const { server, waitForRequest } = await startServer(context);
  const arrival = waitForRequest();
  const head = HEAD.replace('HTTP/1.1', 'HTTP/1.0');
  const client = sendBytes(context, server.port, `${head}content-length: 1\r\n\r\nx`);
  const { callerId } = await arrival;
  const contentType = 'text/event-stream';
  server.applyEffect({ kind: 'answerHead', callerId, requestId: 'r', status: 200, contentType });
  server.applyEffect({ kind: 'answerData', callerId, data: Buffer.from('data: [DONE]\n\n') });
  server.applyEffect({ kind: 'answerEnd', callerId });
  assert.match(await client.read(/never/), /\r\n\r\ndata: \[DONE\]\n\n$/);
});

nodeTest.test(
  'a response that HTTP cannot carry closes only its own connection',
  async (context) => {
    const { server, waitForRequest } = await startServer(context);
    const arrival = waitForRequest();
    const options = { port: server.port, path: `/services/${SERVICE}/x`, agent: false };
    const headers = { authorization: 'Bearer test' };
    const call = http.get({ ...options, headers });
    const failed = new Promise((resolve) => {
      call.once('error', resolve);
    });
    const { callerId } = await arrival;
    const contentType = 'a\nb';
    server.applyEffect({ kind: 'answerHead', callerId, requestId: 'r', status: 200, contentType });
    assert.match(String(await failed), /socket hang up/);
  },
);

nodeTest.test(
  'shutdown: every response on a connection is sent, then it closes',
  async (context) => {
    // Two requests of one connection are in flight when the entry stops listening.
    // Closing the connection after the first response would lose the second.
    const { server, waitForRequest } = await startServer(context);
    const arrivals = [waitForRequest(), waitForRequest()];
    const one = `${HEAD}content-length: 1\r\n\r\nx`;
    const client = sendBytes(context, server.port, `${one}${one}`);
    const requests = await Promise.all(arrivals);
    server.stopListening(() => {});
    const idle = new Promise<void>((resolve) => {
      server.notifyIdle(resolve);
    });
    const contentType = 'text/plain';
    requests.forEach(({ callerId }) => {
      server.applyEffect({
        kind: 'answerHead',
        callerId,
        requestId: 'r',
        status: 200,
        contentType,
      });
      server.applyEffect({ kind: 'answerData', callerId, data: Buffer.from(`answer-${callerId}`) });
      server.applyEffect({ kind: 'answerEnd', callerId });
    });
    const text = await client.read(/never/);
    assert.match(text, /answer-1[^]*connection: close[^]*answer-2/i);
    assert.doesNotMatch(text, /connection: close[^]*answer-1/i);
    await idle;
  },
);

nodeTest.test('a reset CONNECT request does not end the process', async (context) => {
  // Node.js passes on the socket of a CONNECT request without any listener. A reset
  // while the refusal is written would raise an unhandled error and end the
  // process.
  const { server, waitForRequest } = await startServer(context);
  const resets = Array.from(
    { length: 20 },
    () =>
      new Promise<void>((resolve) => {
        const socket = net.connect(server.port, '127.0.0.1', () => {
          socket.write('CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n', () => socket.resetAndDestroy());
        });
        socket.on('error', () => {});
        socket.on('close', () => resolve());
      }),
  );
  await Promise.all(resets);
  const arrival = waitForRequest();
  const client = sendBytes(context, server.port, `${HEAD}content-length: 1\r\n\r\nx`);
  await arrival;
  client.socket.destroy();
});

const ONE_REQUEST = `${HEAD}content-length: 1\r\n\r\nx`;

/** Waits until a connection is open. */
function waitForConnect(socket: net.Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once('connect', resolve);
  });
}

/** Begins a shutdown; resolves once every response has been sent, and ends the connections then. */
function shutDown(server: callerServer.CallerServer): Promise<void> {
  server.stopListening(() => {});
  return new Promise((resolve) => {
    server.notifyIdle(() => {
      server.stop();
      resolve();
    });
  });
}

nodeTest.test('shutdown: connections that wait to be accepted are answered', async (context) => {
  // Guards against closing the port while the kernel holds connections that nobody has accepted: it
  // resets them, with whole requests on them.
  const { server } = await startServer(context, 100);
  const clients = Array.from({ length: 20 }, () => sendBytes(context, server.port, ONE_REQUEST));
  await Promise.all(clients.map(({ socket }) => waitForConnect(socket)));
  const texts = clients.map(({ read }) => read(/never/));
  await shutDown(server);
  const refused = (await Promise.all(texts)).filter((text) => /^HTTP\/1.1 503 /.test(text));
  assert.equal(refused.length, clients.length);
});

nodeTest.test('shutdown: a request that has arrived unread is answered', async (context) => {
  // Guards against closing a kept connection as idle, or ending the process, before the event loop
  // has read what the kernel holds.
  const { server, waitForRequest } = await startServer(context, 100);
  const arrival = waitForRequest();
  const client = sendBytes(context, server.port, ONE_REQUEST);
  const { callerId } = await arrival;
  const contentType = 'text/plain';
  server.applyEffect({ kind: 'answerHead', callerId, requestId: 'r', status: 200, contentType });
  server.applyEffect({ kind: 'answerEnd', callerId });
  await client.read(/200 OK[^]*\r\n\r\n/);
  const unused = sendBytes(context, server.port, '');
  await waitForConnect(unused.socket);
  await timers.setTimeout(20);
  const texts = [client, unused].map(({ socket, read }) => {
    socket.write(ONE_REQUEST);
    return read(/never/);
  });
  await shutDown(server);
  (await Promise.all(texts)).forEach((text) => assert.match(text, /HTTP\/1.1 503 /));
});
