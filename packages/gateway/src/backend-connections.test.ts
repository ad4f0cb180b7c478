import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as backendAttempt from './backend-attempt.js';
import * as backendConnections from './backend-connections.js';

const { test } = nodeTest;

/** Starts a server and a pool; `send` resolves with the connection once it is idle again. */
async function openPool(context: nodeTest.TestContext) {
  const server = http.createServer((_, response) => response.end('ok'));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const connections = backendConnections.createBackendConnections(
    (step) => step(),
    () => undefined,
  );
  context.after(() => {
    connections.stop();
    server.close();
  });
  const send = (attemptId: string) =>
    new Promise<backendConnections.BackendConnection>((resolve, reject) => {
      const connection = connections.take(address, attemptId);
      const request = { attemptId, method: 'GET', path: '/', headers: [], body: null };
      backendAttempt.startAttempt(connection, request, {
        canSend: () => true,
        onHead: () => true,
        onData: () => true,
        onEnd: () => resolve(connection),
        onWithdrawn: () => reject(new Error('withdrawn')),
        onBroken: (reason) => reject(new Error(reason)),
      });
    });
  return { connections, address, send };
}

test('request is not sent twice over one connection', async (context) => {
  // Guards against a late second response to the first send that passes for that to the next one.
  const { send } = await openPool(context);
  const first = await send('a');
  const second = await send('a');
  assert.notEqual(second, first);
  assert.equal(await send('b'), second);
});

test('known connection that has carried a request is not taken for it again', async (context) => {
  // Guards against the same where a connection is chosen by the start of its server.
  const { connections, address, send } = await openPool(context);
  const connection = await send('a');
  connection.bornMs = 1;
  assert.equal(connections.takeKnown(address, 1, 'a'), undefined);
  assert.equal(connections.takeKnown(address, 1, 'b'), connection);
});
