import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as schema from '@toucanproxy/schema';
import * as unreadRefusals from './unread-refusals.js';

const { test } = nodeTest;
const REFUSAL = { code: schema.ResultCode.GATEWAY_OVERLOADED, retryAfterMs: 700 };
const REQUEST = 'POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 8000000\r\n\r\n';
const BODY = 'x'.repeat(8_000_000);
/** Long enough for a refused connection to be closed, milliseconds. */
const AFTER_LINGER_MS = 1500;
/** Most connections that are kept open after their refusal. */
const MAX_LINGERING = 256;

/** Starts a server that refuses all connections, or all but the first. */
async function startServer(context: nodeTest.TestContext, servedCount = 0) {
  const counts = { accepted: 0, requests: 0, closed: 0 };
  const refusals = unreadRefusals.createUnreadRefusals(() => {
    counts.closed += 1;
  });
  const server = http.createServer((_request, response) => {
    counts.requests += 1;
    response.end();
  });
  unreadRefusals.filterConnections(server, (socket) => {
    counts.accepted += 1;
    if (counts.accepted <= servedCount) {
      return false;
    }
    refusals.refuse(socket, REFUSAL);
    return true;
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    refusals.stop();
    server.close();
    server.closeAllConnections();
  });
  return { counts, refusals, port: (server.address() as net.AddressInfo).port };
}

/** Opens a connection and collects what it receives. */
function openConnection(port: number, allowHalfOpen = false) {
  const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen });
  const state = { socket, received: '', hasEnded: false, error: '' };
  socket.on('data', (data) => {
    state.received += data.toString('latin1');
  });
  socket.on('end', () => {
    state.hasEnded = true;
  });
  socket.on('error', (error: NodeJS.ErrnoException) => {
    state.error = error.code ?? '';
  });
  return state;
}

test('refusal reaches a caller that is still sending', async (context) => {
  // Guards against a reset that reaches the caller before the refusal does.
  const { port, counts, refusals } = await startServer(context);
  const caller = openConnection(port, true);
  context.after(() => caller.socket.destroy());
  caller.socket.write(REQUEST + BODY);
  await timers.setTimeout(300);
  assert.match(caller.received, /^HTTP\/1\.1 503 [^]*retry-after: 0\.7\r\n[^]*connection: close/);
  assert.deepEqual([caller.hasEnded, caller.error], [true, '']);
  assert.deepEqual([counts.requests, refusals.countOpen()], [0, 1]);
});

test('request that crosses its refusal is not read', async (context) => {
  // Guards against a request that runs although its caller was told that it never will.
  const { port, counts, refusals } = await startServer(context);
  const caller = openConnection(port, true);
  await new Promise((resolve) => {
    caller.socket.once('end', resolve);
  });
  context.after(() => caller.socket.destroy());
  caller.socket.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\n');
  await timers.setTimeout(AFTER_LINGER_MS);
  assert.match(caller.received, /^HTTP\/1\.1 503 /);
  assert.deepEqual({ ...counts }, { accepted: 1, requests: 0, closed: 0 });
  assert.equal(refusals.countOpen(), 0);
});

test('the oldest of too many refused connections is closed', async (context) => {
  // Guards against receive buffers that fill up while callers send and do not close.
  const { port, counts, refusals } = await startServer(context);
  const callers = Array.from({ length: MAX_LINGERING + 1 }, () => openConnection(port, true));
  context.after(() => callers.forEach(({ socket }) => socket.destroy()));
  await timers.setTimeout(500);
  assert.equal(refusals.countOpen(), MAX_LINGERING);
  assert.equal(counts.closed, 1);
});

test('connections that are not refused are served', async (context) => {
  const { port } = await startServer(context, 1);
  const first = openConnection(port);
  first.socket.write('GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n');
  await new Promise((resolve) => {
    first.socket.once('close', resolve);
  });
  assert.match(first.received, /^HTTP\/1\.1 200 /);
});
