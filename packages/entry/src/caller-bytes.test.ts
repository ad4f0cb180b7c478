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

/** Fragments of requests, valid and invalid ones. */
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

enum Disconnect {
  RESET = 'reset',
  END = 'end',
  DESTROY = 'destroy',
}

/** Starts a server whose core never responds. */
function startServer(): Promise<callerServer.CallerServer> {
  const documents: core.DocumentStore = new Map();
  const document = schema.create(schema.ServiceDocumentSchema, { service: 'ledgerhat' });
  core.storeDocument(documents, { document, json: '' });
  const bodyBudget = { usedBytes: 0 };
  const context = { documents, services: ['ledgerhat'], digestKey: 'key', bodyBudget };
  const limits = { ...schema.DEFAULT_CALLER_LIMITS, reportSlowCaller: () => {} };
  const base = { host: '127.0.0.1', port: 0, post: () => {}, reportRefusal: () => {} };
  return callerServer.startCallerServer({ ...base, limits, context });
}

/** Closes a connection in one of the ways in which callers do. */
function closeSocket(socket: net.Socket, disconnect: Disconnect): void {
  switch (disconnect) {
    case Disconnect.RESET:
      socket.resetAndDestroy();
      return;
    case Disconnect.DESTROY:
      socket.destroy();
      return;
    default:
      socket.end();
  }
}

/** Sends bytes, disconnects, and resolves once the connection has closed. */
function sendAndDisconnect(port: number, bytes: string, disconnect: Disconnect): Promise<string> {
  return new Promise((resolve) => {
    let text = '';
    const socket = net.connect(port, '127.0.0.1', () =>
      socket.write(bytes, () => closeSocket(socket, disconnect)),
    );
    socket.on('data', (data) => {
      text += data.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(text));
  });
}

nodeTest.test('arbitrary bytes and disconnects do not stop the entry', async (context) => {
  const server = await startServer();
  context.after(() => server.stop());
  const pieces = fastCheck.array(
    fastCheck.oneof(
      { weight: 9, arbitrary: fastCheck.constantFrom(...PIECES) },
      { weight: 1, arbitrary: fastCheck.string() },
    ),
    { maxLength: 8 },
  );
  const disconnects = fastCheck.constantFrom(...Object.values(Disconnect));
  await fastCheck.assert(
    fastCheck.asyncProperty(pieces, disconnects, async (list, disconnect) => {
      await sendAndDisconnect(server.port, list.join(''), disconnect);
      const response = await sendAndDisconnect(server.port, GOOD, Disconnect.END);
      assert.match(response, /^HTTP\/1.1 401 [^]*"code":103/);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});
