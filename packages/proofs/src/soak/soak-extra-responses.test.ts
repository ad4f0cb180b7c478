import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as randomSource from '../mocks/random-source.js';
import * as soakExtraResponses from './soak-extra-responses.js';

const HEAD = 'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 4\r\n\r\n';
/** Neighbouring seeds begin with similar numbers. */
const SEED_STEP = 7919;
const RESPONSE = `${HEAD}body`;

/** Sends a response of a server that responds twice; returns all bytes that arrive. */
async function receive(seed: number): Promise<string> {
  const state = soakExtraResponses.createExtraState(randomSource.createRandomSource(seed));
  state.share = 1;
  const server = net.createServer((socket) => {
    soakExtraResponses.sendResponse(state, socket, RESPONSE);
    setTimeout(() => socket.end(), 450);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
  const chunks: Buffer[] = [];
  socket.on('data', (chunk) => chunks.push(chunk));
  await new Promise((resolve) => {
    socket.on('close', resolve);
  });
  server.close();
  return Buffer.concat(chunks).toString();
}

// Guards against a soak whose servers never respond twice, or always in the same way.
nodeTest.test('second responses are whole or cut and differ in their framing', async () => {
  const seeds = Array.from({ length: 40 }, (_, index) => SEED_STEP * (index + 1));
  const received = await Promise.all(seeds.map(receive));
  const extras = received.map((bytes) => {
    assert.ok(bytes.startsWith(`${RESPONSE}HTTP/1.1 200 OK\r\n`));
    return bytes.slice(RESPONSE.length);
  });
  const whole = [
    RESPONSE,
    'HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
    'HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody',
  ];
  whole.forEach((text) => assert.ok(extras.includes(text)));
  assert.ok(extras.some((text) => !whole.includes(text)));
});

// Guards against checks that expect a legible response behind a second one.
nodeTest.test('run after a second response on its connection is marked', () => {
  const state = soakExtraResponses.createExtraState(() => 0);
  state.share = 1;
  const socket = new net.Socket();
  Object.assign(socket, { write: () => true, end: () => {} });
  Object.defineProperty(socket, 'writable', { value: true });
  const [before, during, after] = [9, 0, 0].map((endedMs) => ({ endedMs, isMixedUp: false }));
  [before, during].forEach((run) => soakExtraResponses.addRun(state, socket, run));
  soakExtraResponses.sendResponse(state, socket, RESPONSE);
  soakExtraResponses.addRun(state, socket, after);
  assert.deepEqual(
    [before, during, after].map(({ isMixedUp }) => isMixedUp),
    [false, true, true],
  );
});
