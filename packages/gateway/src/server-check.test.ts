import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as workerThreads from 'node:worker_threads';
import * as backendConnections from './backend-connections.js';
import * as serverCheck from './server-check.js';

const { test } = nodeTest;
const REQUEST = { method: 'GET', path: '/report', headers: ['host', 'a.example'], body: null };
const MISDIRECTED = 421;
const SENDER_BORN_MS = 7;
/** Longer than a process takes that is exiting and still accepts connections, milliseconds. */
const SLOW_MS = 300;

type Server = { server: net.Server; port: number; countConnections: () => number };

/** Starts a server that handles each connection in a given way. */
async function startServer(
  context: nodeTest.TestContext,
  handle: (socket: net.Socket, server: net.Server) => void,
): Promise<Server> {
  const sockets = new Set<net.Socket>();
  let connections = 0;
  const server = net.createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on('error', () => {});
    handle(socket, server);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  const { port } = server.address() as net.AddressInfo;
  return { server, port, countConnections: () => connections };
}

/** Runs one check; returns its result. */
async function runCheck(
  port: number,
  knownStarts: readonly number[] = [],
  connections = backendConnections.createBackendConnections(
    (step) => step(),
    () => undefined,
  ),
): Promise<boolean> {
  const isPresent = await new Promise<boolean>((resolve) => {
    const check = serverCheck.startServerCheck({
      open: () => connections.open(`127.0.0.1:${port}`),
      request: REQUEST,
      knownStarts,
      parseStart: (report) => (report.length === 0 ? undefined : Number(report)),
      isMisdirected: (status) => status === MISDIRECTED,
      readNow: () => performance.now(),
      runAfterPoll: (step) => setImmediate(step),
      settle: (finding) => {
        check.abort();
        resolve(serverCheck.isPresent(finding));
      },
    });
  });
  return isPresent;
}

/** Builds a report that states a start. */
function buildReport(start: string): string {
  return `HTTP/1.1 200 X\r\nContent-Length: ${start.length}\r\n\r\n${start}`;
}

/** Builds a handler that responds to the first bytes with a status. */
function buildResponder(status: number) {
  return (socket: net.Socket) => {
    socket.once('data', () => socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: 0\r\n\r\n`));
  };
}

test('server that states no start is present if it responds', async (context) => {
  const { port, countConnections } = await startServer(context, buildResponder(503));
  assert.equal(await runCheck(port), true);
  assert.equal(countConnections(), 1);
});

test('server that states no start is present if it sends any bytes', async (context) => {
  const { port } = await startServer(context, (socket) => {
    socket.once('data', () => socket.write('none\r\n\r\n'));
  });
  assert.equal(await runCheck(port), true);
});

test('server that is slow to state its start is present', async (context) => {
  // Guards against breaking off the responses of a server that is busy.
  const { port } = await startServer(context, (socket) => {
    socket.once('data', () => setTimeout(() => socket.write(buildReport('7')), SLOW_MS));
  });
  assert.equal(await runCheck(port, [SENDER_BORN_MS]), true);
});

test('server that does not respond is not proven to be present', async (context) => {
  // Guards against taking the silence of a process that has just started for the sender's.
  const { port } = await startServer(context, () => {});
  assert.equal(await runCheck(port), false);
  assert.equal(await runCheck(port, [SENDER_BORN_MS]), false);
});

test('server that is slow to state another start is gone', async (context) => {
  // Guards against the same where the next process responds at last.
  const { port } = await startServer(context, (socket) => {
    socket.once('data', () => setTimeout(() => socket.write(buildReport('8')), SLOW_MS));
  });
  assert.equal(await runCheck(port, [SENDER_BORN_MS]), false);
});

[
  ['a failure', 'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n'],
  ['bytes of no response', 'none\r\n\r\n'],
  ['a part of a report', 'HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n7'],
  ['a report without a start', 'HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n'],
].forEach(([name, bytes]) =>
  test(`server that sends ${name} is asked again for its start`, async (context) => {
    // Guards against taking any process at the address for the one whose start is known.
    let isFirst = true;
    const { port } = await startServer(context, (socket) => {
      const response = isFirst ? bytes : buildReport('8');
      isFirst = false;
      socket.once('data', () => socket.end(response));
    });
    assert.equal(await runCheck(port, [SENDER_BORN_MS]), false);
    assert.equal(await runCheck(port, [8]), true);
  }),
);

test('server that resets surplus connections for a while is present', async (context) => {
  // Guards against taking a server that has reached its limit of connections for a crashed one.
  let left = 5;
  const { port } = await startServer(context, (socket) => {
    left -= 1;
    if (left >= 0) {
      socket.resetAndDestroy();
    } else {
      buildResponder(200)(socket);
    }
  });
  assert.equal(await runCheck(port), true);
});

test('port whose connections all break means that the server is gone', async (context) => {
  // Guards against taking a port that another process holds for the server behind it.
  const { port } = await startServer(context, (socket) => socket.destroy());
  assert.equal(await runCheck(port), false);
});

test('closed port means that the server is gone', async (context) => {
  const { server, port } = await startServer(context, () => {});
  await new Promise((resolve) => {
    server.close(resolve);
  });
  assert.equal(await runCheck(port), false);
});

test('process that is exiting is gone', async (context) => {
  // Guards against a connection that is accepted before an exiting process closes its port.
  const { port } = await startServer(context, (socket, server) => {
    server.close();
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  assert.equal(await runCheck(port), false);
});

test('another server at the address means that the first one is gone', async (context) => {
  // Guards against taking the successor at the address for the server that crashed there.
  const { port } = await startServer(context, buildResponder(MISDIRECTED));
  assert.equal(await runCheck(port), false);
});

['7', '8'].forEach((stated) =>
  test(`server that states the start ${stated} is present only if it is the sender`, async (context) => {
    // Guards against an incarnation that answers for the one that has gone.
    const { port } = await startServer(context, (socket) => {
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n');
        setImmediate(() => socket.write(stated));
      });
    });
    assert.equal(await runCheck(port, [SENDER_BORN_MS]), stated === '7');
  }),
);

test('connection of a check serves the next request', async (context) => {
  // Guards against a second connection for each response without a length.
  const { port } = await startServer(context, buildResponder(200));
  const connections = backendConnections.createBackendConnections(
    (step) => step(),
    () => undefined,
  );
  await runCheck(port, [], connections);
  await timers.setTimeout(20);
  assert.equal(connections.take(`127.0.0.1:${port}`, 'a').completedResponses, 1);
  connections.stop();
});

/** A server in another thread that closes its port and, later, the connection that it got. */
const EXITING_SERVER = `
  const { parentPort } = require('node:worker_threads');
  const server = require('node:net').createServer((socket) => {
    socket.on('error', () => {});
    setTimeout(() => server.close(), 20);
    setTimeout(() => socket.resetAndDestroy(), 40);
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;
const STALL_MS = 400;

test('exit that is read after a stall of the event loop is noticed', async (context) => {
  // Guards against a timer that fires before the end of the connection is read.
  const worker = new workerThreads.Worker(EXITING_SERVER, { eval: true });
  context.after(() => worker.terminate());
  const port = await new Promise<number>((resolve) => {
    worker.once('message', resolve);
  });
  const result = runCheck(port);
  await timers.setTimeout(10);
  const endMs = performance.now() + STALL_MS;
  while (performance.now() < endMs);
  assert.equal(await result, false);
});
