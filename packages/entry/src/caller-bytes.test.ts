import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as callerServer from './caller-server.js';

const SEED = 20_261_202;
const RUNS = 300;
const GOOD = 'GET /services/ledgerhat/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n';

/** Pieces of requests, right and wrong ones. */
const PIECES = [
  'POST /services/ledgerhat/x HTTP/1.1\r\n',
  'POST /v1/chat/completions HTTP/1.0\r\n',
  'CONNECT x:1 HTTP/1.1\r\n',
  'host: x\r\n',
  'authorization: Bearer test\r\n',
  'content-length: 3\r\n',
  'content-length: 99999999\r\n',
  'transfer-encoding: chunked\r\n',
  'expect: 100-continue\r\n',
  'expect: other\r\n',
  'connection: upgrade\r\nupgrade: x\r\n',
  '\r\n',
  '3\r\nabc\r\n',
  '0\r\n\r\n',
  'abc',
  GOOD,
];

enum Leaving {
  RESET = 'reset',
  END = 'end',
  DESTROY = 'destroy',
}

/** Starts a server whose core answers nothing. */
function startServer(): Promise<callerServer.CallerServer> {
  const documents: core.DocumentStore = new Map();
  const document = schema.create(schema.ServiceDocumentSchema, { service: 'ledgerhat' });
  core.storeDocument(documents, { document, json: '' });
  const bodyBudget = { usedBytes: 0 };
  const context = { documents, services: ['ledgerhat'], digestKey: 'key', bodyBudget };
  const limits = { ...schema.DEFAULT_CALLER_LIMITS, reportCut: () => {} };
  const base = { host: '127.0.0.1', port: 0, post: () => {}, reportRefusal: () => {} };
  return callerServer.startCallerServer({ ...base, limits, context });
}

/** Leaves in one of the ways that callers do. */
function closeSocket(socket: net.Socket, leaving: Leaving): void {
  switch (leaving) {
    case Leaving.RESET:
      socket.resetAndDestroy();
      return;
    case Leaving.DESTROY:
      socket.destroy();
      return;
    default:
      socket.end();
  }
}

/** Sends bytes, leaves, and resolves once the connection has closed. */
function sendAndLeave(port: number, bytes: string, leaving: Leaving): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    const socket = net.connect(port, '127.0.0.1', () =>
      socket.write(bytes, () => closeSocket(socket, leaving)),
    );
    socket.on('data', (data) => {
      text += data.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(text));
  });
}

nodeTest.test('any bytes and any leaving: the entry goes on', async (context) => {
  const server = await startServer();
  context.after(() => server.stop());
  const pieces = fastCheck.array(
    fastCheck.oneof(
      { weight: 9, arbitrary: fastCheck.constantFrom(...PIECES) },
      { weight: 1, arbitrary: fastCheck.string() },
    ),
    { maxLength: 8 },
  );
  const leavings = fastCheck.constantFrom(...Object.values(Leaving));
  await fastCheck.assert(
    fastCheck.asyncProperty(pieces, leavings, async (list, leaving) => {
      await sendAndLeave(server.port, list.join(''), leaving);
      const answer = await sendAndLeave(server.port, GOOD, Leaving.END);
      assert.match(answer, /^HTTP\/1.1 401 [^]*"code":103/);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});
