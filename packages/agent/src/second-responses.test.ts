/**
 * Guards against taking the bytes of a second response for a part of the first one. An engine that
 * stutters responds twice over one connection, and its first response may end with the connection.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as engineClient from './engine-client.js';

const { test } = nodeTest;
const TEXT = 'words of the response\n';

/** Builds a response that ends with its connection. */
function buildOpenEnded(body: string, contentType = 'text/plain'): string {
  return `HTTP/1.1 200 OK\r\nContent-Type: ${contentType}\r\nConnection: close\r\n\r\n${body}`;
}

type EngineOptions = {
  isModelEngine: boolean;
  /** Returns what is sent for a request; `from` is undefined unless it resumes a run. */
  respond: (from: number | undefined, request: string) => string;
};

type Outcome = {
  text: string;
  /** The fault, or undefined if the response is complete. */
  fault: core.EngineFault | undefined;
};

/** Runs one request on an engine. */
async function runOnce(
  context: nodeTest.TestContext,
  { isModelEngine, respond }: EngineOptions,
): Promise<Outcome> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', (data) => {
      const from = /from=(\d+)/.exec(data.toString())?.[1];
      socket.end(respond(from === undefined ? undefined : Number(from), data.toString()));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  let text = '';
  return new Promise((resolve) => {
    const client = engineClient.createEngineClient({
      engineUrl: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
      isModelEngine: () => isModelEngine,
      post: (event) => {
        if (event.kind === 'engineData') {
          text += Buffer.from(event.data).toString();
        } else if (event.kind === 'engineEnd' || event.kind === 'engineFailed') {
          resolve({ text, fault: event.kind === 'engineFailed' ? event.fault : undefined });
        }
      },
      onFault: () => {},
    });
    context.after(() => {
      client.stop();
      server.close();
    });
    client.start('run', schema.create(schema.OfferSchema, { method: 'POST', path: '/v1/x' }));
  });
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
