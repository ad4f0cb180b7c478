import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as util from 'node:util';
import * as backendAttempt from './backend-attempt.js';
import * as backendConnections from './backend-connections.js';
import * as carriedCalls from './carried-calls.js';

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
  return { server, connections, address, send };
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

test('calls with the same id leave no connections open behind them', async (context) => {
  // Guards against a caller that repeats an id until the server has no connections left for others.
  const { server, send } = await openPool(context);
  const countOpen = util.promisify(server.getConnections.bind(server));
  for (let call = 0; call < 20; call += 1) {
    await send('a');
  }
  const open = await countOpen();
  assert.ok(open <= 3, `${open} connections are open`);
});

test('connection knows all calls that it has carried', async (context) => {
  // Guards against a late second response to a call so long ago that its id is no longer known: it
  // would count as part of the body that is being received.
  const { send } = await openPool(context);
  const idsByConnection = new Map<backendConnections.BackendConnection, string[]>();
  for (let call = 0; call < 600; call += 1) {
    const connection = await send(`id-${call}`);
    const ids = idsByConnection.get(connection) ?? [];
    idsByConnection.set(connection, [...ids, `id-${call}`]);
  }
  const isKnown = [...idsByConnection].every(([{ calls }, ids]) =>
    ids.every((id) => carriedCalls.hasCarried(calls, id)),
  );
  assert.equal(isKnown, true);
  assert.ok(idsByConnection.size < 10, `${idsByConnection.size} connections`);
});
