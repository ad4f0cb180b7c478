import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as agent from '@toucanproxy/agent';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';

const { test } = nodeTest;
const REF_KEY = 'entry-1#1';
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n';
const UNKNOWN = 'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';

/** Runs one request on an engine that responds without a length; returns its response and end. */
async function runOnce(
  context: nodeTest.TestContext,
  respond: (from: number | undefined, server: net.Server) => string,
): Promise<{ text: string; end: core.AgentEvent['kind']; resumptions: number }> {
  let resumptions = 0;
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', (data) => {
      const from = /from=(\d+)/.exec(data.toString())?.[1];
      resumptions += from === undefined ? 0 : 1;
      socket.end(respond(from === undefined ? undefined : Number(from), server));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  let text = '';
  const end = await new Promise<core.AgentEvent['kind']>((resolve) => {
    const client = agent.createEngineClient({
      engineUrl: `http://127.0.0.1:${port}`,
      isModelEngine: () => true,
      post: (event) => {
        if (event.kind === 'engineData') {
          text += Buffer.from(event.data).toString();
        } else if (event.kind !== 'engineHead') {
          resolve(event.kind);
        }
      },
      onFault: () => {},
    });
    context.after(() => {
      client.stop();
      server.close();
    });
    client.start(REF_KEY, schema.create(schema.OfferSchema, { method: 'POST', path: '/v1/x' }));
  });
  return { text, end, resumptions };
}

test('engine that crashes between two events does not complete its response', async (context) => {
  // Guards against taking the end of a connection for the end of a response without a length.
  const { end } = await runOnce(context, (_, server) => {
    server.close();
    return `${HEAD}data: a\n\n`;
  });
  assert.equal(end, 'engineFailed');
});

test('response without a length is resumed after its connection ended', async (context) => {
  // Guards against delivering only the part of a run that its first connection carried.
  const whole = 'data: a\n\ndata: b\n\n';
  const { text, end } = await runOnce(context, (from) =>
    from === undefined ? `${HEAD}data: a\n\n` : HEAD + whole.slice(from),
  );
  assert.deepEqual([text, end], [whole, 'engineEnd']);
});

test('whole response without a length is asked for once more', async (context) => {
  // Guards against breaking off the responses of an engine that always sends them so.
  const whole = 'data: a\n\n';
  const { text, end, resumptions } = await runOnce(context, (from) => HEAD + whole.slice(from));
  assert.deepEqual([text, end, resumptions], [whole, 'engineEnd', 1]);
});

test('response without a length that cannot be resumed is not complete', async (context) => {
  // Guards against completing a response of an engine that has restarted and lost its runs.
  const { end } = await runOnce(context, (from) =>
    from === undefined ? `${HEAD}data: a\n\n` : UNKNOWN,
  );
  assert.equal(end, 'engineFailed');
});

test('response that has no body by its status needs no proof of its end', async (context) => {
  // Guards against taking the missing length for a crash of the engine.
  const { end, resumptions } = await runOnce(
    context,
    () => 'HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n',
  );
  assert.deepEqual([end, resumptions], ['engineEnd', 0]);
});
