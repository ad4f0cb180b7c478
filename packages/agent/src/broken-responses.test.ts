/**
 * Guards against taking what an engine sends in trouble for a complete response: a status that is none,
 * a part of a head or of a body, a body in a coding, or a head that a further response continues.
 */
import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as engineRun from './mocks/engine-run.js';

const { test } = nodeTest;
const EVENTS = 'data: words\n\ndata: of the response\n\n';
const LINES = ['Content-Type: text/event-stream', 'Connection: close'];
/** Longer than what the buffers of a connection hold. */
const BODY_BYTES = 12_000_000;
/** Time in which the agent reads what was sent, milliseconds. */
const READ_MS = 20;
const ODD_STATUSES = [
  '000',
  '99',
  '1000',
  '2 0',
  '0200',
  '600',
  '700',
  '999',
  '-20',
  '',
  'abc',
  '101',
];
const ODD_CODINGS = [
  ...['\u00a0chunked', 'chunked\t', 'chunked,', 'chunked;a=b', 'xchunked', 'gzip', 'gzip, chunked'],
  ...['chunked\r\nTransfer-Encoding: gzip', '"chunked"'],
];

const FURTHER = 'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed';

/** Builds a response with further lines in its head. */
function build(lines: string[], body: string, status = '200'): string {
  return [`HTTP/1.1 ${status} OK`, ...LINES, ...lines, '', body].join('\r\n');
}

/** Encodes a body as one chunk. */
function encode(body: string): string {
  return `${body.length.toString(16)}\r\n${body}\r\n0\r\nX-Sum: 1\r\n\r\n`;
}

const WHOLE: Record<string, string> = {
  length: build([`Content-Length: ${EVENTS.length}`], EVENTS),
  chunks: build(['Transfer-Encoding: chunked'], encode(EVENTS)),
  connection: build([], EVENTS),
};

/** Sends bytes and resets the connection once they have been read. */
function sendAndReset(socket: net.Socket, bytes: Buffer): void {
  socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), READ_MS));
}

/** Runs requests on a plain service, which sends each of some texts once; lists what counts as complete. */
async function listComplete(
  context: nodeTest.TestContext,
  texts: readonly string[],
  send?: engineRun.EngineOptions['send'],
  payload?: Buffer,
): Promise<string[]> {
  const outcomes = await Promise.all(
    texts.map(async (text) => {
      const options = { isModelEngine: false, respond: () => text, send, payload };
      const { fault, text: received } = await engineRun.runOnce(context, options);
      return fault === undefined ? JSON.stringify([text, received]) : '';
    }),
  );
  return outcomes.filter((outcome) => outcome !== '');
}

test('whole responses are complete', async (context) => {
  const texts = Object.values(WHOLE);
  assert.equal((await listComplete(context, texts)).length, texts.length);
});

test('response with an odd status is not complete', async (context) => {
  const texts = ODD_STATUSES.flatMap((status) => [
    build([`Content-Length: ${EVENTS.length}`], EVENTS, status),
    build([], EVENTS, status),
  ]);
  assert.deepEqual(await listComplete(context, texts), []);
});

test('response in a coding, or a part of it that is reset, is not complete', async (context) => {
  const lines = ODD_CODINGS.map((coding) => `Transfer-Encoding: ${coding}`);
  const coded = lines.map((line) => build([line], encode(EVENTS)));
  const parts = lines.map((line) => build([line], EVENTS));
  assert.deepEqual(await listComplete(context, coded), []);
  assert.deepEqual(await listComplete(context, parts, sendAndReset), []);
});

Object.entries(WHOLE).forEach(([name, whole]) =>
  test(`part of a response that ends by its ${name} is not complete`, async (context) => {
    const cuts = Array.from({ length: whole.length }, (_, at) => whole.slice(0, at));
    assert.deepEqual(await listComplete(context, cuts, sendAndReset), []);
    // Without a mark of its end, a response that ends in order is whole once its head is.
    const isUnmarked = name === 'connection';
    const inOrder = isUnmarked ? cuts.slice(0, build([], '').length) : cuts;
    assert.deepEqual(await listComplete(context, inOrder), []);
  }),
);

test('head that is cut short before a further response is not complete', async (context) => {
  const head = build(['X-Note: words', 'Transfer-Encoding: chunked'], '');
  const end = head.indexOf('Transfer-Encoding');
  const cuts = Array.from({ length: end - 1 }, (_, at) => head.slice(0, at + 1) + FURTHER);
  assert.deepEqual(await listComplete(context, cuts), []);
});

const EARLY_SENDS: Record<string, (socket: net.Socket, bytes: Buffer) => void> = {
  'reset at once': (socket, bytes) => socket.write(bytes, () => socket.resetAndDestroy()),
  'reset once it is read': sendAndReset,
  'closed with the body unread': (socket, bytes) => socket.write(bytes, () => socket.destroy()),
};

// The engine responds before it has read the body of the request, and breaks off while that is sent.
Object.entries(EARLY_SENDS).forEach(([name, send]) =>
  test(`part of an early response is not complete, ${name}`, async (context) => {
    const sendUnread = (socket: net.Socket, bytes: Buffer) => send(socket.pause(), bytes);
    const parts = Object.values(WHOLE).map((whole) => whole.slice(0, whole.indexOf('data: of')));
    assert.deepEqual(await listComplete(context, parts, sendUnread, Buffer.alloc(BODY_BYTES)), []);
  }),
);
