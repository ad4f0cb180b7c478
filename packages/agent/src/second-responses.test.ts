/**
 * Guards against taking the bytes of a second response for a part of the first one. An engine that
 * stutters responds twice over one connection, and its first response may end with the connection.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as core from '@toucanproxy/core';
import * as engineRun from './mocks/engine-run.js';

const { runOnce } = engineRun;
const { test } = nodeTest;
const TEXT = 'words of the response\n';

const JSON_TYPE = 'application/json';
const EVENTS_TYPE = 'text/event-stream';
const JSON_TEXT = '{"text":"words of the response"}';
const EVENTS = 'data: words\n\ndata: of the response\n\n';

/** Builds a response that ends with its connection. */
function buildOpenEnded(body: string, contentType = 'text/plain'): string {
  return `HTTP/1.1 200 OK\r\nContent-Type: ${contentType}\r\nConnection: close\r\n\r\n${body}`;
}

/** Builds a response of which only a part of the body is sent. */
function buildCutShort(body: string, contentType: string): string {
  const head = `HTTP/1.1 200 OK\r\nContent-Type: ${contentType}\r\n`;
  const part = body.slice(0, body.length / 2);
  return `${head}Content-Length: ${body.length}\r\n\r\n${part}`;
}

test('run with a second response behind its body is not complete', async (context) => {
  const { fault } = await runOnce(context, {
    isModelEngine: true,
    respond: (from) =>
      from === undefined
        ? buildOpenEnded(TEXT) + buildOpenEnded(TEXT)
        : buildOpenEnded(TEXT.slice(from)),
  });
  assert.equal(fault, core.EngineFault.FAILED);
});

test('run that goes on at another byte than asked is not complete', async (context) => {
  const { fault } = await runOnce(context, {
    isModelEngine: true,
    respond: (from) => buildOpenEnded(from === undefined ? TEXT : TEXT.slice(from + 1)),
  });
  assert.equal(fault, core.EngineFault.FAILED);
});

test('resumption that ends before any byte proves nothing', async (context) => {
  // The engine crashes just as it begins to resume the run.
  const { fault } = await runOnce(context, {
    isModelEngine: true,
    respond: (from) => buildOpenEnded(from === undefined ? TEXT : ''),
  });
  assert.notEqual(fault, undefined);
});

test('second response behind JSON or events of a plain service is left out', async (context) => {
  const runPlain = (body: string, type: string) =>
    runOnce(context, {
      isModelEngine: false,
      respond: () => buildOpenEnded(body, type) + buildOpenEnded(body, type),
    });
  const complete = { fault: undefined, extra: 1 };
  assert.deepEqual(await runPlain(JSON_TEXT, JSON_TYPE), { text: JSON_TEXT, ...complete });
  assert.deepEqual(await runPlain(EVENTS, EVENTS_TYPE), { text: EVENTS, ...complete });
});

test('run continues where a second response cut it off', async (context) => {
  // The engine responds twice to each of three calls: two resumptions, the last one without news.
  const outcome = await runOnce(context, {
    isModelEngine: true,
    respond: (from) => {
      const first =
        from === undefined
          ? buildCutShort(JSON_TEXT, JSON_TYPE)
          : buildOpenEnded(JSON_TEXT.slice(from), JSON_TYPE);
      return first + buildOpenEnded(JSON_TEXT, JSON_TYPE);
    },
  });
  assert.deepEqual(outcome, { text: JSON_TEXT, fault: undefined, extra: 3 });
});

test('body that is shorter than its length is not filled', async (context) => {
  const { text, fault } = await runOnce(context, {
    isModelEngine: false,
    respond: () => buildCutShort(JSON_TEXT, JSON_TYPE) + buildOpenEnded(JSON_TEXT, JSON_TYPE),
  });
  assert.equal(fault, core.EngineFault.FAILED);
  assert.equal(JSON_TEXT.startsWith(text), true);
});

test('body is not complete if a failure, or a part of a head, follows', async (context) => {
  // A server that fails within a body may send its error response behind the part.
  const failure = 'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n';
  const runWith = (addition: string) =>
    runOnce(context, {
      isModelEngine: false,
      respond: () => buildOpenEnded(JSON_TEXT, JSON_TYPE) + addition,
    });
  const failed = { text: JSON_TEXT, fault: core.EngineFault.FAILED, extra: 1 };
  assert.deepEqual(await runWith(failure), failed);
  assert.deepEqual(await runWith('HTTP/1.1 200 OK\r\nConte'), failed);
});

test('event that a second response cuts off is not complete', async (context) => {
  const outcome = await runOnce(context, {
    isModelEngine: false,
    respond: () => buildOpenEnded('data: wo', EVENTS_TYPE) + buildOpenEnded(EVENTS, EVENTS_TYPE),
  });
  assert.deepEqual(outcome, { text: 'data: wo', fault: core.EngineFault.FAILED, extra: 1 });
});

test('second response that names the request is found in any content', async (context) => {
  const outcome = await runOnce(context, {
    isModelEngine: false,
    respond: (_, request) => {
      const id = /x-request-id: (.*)\r\n/i.exec(request)?.[1] ?? '';
      return buildOpenEnded(TEXT) + buildOpenEnded(TEXT, `text/plain\r\nX-Request-Id: ${id}`);
    },
  });
  assert.deepEqual(outcome, { text: TEXT, fault: undefined, extra: 1 });
});

test('bodies that quote HTTP are whole', async (context) => {
  // Guards against breaking off bodies that only mention a response.
  const runPlain = (body: string, type: string) =>
    runOnce(context, { isModelEngine: false, respond: () => buildOpenEnded(body, type) });
  const quotes = [
    [`${JSON.stringify({ text: buildOpenEnded(TEXT) })}\n`, JSON_TYPE],
    ['{"last":"HTTP/1.1 200 OK"}\n\n{"next":1}\n\n', 'application/x-ndjson'],
    ['{"last":"HTTP/1.1 200 OK"}', JSON_TYPE],
    ['data: HTTP/1.1 200 OK\r\nid: 5\r\n\r\n', EVENTS_TYPE],
    [`request:\n\n${buildOpenEnded(TEXT)}`, 'text/plain'],
    ['HTTP/1.1 200 OK\n', 'text/plain'],
  ];
  const outcomes = await Promise.all(quotes.map(([body, type]) => runPlain(body, type)));
  assert.deepEqual(
    outcomes,
    quotes.map(([text]) => ({ text, fault: undefined, extra: 0 })),
  );
});

test('second response with the head of the first is found in any content', async (context) => {
  const buildDated = (seconds: number) =>
    buildOpenEnded(TEXT, `text/plain\r\nDate: Mon, 01 Jan 2024 00:00:0${seconds} GMT`);
  const respond = (from: number | undefined) =>
    from === undefined ? buildDated(1) + buildDated(2) : buildOpenEnded(TEXT.slice(from));
  assert.deepEqual(await runOnce(context, { isModelEngine: false, respond }), {
    text: TEXT,
    fault: core.EngineFault.FAILED,
    extra: 1,
  });
  assert.deepEqual(await runOnce(context, { isModelEngine: true, respond }), {
    text: TEXT,
    fault: undefined,
    extra: 1,
  });
});
