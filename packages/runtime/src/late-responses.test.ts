/**
 * Guards against taking the second response to a call, which arrives late, for the response to the
 * next call over the same connection.
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as configurationWatch from './configuration-watch.js';
import * as vmListPoll from './vm-list-poll.js';

const { test } = nodeTest;
/** Time for a connection to become idle, milliseconds. */
const RELEASE_MS = 50;
const VM_LIST = JSON.stringify({ vms: [{ address: '10.0.0.1:1', state: 'leaving' }] });

/**
 * Starts a platform that responds to each call twice, the second time when the next call arrives on
 * the same connection; returns its URL.
 */
async function startPlatform(
  context: nodeTest.TestContext,
  bodies: { documents: string[]; vmList: string },
): Promise<string> {
  const documents = [...bodies.documents];
  const sent = new Map<net.Socket, string>();
  const server = http.createServer((request) => {
    const { socket } = request;
    const isDocument = request.url?.startsWith('/v1/documents/') === true;
    const body = isDocument ? (documents.shift() ?? '') : bodies.vmList;
    const response = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    socket.write((sent.get(socket) ?? '') + response);
    sent.set(socket, response);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** Watches until some documents have been received. */
function readDocuments(
  context: nodeTest.TestContext,
  configurationUrl: string,
  count: number,
): Promise<string[]> {
  const received: string[] = [];
  return new Promise((resolve, reject) => {
    const watch = configurationWatch.startConfigurationWatch({
      configurationUrl,
      service: 'chat',
      waitMs: 1000,
      getVersion: () => received.length,
      receiveDocument: (json) => {
        received.push(json);
        if (received.length === count) {
          watch.stop();
          resolve(received);
        }
      },
      reportFailure: (reason) => reject(new Error(reason)),
      drawRandom: () => 0,
    });
    context.after(() => watch.stop());
  });
}

test('configuration watch gets its own response', async (context) => {
  const url = await startPlatform(context, { documents: ['first', 'second'], vmList: '' });
  assert.deepEqual(await readDocuments(context, url, 2), ['first', 'second']);
});

test('VM list poll gets no response of the configuration watch', async (context) => {
  const url = await startPlatform(context, { documents: ['first'], vmList: VM_LIST });
  await readDocuments(context, url, 1);
  await timers.setTimeout(RELEASE_MS);
  const addresses = await new Promise<string[]>((resolve, reject) => {
    const poll = vmListPoll.startVmListPoll({
      vmListUrl: `${url}/vms`,
      receiveLeaving: resolve,
      reportFailure: (reason) => reject(new Error(reason)),
      drawRandom: () => 0,
    });
    context.after(() => poll.stop());
  });
  assert.deepEqual(addresses, ['10.0.0.1:1']);
});
