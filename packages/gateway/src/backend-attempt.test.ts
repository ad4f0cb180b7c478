import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
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
