import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as backendAttempt from './backend-attempt.js';
import * as backendConnections from './backend-connections.js';

const { test } = nodeTest;
const REQUEST = { method: 'GET', path: '/a', headers: ['host', 'a.example'], body: null };

/** Sends a request to a server that counts the requests it gets; returns how the attempt ended. */
async function sendOnce(
  canSend: boolean,
  runWhenPolled = (step: () => void) => step(),
  noteCheck: () => void = () => {},
): Promise<{ ending: string; arrived: number }> {
  let arrived = 0;
  const server = http.createServer((_, response) => {
    arrived += 1;
    response.end('ok');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const connections = backendConnections.createBackendConnections(runWhenPolled, () => undefined);
  const { port } = server.address() as net.AddressInfo;
  const ending = await new Promise<string>((resolve) => {
    backendAttempt.startAttempt(connections.take(`127.0.0.1:${port}`, 'a'), REQUEST, {
      canSend: () => {
        noteCheck();
        return canSend;
      },
      onHead: () => true,
      onData: () => true,
      onEnd: () => resolve('end'),
      onWithdrawn: () => resolve('withdrawn'),
      onBroken: (reason) => resolve(reason),
    });
  });
  connections.stop();
  server.close();
  return { ending, arrived };
}

test('request is sent over an open connection', async () => {
  assert.deepEqual(await sendOnce(true), { ending: 'end', arrived: 1 });
});

test('request on a new connection is checked after the event loop has polled', async () => {
  // Guards against sending a request when a connection opens after a stall, before the end of its
  // caller's connection has been read.
  const steps: string[] = [];
  const runWhenPolled = (step: () => void) => {
    steps.push('connected');
    setImmediate(() => {
      steps.push('polled');
      step();
    });
  };
  const { ending } = await sendOnce(true, runWhenPolled, () => {
    steps.push('checked');
  });
  assert.equal(ending, 'end');
  assert.deepEqual(steps, ['connected', 'polled', 'checked']);
});

test('withdrawn request is never sent', async () => {
  // Guards against sending to a server that began to leave, or asked for a backoff, while the
  // gateway was connecting to it.
  assert.deepEqual(await sendOnce(false), { ending: 'withdrawn', arrived: 0 });
});

type ServerStep = (socket: net.Socket) => void;

/** Receives a response and pauses at each chunk; `act` is called once the server has sent it. */
async function receivePaused(context: nodeTest.TestContext, framing: string, act: ServerStep) {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(`HTTP/1.1 200 OK\r\n${framing}\r\n\r\nab`, () => setTimeout(act, 20, socket));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const connections = backendConnections.createBackendConnections(
    (run) => run(),
    () => undefined,
  );
  context.after(() => {
    connections.stop();
    server.close();
  });
  let body = '';
  const ending = await new Promise<string>((resolve) => {
    const attempt = backendAttempt.startAttempt(
      connections.take(`127.0.0.1:${port}`, 'a'),
      REQUEST,
      {
        canSend: () => true,
        onHead: () => true,
        onData: (chunk) => {
          body += chunk.toString();
          setTimeout(attempt.resume, 60);
          return false;
        },
        onEnd: () => resolve('end'),
        onWithdrawn: () => resolve('withdrawn'),
        onBroken: resolve,
      },
    );
  });
  return { body, ending };
}

const FRAMINGS = [
  'connection: close',
  'content-length: 2',
  'content-length: 2\r\nconnection: close',
];

FRAMINGS.forEach((framing) =>
  test(`response (${framing}) that ends while it is paused is complete`, async (context) => {
    // Guards against an end of the connection that finds the parser paused: it ended the process, or
    // broke a whole response off.
    const received = await receivePaused(context, framing, (socket) => socket.end());
    assert.deepEqual(received, { body: 'ab', ending: 'end' });
  }),
);

test('reset of a paused response breaks it off', async (context) => {
  // Guards against an exception of the HTTP library that ends the process.
  const reset = (socket: net.Socket) => socket.resetAndDestroy();
  const received = await receivePaused(context, 'connection: close', reset);
  assert.deepEqual(received, { body: 'ab', ending: 'ECONNRESET' });
});

test('exception in a timer of an attempt ends this attempt', async (context) => {
  // Guards against the same where the end of a body is known only after a while.
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nabHTTP/1'));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const connections = backendConnections.createBackendConnections(
    (step) => step(),
    () => undefined,
    (step, recover) => {
      try {
        return step();
      } catch {
        return recover();
      }
    },
  );
  context.after(() => {
    connections.stop();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  const parts: string[] = [];
  const ending = await new Promise<string>((resolve) => {
    backendAttempt.startAttempt(connections.open(`127.0.0.1:${port}`), REQUEST, {
      canSend: () => true,
      onHead: () => true,
      onData: (chunk) => {
        parts.push(chunk.toString());
        if (parts.length > 1) {
          throw new Error('failure');
        }
        return true;
      },
      onEnd: () => resolve('end'),
      onWithdrawn: () => resolve('withdrawn'),
      onBroken: resolve,
    });
  });
  assert.deepEqual([parts, ending], [['ab', 'HTTP/1'], 'internal-error']);
});

test('exception in an event of a connection ends this attempt and no other', async (context) => {
  // Guards against an exception of the HTTP library, where no code of ours can catch it.
  const server = http.createServer((_, response) => setTimeout(() => response.end('ok'), 50));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const failures: unknown[] = [];
  const connections = backendConnections.createBackendConnections(
    (step) => step(),
    () => undefined,
    (step, recover) => {
      try {
        return step();
      } catch (error) {
        failures.push(error);
        return recover();
      }
    },
  );
  context.after(() => {
    connections.stop();
    server.close();
  });
  const send = (change: (connection: backendConnections.BackendConnection) => void) =>
    new Promise<string>((resolve) => {
      const connection = connections.open(address);
      backendAttempt.startAttempt(connection, REQUEST, {
        canSend: () => true,
        onHead: () => true,
        onData: () => true,
        onEnd: () => resolve('end'),
        onWithdrawn: () => resolve('withdrawn'),
        onBroken: resolve,
      });
      change(connection);
    });
  const failure = new Error('failure');
  const failing = send((connection) =>
    connection.setReadListener(() => {
      throw failure;
    }),
  );
  assert.deepEqual(await Promise.all([failing, send(() => {})]), ['internal-error', 'end']);
  assert.deepEqual(failures, [failure]);
});
