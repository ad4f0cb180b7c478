import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as storeClient from './store-client.js';

const { test } = nodeTest;
const LIMITS = { idleMs: 1000, totalMs: 1000 };

/** Starts a store that responds to the calls of a connection, given in order; returns its port. */
async function startStore(
  context: nodeTest.TestContext,
  respond: (path: string, earlier: string) => string,
): Promise<number> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    let earlier = '';
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('data', (data) => {
      const path = /^GET (\S+)/.exec(data.toString())?.[1] ?? '';
      socket.write(respond(path, earlier));
      earlier = path;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  return (server.address() as net.AddressInfo).port;
}

/** Builds the response to a path, which has the path as its body. */
function buildResponse(path: string): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${path.length}\r\n\r\n${path}`;
}

/** Calls the store one path after the other; returns the bodies. */
async function fetchAll(
  context: nodeTest.TestContext,
  port: number,
  paths: string[],
): Promise<string[]> {
  const client = storeClient.createStoreClient({ host: '127.0.0.1', port });
  context.after(() => client.stop());
  const bodies: string[] = [];
  await paths.reduce(async (before, path) => {
    await before;
    bodies.push((await client.call(path, LIMITS)).body);
  }, Promise.resolve());
  return bodies;
}

test('late second response is not taken for the response to the next call', async (context) => {
  // Guards against renewing the configuration lease with a response to an earlier call, and against
  // reading a page of a list twice.
  const paths = ['/first', '/second', '/third'];
  const port = await startStore(context, (path, earlier) =>
    earlier === '' ? buildResponse(path) : buildResponse(earlier) + buildResponse(path),
  );
  assert.deepEqual(await fetchAll(context, port, paths), paths);
});

test('second response at once is left out', async (context) => {
  const paths = ['/first', '/second', '/third'];
  const port = await startStore(context, (path) => buildResponse(path) + buildResponse(path));
  assert.deepEqual(await fetchAll(context, port, paths), paths);
});
