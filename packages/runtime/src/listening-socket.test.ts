import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as listeningSocket from './listening-socket.js';

const { test } = nodeTest;
const CONNECTIONS = 20;

/** Starts a server that greets each connection. */
async function startServer() {
  const server = net.createServer((socket) => socket.end('hello'));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

/** Opens a connection; resolves to what it has received until it closes. */
function openConnection(server: net.Server): Promise<string> {
  const socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
  let text = '';
  socket.on('data', (data) => {
    text += data.toString();
  });
  socket.on('error', () => {});
  return new Promise((resolve) => {
    socket.on('close', () => resolve(text));
  });
}

test('connections in the queue are accepted before a listening socket is closed', async () => {
  // Guards against a reset of connections that callers have established.
  const server = await startServer();
  const received = Array.from({ length: CONNECTIONS }, () => openConnection(server));
  await new Promise<void>((resolve) => {
    const close = () => server.close();
    listeningSocket.closeWhenDrained(server, performance.now.bind(performance), close, resolve);
  });
  assert.deepEqual(await Promise.all(received), Array(CONNECTIONS).fill('hello'));
  assert.equal(server.listening, false);
});

test('step after an empty turn of the event loop waits for what a pause has delayed', async () => {
  // Guards against a step that a pause of the process parts from the poll before it.
  const times = [0, 200, 200, 201];
  const counts = [0, 0, 0, 0];
  await new Promise<void>((resolve) => {
    listeningSocket.runAfterEmptyTurn(
      () => counts.shift() ?? 0,
      () => times.shift() ?? 0,
      resolve,
    );
  });
  assert.deepEqual(times, []);
});
