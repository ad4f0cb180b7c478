import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as agent from '@toucanproxy/agent';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';

const { test } = nodeTest;
const REF_KEY = 'entry-1#1';
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n';
const TEXT_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n';
const UNKNOWN = 'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';

/** Time to read what has been sent, milliseconds. */
const READ_MS = 20;

type EngineBehaviour = {
  isModel?: boolean;
  /** Sends a response and ends its connection. */
  end?: (socket: net.Socket, text: string) => void;
};

/** Runs one request on an engine that responds without a length; returns its response and end. */
async function runOnce(
  context: nodeTest.TestContext,
  respond: (from: number | undefined, server: net.Server) => string,
  { isModel = true, end = (socket, text) => socket.end(text) }: EngineBehaviour = {},
): Promise<{ text: string; end: core.AgentEvent['kind']; resumptions: number }> {
  let resumptions = 0;
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', (data) => {
      const from = /from=(\d+)/.exec(data.toString())?.[1];
      resumptions += from === undefined ? 0 : 1;
      end(socket, respond(from === undefined ? undefined : Number(from), server));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  let text = '';
  const kind = await new Promise<core.AgentEvent['kind']>((resolve) => {
    const client = agent.createEngineClient({
      engineUrl: `http://127.0.0.1:${port}`,
      isModelEngine: () => isModel,
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
  return { text, end: kind, resumptions };
}

/** Sends a response, and resets the connection once it has been read. */
function sendAndReset(socket: net.Socket, text: string): void {
  socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), READ_MS));
}

/** Runs one request on a plain service that responds without a length; returns the end. */
async function runPlainService(
  context: nodeTest.TestContext,
  type: string,
  body: string,
): Promise<core.AgentEvent['kind']> {
  const head = `HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\nConnection: close\r\n\r\n`;
  return (await runOnce(context, () => head + body, { isModel: false })).end;
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

test('response of a plain service that ends inside its content is not complete', async (context) => {
  // Guards against taking the end of a service that crashes for the end of its response.
  assert.equal(await runPlainService(context, 'application/json', '{"items":[1,2'), 'engineFailed');
  assert.equal(
    await runPlainService(context, 'application/json', '{"items":[1,"2]}'),
    'engineFailed',
  );
  assert.equal(
    await runPlainService(context, 'text/event-stream', 'data: a\n\ndata: b'),
    'engineFailed',
  );
});

test('response of a plain service that ends with its content is complete', async (context) => {
  assert.equal(
    await runPlainService(context, 'application/json', '{"quote":"\\"{"}\n'),
    'engineEnd',
  );
  assert.equal(await runPlainService(context, 'application/json', ''), 'engineEnd');
  assert.equal(await runPlainService(context, 'text/event-stream', 'data: a\r\n\r\n'), 'engineEnd');
  assert.equal(await runPlainService(context, 'text/plain', '{"items":[1,2'), 'engineEnd');
});

test('response that ends with a reset is not complete', async (context) => {
  // Guards against passing on what a service had sent when it crashed; the HTTP library takes a reset
  // for the end of a response that has no other.
  const { end } = await runOnce(context, () => `${TEXT_HEAD}half of the`, {
    isModel: false,
    end: sendAndReset,
  });
  assert.equal(end, 'engineFailed');
});

test('resumption that ends with a reset proves nothing', async (context) => {
  const { end } = await runOnce(context, (from) => HEAD + 'data: a\n\n'.slice(from), {
    end: sendAndReset,
  });
  assert.equal(end, 'engineFailed');
});

test('response that ends with a reset behind its last bytes is not complete', async (context) => {
  // Guards against a reset that the runtime reports as a plain end, as it read both at once.
  const { end } = await runOnce(context, () => `${TEXT_HEAD}half of the`, {
    isModel: false,
    end: (socket, text) => socket.write(text, () => socket.resetAndDestroy()),
  });
  assert.equal(end, 'engineFailed');
});
