import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as backendAttempt from './backend-attempt.js';
import * as backendConnections from './backend-connections.js';
import * as endToEndHeaders from './end-to-end-headers.js';
import * as incarnationCheck from './incarnation-check.js';

const { test } = nodeTest;
const REPORT = { method: 'GET', path: '/report', headers: [], body: null };

/** Builds a response that states an id, or none. */
function buildResponse(id: string | undefined, body: string): string {
  const idLine = id === undefined ? '' : `Call-Id: ${id}\r\n`;
  return `HTTP/1.1 200 OK\r\n${idLine}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Sends a request, then a check over the same connection; returns what the check has found. */
async function checkAfterRequest(context: nodeTest.TestContext, reports: string[]) {
  const server = net.createServer((socket) => {
    const answers = [buildResponse('a', '{"born":5}'), ...reports];
    socket.on('data', () => socket.write(answers.shift() ?? ''));
    socket.on('error', () => {});
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const connections = backendConnections.createBackendConnections(
    (step) => step(),
    (_, headers) => endToEndHeaders.findHeader(headers, 'call-id'),
  );
  context.after(() => {
    connections.stop();
    server.close();
  });
  const connection = connections.take(address, 'a');
  await new Promise<void>((resolve, reject) => {
    const request = { ...REPORT, attemptId: 'a' };
    backendAttempt.startAttempt(connection, request, {
      canSend: () => true,
      onHead: () => true,
      onData: () => true,
      onEnd: resolve,
      onWithdrawn: () => reject(new Error('withdrawn')),
      onBroken: (reason) => reject(new Error(reason)),
    });
  });
  const { bornMs } = await new Promise<incarnationCheck.IncarnationFinding>((resolve) => {
    incarnationCheck.startIncarnationCheck({
      connection: connections.take(address, 'b'),
      request: REPORT,
      parseStart: (report) => JSON.parse(report.toString()).born,
      settle: resolve,
    });
  });
  return { bornMs, isKept: connections.take(address, 'c') === connection };
}

test('report states the start of the process', async (context) => {
  const found = await checkAfterRequest(context, [buildResponse(undefined, '{"born":7}')]);
  assert.deepEqual(found, { bornMs: 7, isKept: true });
});

test('late second response to a request is not taken for the report', async (context) => {
  // Guards against a start that the body of another response states.
  const found = await checkAfterRequest(context, [buildResponse('a', '{"born":5}')]);
  assert.deepEqual(found, { bornMs: undefined, isKept: false });
});

test('check that could not be sent says so', async (context) => {
  // Guards against a second connection to a server that cannot be reached, before it counts as that.
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  const connections = backendConnections.createBackendConnections(
    (step) => step(),
    () => undefined,
  );
  context.after(() => connections.stop());
  const found = await new Promise((resolve) => {
    incarnationCheck.startIncarnationCheck({
      connection: connections.take(`127.0.0.1:${port}`, 'a'),
      request: REPORT,
      parseStart: () => 1,
      settle: resolve,
    });
  });
  assert.deepEqual(found, { bornMs: undefined, isReachable: false });
});
